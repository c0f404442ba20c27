//! A small load tool: callers that send requests to entry hosts and count the outcomes.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt::TokioExecutor;
use mangotrestle_core::id;
use mangotrestle_core::result_code;
use tokio::task;
use tokio::time::Instant;

/// Pause of a caller after a request that was not run.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(20);
/// Time that a caller gives each request.
const REQUEST_TIME_MS: &str = "2000";

/// Length of one probe of an entry host.
const PROBE: Duration = Duration::from_millis(50);
/// Probes of an entry host before it counts as not serving.
const MOST_PROBES: u32 = 200;

type Client = legacy::Client<connect::HttpConnector, Full<Bytes>>;

/// Callers of one service.
#[derive(Clone, Debug)]
pub struct Load {
    entry_hosts: Vec<SocketAddr>,
    service: id::JobId,
    callers: usize,
}

/// What callers were told.
#[derive(Clone, Debug)]
pub struct Answers {
    /// Requests that were answered whole.
    pub answered: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Entry hosts that could not be reached.
    pub unreachable: u64,
    latency_us: Histogram<u64>,
}

impl Default for Answers {
    fn default() -> Self {
        let latency_us = Histogram::new(3).expect("three digits are a valid precision");
        Self {
            answered: 0,
            not_run: 0,
            unknown: 0,
            unreachable: 0,
            latency_us,
        }
    }
}

impl Answers {
    fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unreachable += other.unreachable;
        // Both histograms grow as needed, so adding cannot fail.
        let _ = self.latency_us.add(&other.latency_us);
    }

    /// A quantile of the time that answered requests took, in microseconds.
    #[must_use]
    pub fn latency_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }
}

impl fmt::Display for Answers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests answered          {:>10}", self.answered)?;
        writeln!(f, "requests not run           {:>10}", self.not_run)?;
        writeln!(f, "requests unknown           {:>10}", self.unknown)?;
        writeln!(f, "entry host unreachable     {:>10}", self.unreachable)?;
        writeln!(
            f,
            "request time p50           {:>10} us",
            self.latency_us(0.5)
        )?;
        write!(
            f,
            "request time p99           {:>10} us",
            self.latency_us(0.99)
        )
    }
}

/// What one request came to.
enum Outcome {
    Answered,
    NotRun,
    Unknown,
    Unreachable,
}

impl Load {
    /// Callers of a service, one at a time by default.
    #[must_use]
    pub fn new(entry_hosts: Vec<SocketAddr>, service: &id::JobId) -> Self {
        Self {
            entry_hosts,
            service: service.clone(),
            callers: 1,
        }
    }

    /// Number of callers that send at the same time. Default: 1.
    #[must_use]
    pub const fn callers(mut self, callers: usize) -> Self {
        self.callers = callers;
        self
    }

    /// Sends requests for a time, each caller one after the other.
    pub async fn run_for(self, span: Duration) -> Answers {
        let client: Client = legacy::Client::builder(TokioExecutor::new()).build_http();
        let until = Instant::now() + span;
        let load = Arc::new(self);
        let mut callers = task::JoinSet::new();
        for number in 0..load.callers {
            callers.spawn(call(Arc::clone(&load), client.clone(), number, until));
        }
        let mut answers = Answers::default();
        while let Some(result) = callers.join_next().await {
            if let Ok(result) = result {
                answers.add(&result);
            }
        }
        answers
    }

    async fn send(&self, client: &Client, turn: usize) -> Outcome {
        let entry_host = self.entry_hosts[turn % self.entry_hosts.len()];
        let uri = format!("http://{entry_host}/v1/services/{}/slots", self.service);
        let request = http::Request::get(uri)
            .header("x-team", "demo")
            .header("x-deadline-ms", REQUEST_TIME_MS)
            .body(Full::new(Bytes::new()));
        let Ok(request) = request else {
            return Outcome::Unreachable;
        };
        let Ok(response) = client.request(request).await else {
            return Outcome::Unreachable;
        };
        let code = result_code_of(&response);
        if response.into_body().collect().await.is_err() {
            return Outcome::Unknown;
        }
        match code {
            Some(code) if (2_000..3_000).contains(&code) => Outcome::NotRun,
            Some(code) if code >= 3_000 => Outcome::Unknown,
            Some(code) if code != result_code::ResultCode::Ok.number() => Outcome::NotRun,
            _ => Outcome::Answered,
        }
    }
}

/// Sends requests through each entry host in turn until it answers one. Returns the first entry
/// host that answered none of so many probes; `None` if all serve.
pub async fn first_unserved(entry_hosts: &[SocketAddr], service: &id::JobId) -> Option<SocketAddr> {
    for &entry_host in entry_hosts {
        if !serves(entry_host, service).await {
            return Some(entry_host);
        }
    }
    None
}

async fn serves(entry_host: SocketAddr, service: &id::JobId) -> bool {
    for _ in 0..MOST_PROBES {
        let probe = Load::new(vec![entry_host], service);
        if probe.run_for(PROBE).await.answered > 0 {
            return true;
        }
    }
    false
}

async fn call(load: Arc<Load>, client: Client, number: usize, until: Instant) -> Answers {
    let mut answers = Answers::default();
    let mut turn = number;
    while Instant::now() < until {
        let began = Instant::now();
        let outcome = load.send(&client, turn).await;
        turn += 1;
        match outcome {
            Outcome::Answered => {
                answers.answered += 1;
                let micros = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
                // The histogram grows as needed, so recording cannot fail.
                let _ = answers.latency_us.record(micros);
                continue;
            }
            Outcome::NotRun => answers.not_run += 1,
            Outcome::Unknown => answers.unknown += 1,
            Outcome::Unreachable => answers.unreachable += 1,
        }
        tokio::time::sleep(PAUSE_AFTER_REFUSAL).await;
    }
    answers
}

fn result_code_of(response: &http::Response<hyper::body::Incoming>) -> Option<u16> {
    let value = response.headers().get("x-result-code")?;
    value.to_str().ok()?.parse().ok()
}
