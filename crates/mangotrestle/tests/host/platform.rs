//! Stand-ins of the users' platform: its store in memory, and hosts and callers beside it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Json;
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use http::StatusCode;
use mangotrestle_users_platform::store::Value as StoredValue;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Time for an answer to a caller.
const ANSWER: Duration = Duration::from_secs(5);
/// Name of the host that callers ask for.
const SITE: &str = "jobs.example";

/// Table, part and key.
type Name = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Name, (u64, Option<Value>)>,
}

/// The platform's store.
#[derive(Default)]
struct Store {
    rows: Mutex<Rows>,
    changed: Notify,
    silent: AtomicBool,
    calls: AtomicU64,
}

impl Store {
    /// Never ends while the store is silent; a call that was caught stays unanswered.
    async fn heard(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

fn text(entry: &Value, field: &str) -> String {
    entry[field].as_str().unwrap_or_default().to_owned()
}

fn name(entry: &Value) -> Name {
    (
        text(entry, "table"),
        text(entry, "part"),
        text(entry, "key"),
    )
}

fn entries(body: &Value, field: &str) -> Vec<Value> {
    body[field].as_array().cloned().unwrap_or_default()
}

fn row((table, part, key): &Name, version: u64, value: Option<&Value>) -> Value {
    let mut row = json!({"table": table, "part": part, "key": key, "ver": version});
    match value {
        Some(value) => row["value"] = value.clone(),
        None => row["tombstone"] = json!(true),
    }
    row
}

async fn transact(State(store): State<Arc<Store>>, Json(body): Json<Value>) -> Response {
    store.heard().await;
    let mut rows = store.rows.lock().expect("the rows");
    let expected = entries(&body, "expect_rev");
    let present = |entry: &Value| match rows.rows.get(&name(entry)) {
        Some((version, Some(_))) => *version,
        _ => 0,
    };
    if expected
        .iter()
        .any(|one| present(one) != one["ver"].as_u64().unwrap_or_default())
    {
        let found: Vec<Value> = expected
            .iter()
            .filter_map(|entry| {
                let name = name(entry);
                let (version, value) = rows.rows.get(&name)?;
                value
                    .as_ref()
                    .map(|value| row(&name, *version, Some(value)))
            })
            .collect();
        let body = json!({"rows": found, "ver": rows.version});
        return (StatusCode::PRECONDITION_FAILED, Json(body)).into_response();
    }
    rows.version += 1;
    let version = rows.version;
    for entry in entries(&body, "set_keys") {
        let value = entry["value"].clone();
        rows.rows.insert(name(&entry), (version, Some(value)));
    }
    for entry in entries(&body, "remove") {
        rows.rows.insert(name(&entry), (version, None));
    }
    drop(rows);
    store.changed.notify_waiters();
    Json(json!({"ver": version})).into_response()
}

async fn read(
    State(store): State<Arc<Store>>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Json<Value> {
    store.heard().await;
    let field = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (table, part, from, to) = (field("table"), field("part"), field("from"), field("to"));
    let rows = store.rows.lock().expect("the rows");
    let found: Vec<Value> = rows
        .rows
        .iter()
        .filter(|((own, at, key), _)| *own == table && *at == part && *key >= from)
        .filter(|((_, _, key), _)| to.is_empty() || *key < to)
        .filter_map(|(name, (version, value))| {
            value.as_ref().map(|value| row(name, *version, Some(value)))
        })
        .collect();
    Json(json!({"rows": found, "truncated": false, "ver": rows.version, "now_ms": 1}))
}

async fn feed(
    State(store): State<Arc<Store>>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Json<Value> {
    store.heard().await;
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
    let after: u64 = number("after").unwrap_or_default();
    let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
    let table = query.get("table").cloned().unwrap_or_default();
    let end = tokio::time::Instant::now() + wait;
    loop {
        let changed = store.changed.notified();
        let answer = {
            let rows = store.rows.lock().expect("the rows");
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((own, _, _), (version, _))| *own == table && *version > after)
                .collect();
            found.sort_by_key(|(_, (version, _))| *version);
            let found: Vec<Value> = found
                .into_iter()
                .map(|(name, (version, value))| row(name, *version, value.as_ref()))
                .collect();
            (!found.is_empty() || tokio::time::Instant::now() >= end)
                .then(|| json!({"rows": found, "ver": rows.version, "now_ms": 1}))
        };
        if let Some(answer) = answer {
            store.heard().await;
            return Json(answer);
        }
        // Either a change or the end of the wait.
        let _ = tokio::time::timeout_at(end, changed).await;
    }
}

/// The platform with one queue.
pub struct Platform {
    store: Arc<Store>,
    address: SocketAddr,
}

impl Platform {
    /// Starts the store and writes a configuration.
    pub async fn start() -> Self {
        let store = Arc::new(Store::default());
        let configuration = json!({
            "version": 1,
            "routes": [{"name": "r-1", "host": SITE, "path_prefix": "/q/", "service": "pool",
                "priority": 0, "target_latency_ms": 250, "max_attempts": 3, "stretch": 1.5}],
            "services": [{"name": "pool", "rejects_overload": false}],
            "limits": {"max_body_bytes": 262_144},
        });
        let value = StoredValue(configuration.to_string().into_bytes());
        let value = serde_json::to_value(value).expect("a value");
        let name = ("op".to_owned(), String::new(), "config".to_owned());
        {
            let mut rows = store.rows.lock().expect("the rows");
            rows.version = 1;
            rows.rows.insert(name, (1, Some(value)));
        }
        let routes = axum::Router::new()
            .route("/rows-tx", post(transact))
            .route("/rows-get", get(read))
            .route("/rows-feed", get(feed))
            .with_state(Arc::clone(&store));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move { axum::serve(listener, routes).await });
        Self { store, address }
    }

    /// Lets the store leave every call unanswered, or answer again.
    pub fn set_silent(&self, silent: bool) {
        self.store.silent.store(silent, Ordering::Relaxed);
    }

    /// Jobs in the pool's inbox.
    pub fn accepted_jobs(&self) -> usize {
        self.job_keys().len()
    }

    /// Whether a job is in the pool's inbox.
    pub fn has_job(&self, number: u64) -> bool {
        self.job_keys().contains(&id(number))
    }

    fn job_keys(&self) -> Vec<String> {
        let rows = self.store.rows.lock().expect("the rows");
        let names = rows.rows.iter().filter(|(_, (_, value))| value.is_some());
        names
            .filter(|((table, _, key), _)| table == "inbox" && key.len() == id(0).len())
            .map(|((_, _, key), _)| key.clone())
            .collect()
    }
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// A process of a host.
pub struct Host {
    process: Child,
    front: SocketAddr,
    settings: std::path::PathBuf,
}

impl Host {
    /// Starts a host.
    pub async fn start(name: &str, platform: &Platform) -> Self {
        let ports = free_ports().await;
        let front = SocketAddr::from(([127, 0, 0, 1], ports[0]));
        let settings = json!({
            "node": name, "ip": "127.0.0.1", "zone": "a",
            "listen": {"front": front.to_string(), "readiness": format!("127.0.0.1:{}", ports[1])},
            "internal_ports": [ports[2], ports[2]],
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260},
            "platform": {"address": platform.address.to_string()},
        });
        let file = format!("mangotrestle-{}-{}.json", std::process::id(), ports[0]);
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        let process = Command::new(env!("CARGO_BIN_EXE_mangotrestle"))
            .arg("host")
            .arg("--settings-file")
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .expect("a process");
        Self {
            process,
            front,
            settings: path,
        }
    }

    /// A caller of this host.
    pub fn caller(&self) -> Caller {
        Caller { front: self.front }
    }

    /// Ends the process without warning.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // A process that has ended already is what is wanted.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Ports that were free a moment ago.
async fn free_ports() -> Vec<u16> {
    let mut listeners = Vec::new();
    for _ in 0..3 {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
    }
    let addresses = listeners
        .iter()
        .map(|one| one.local_addr().expect("an address"));
    addresses.map(|address| address.port()).collect()
}

/// Answer to a caller.
#[derive(Debug)]
pub struct Answer {
    /// Status, zero if there was no answer.
    pub status: u16,
    /// When to come back, in seconds.
    pub retry_after_s: Option<u64>,
    /// The body.
    pub body: String,
}

/// Calls a host, each time on a new connection.
pub struct Caller {
    front: SocketAddr,
}

impl Caller {
    /// Submits a job of one task.
    pub async fn submit(&self, number: u64) -> Answer {
        let step = json!({"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 100});
        let job = json!({"spec": "work", "steps": [step]});
        self.call("POST", number, &job.to_string()).await
    }

    /// Asks for a job's state.
    pub async fn state(&self, number: u64) -> Answer {
        self.call("GET", number, "").await
    }

    /// Cancels a job.
    pub async fn cancel(&self, number: u64) -> Answer {
        self.call("DELETE", number, "").await
    }

    async fn call(&self, method: &str, number: u64, body: &str) -> Answer {
        let request = format!(
            "{method} /q/{} HTTP/1.1\r\nHost: {SITE}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nDeadline-Ms: 3000\r\nConnection: close\r\n\r\n{body}",
            id(number),
            body.len(),
        );
        let answered = tokio::time::timeout(ANSWER, self.exchange(&request)).await;
        let text = match answered {
            Ok(Ok(text)) => text,
            Ok(Err(_)) | Err(_) => String::new(),
        };
        let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
        let retry_after_s = text.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            let named = name.eq_ignore_ascii_case("retry-after");
            named.then(|| value.trim().parse().ok()).flatten()
        });
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
        Answer {
            status: status.unwrap_or_default(),
            retry_after_s,
            body: body.unwrap_or_default(),
        }
    }

    async fn exchange(&self, request: &str) -> std::io::Result<String> {
        let mut stream = TcpStream::connect(self.front).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await?;
        Ok(text)
    }
}
