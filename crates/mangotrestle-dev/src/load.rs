//! A small load generator: callers send requests to entry hosts and count the outcomes.

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

/// Delay before a caller's next request after one that failed or was refused.
const DELAY_AFTER_FAILURE: Duration = Duration::from_millis(20);
/// Deadline of each request, as a header value.
const REQUEST_DEADLINE_MS: &str = "2000";

/// Duration of one probe of an entry host.
const PROBE_DURATION: Duration = Duration::from_millis(50);
/// Maximum number of probes of an entry host before it counts as not serving.
const MAX_PROBES: u32 = 200;

type Client = legacy::Client<connect::HttpConnector, Full<Bytes>>;

/// Callers of one service.
#[derive(Clone, Debug)]
pub struct Load {
    entry_hosts: Vec<SocketAddr>,
    service: id::JobId,
    callers: usize,
}

/// Counted outcomes of requests, with the latencies of those that were answered.
#[derive(Clone, Debug)]
pub struct OutcomeCounts {
    /// Requests that got a complete answer and were not refused.
    pub answered: u64,
    /// Requests that were refused and did not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown: the answer broke off, or its result code says so.
    pub unknown: u64,
    /// Requests that got no answer because the call to the entry host failed.
    pub unreachable: u64,
    latency_us: Histogram<u64>,
}

impl Default for OutcomeCounts {
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

impl OutcomeCounts {
    fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unreachable += other.unreachable;
        // Both histograms grow as needed, so adding cannot fail.
        let _ = self.latency_us.add(&other.latency_us);
    }

    /// Returns the given quantile, between 0 and 1, of the latencies of answered requests in
    /// microseconds.
    #[must_use]
    pub fn latency_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }
}

impl fmt::Display for OutcomeCounts {
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

/// Outcome of one request.
enum Outcome {
    Answered,
    NotRun,
    Unknown,
    Unreachable,
}

impl Load {
    /// Load on a service, with one caller by default.
    #[must_use]
    pub fn new(entry_hosts: Vec<SocketAddr>, service: &id::JobId) -> Self {
        Self {
            entry_hosts,
            service: service.clone(),
            callers: 1,
        }
    }

    /// Number of callers that send requests concurrently. Default: 1.
    #[must_use]
    pub const fn callers(mut self, callers: usize) -> Self {
        self.callers = callers;
        self
    }

    /// Lets the callers send requests until `duration` has passed. Each caller sends one request at
    /// a time and uses the entry hosts in turn.
    pub async fn run_for(self, duration: Duration) -> OutcomeCounts {
        let client: Client = legacy::Client::builder(TokioExecutor::new()).build_http();
        let deadline = Instant::now() + duration;
        let load = Arc::new(self);
        let mut callers = task::JoinSet::new();
        for caller_index in 0..load.callers {
            callers.spawn(run_caller(
                Arc::clone(&load),
                client.clone(),
                caller_index,
                deadline,
            ));
        }
        let mut counts = OutcomeCounts::default();
        while let Some(result) = callers.join_next().await {
            if let Ok(result) = result {
                counts.add(&result);
            }
        }
        counts
    }

    async fn send(&self, client: &Client, request_index: usize) -> Outcome {
        let entry_host = self.entry_hosts[request_index % self.entry_hosts.len()];
        let uri = format!("http://{entry_host}/v1/services/{}/slots", self.service);
        let request = http::Request::get(uri)
            .header("x-team", "demo")
            .header("x-deadline-ms", REQUEST_DEADLINE_MS)
            .body(Full::new(Bytes::new()));
        let Ok(request) = request else {
            return Outcome::Unreachable;
        };
        let Ok(response) = client.request(request).await else {
            return Outcome::Unreachable;
        };
        let code = result_code_number(&response);
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

/// Sends requests to each entry host in turn until it answers one. Returns the first entry host
/// that answered none of `MAX_PROBES` probes, or `None` if all entry hosts serve.
pub async fn find_unserving(entry_hosts: &[SocketAddr], service: &id::JobId) -> Option<SocketAddr> {
    for &entry_host in entry_hosts {
        if !serves(entry_host, service).await {
            return Some(entry_host);
        }
    }
    None
}

async fn serves(entry_host: SocketAddr, service: &id::JobId) -> bool {
    for _ in 0..MAX_PROBES {
        let probe = Load::new(vec![entry_host], service);
        if probe.run_for(PROBE_DURATION).await.answered > 0 {
            return true;
        }
    }
    false
}

async fn run_caller(
    load: Arc<Load>,
    client: Client,
    caller_index: usize,
    deadline: Instant,
) -> OutcomeCounts {
    let mut counts = OutcomeCounts::default();
    let mut request_index = caller_index;
    while Instant::now() < deadline {
        let sent_at = Instant::now();
        let outcome = load.send(&client, request_index).await;
        request_index += 1;
        match outcome {
            Outcome::Answered => {
                counts.answered += 1;
                let micros = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
                // The histogram grows as needed, so recording cannot fail.
                let _ = counts.latency_us.record(micros);
                continue;
            }
            Outcome::NotRun => counts.not_run += 1,
            Outcome::Unknown => counts.unknown += 1,
            Outcome::Unreachable => counts.unreachable += 1,
        }
        tokio::time::sleep(DELAY_AFTER_FAILURE).await;
    }
    counts
}

fn result_code_number(response: &http::Response<hyper::body::Incoming>) -> Option<u16> {
    let value = response.headers().get("x-result-code")?;
    value.to_str().ok()?.parse().ok()
}
