//! A stand-in for the platform: its store, the list of machines, and the start of hosts.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::json::{self, Value, table};
use crate::net::{self, Answer, Request};
use crate::record::Record;
use crate::worker::Worker;

/// Maximum number of rows in an answer.
const MAX_ROWS: usize = 500;
/// Interval at which workers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time within which the hosts have to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Share of the writes that are done late, in thousandths.
const LOST_PER_MILLE: u64 = 350;
/// Name of the one service.
pub const SERVICE: &str = "svc1";
/// Host name and path prefix of the one queue.
pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/queue1/";

type Key = (String, String, String);

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<Key, (u64, Option<String>)>,
    loses_writes: bool,
    /// State of the generator of the writes to lose.
    random: u64,
}

/// The store and what else there is once.
pub struct Platform {
    tables: Mutex<Tables>,
    changed: Condvar,
    began: Instant,
    record: Record,
    workers: Vec<Worker>,
}

/// A host that was started.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    pub child: usize,
    folder: PathBuf,
    place: (u8, IpAddr, u16),
    addresses: (SocketAddr, SocketAddr),
}

impl Host {
    /// Starts the host again, with its name and addresses, after its process has ended.
    pub fn restart(&mut self, record: &Record) -> Result<(), String> {
        let (store, cloud) = self.addresses;
        *self = start_host(record, &self.folder, self.place, store, cloud)?;
        Ok(())
    }

    /// Whether it answers that it is ready.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_secs(1);
        let answer = net::call(self.readiness, "GET", "/readiness", "", "", timeout);
        answer.is_some_and(|(status, _)| status == 200)
    }
}

fn key_of(row: &Value) -> Key {
    let field = |name: &str| row.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn encode_row((name, part, key): &Key, version: u64, value: Option<&String>) -> Value {
    let mut fields = vec![
        ("table".to_owned(), name.as_str().into()),
        ("part".to_owned(), part.as_str().into()),
        ("key".to_owned(), key.as_str().into()),
        ("ver".to_owned(), version.into()),
    ];
    fields.push(match value {
        Some(value) => ("value".to_owned(), value.as_str().into()),
        None => ("tombstone".to_owned(), true.into()),
    });
    Value::Table(fields)
}

impl Platform {
    /// Starts the store with a configuration of one queue, and the entries of the workers. Returns
    /// the addresses of the store and of the list of machines.
    pub fn start(
        record: &Record,
        workers: Vec<Worker>,
        route: Value,
    ) -> Result<(Arc<Self>, SocketAddr, SocketAddr), String> {
        let platform = Arc::new(Self {
            tables: Mutex::new(Tables {
                random: seed(),
                ..Tables::default()
            }),
            changed: Condvar::new(),
            began: Instant::now(),
            record: record.clone(),
            workers,
        });
        let listen = || TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string());
        let (store, cloud) = (listen()?, listen()?);
        let address = |listener: &TcpListener| listener.local_addr().map_err(|e| e.to_string());
        let addresses = (address(&store)?, address(&cloud)?);
        let served = Arc::clone(&platform);
        net::serve(store, move |request| served.answer(request));
        let served = Arc::clone(&platform);
        net::serve(cloud, move |_| served.machines());
        let configuration = table([
            ("version", 1_u64.into()),
            ("routes", vec![route].into()),
            (
                "services",
                vec![table([
                    ("name", SERVICE.into()),
                    ("health_path", "/health".into()),
                    ("max_conns", 64_u64.into()),
                    ("protocol", "h1".into()),
                    ("tls", false.into()),
                    ("rejects_overload", false.into()),
                    ("standby", false.into()),
                ])]
                .into(),
            ),
            ("limits", table([("max_body_bytes", 262_144_u64.into())])),
        ]);
        platform.write("op", "config", &configuration);
        let beating = Arc::clone(&platform);
        std::thread::spawn(move || {
            loop {
                for worker in &beating.workers {
                    if !worker.has_crashed() {
                        beating.write_entry(worker);
                    }
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok((platform, addresses.0, addresses.1))
    }

    /// Returns the route of the one queue.
    pub fn route() -> Value {
        table([
            ("name", "r-1".into()),
            ("host", HOST.into()),
            ("path_prefix", PREFIX.into()),
            ("kind", "unsafe".into()),
            ("timeout_ms", 3_000_u64.into()),
            ("target_latency_ms", 3_000_u64.into()),
            ("priority", 1_u64.into()),
            ("service", SERVICE.into()),
            ("max_attempts", 3_u64.into()),
            ("stretch", 4.0.into()),
        ])
    }

    fn write_entry(&self, worker: &Worker) {
        let clock_ms = worker.clock_ms();
        let shape = worker.shape();
        let entry = table([
            ("service", SERVICE.into()),
            ("address", worker.address.to_string().into()),
            ("zone", "zone-a".into()),
            ("version", "v1".into()),
            ("slots", 8_u64.into()),
            ("state", "ready".into()),
            ("cold_left_ms", 0_u64.into()),
            (
                "capacity",
                table([
                    ("cpu", shape.cpu.into()),
                    ("mem_mb", shape.mem_mb.into()),
                    ("gpu", 0_u64.into()),
                ]),
            ),
            ("labels", vec!["a".into(), shape.rack.into()].into()),
            ("clock_ms", clock_ms.into()),
            ("seq", (clock_ms / 1_000).into()),
        ]);
        self.write("servers", worker.id(), &entry);
    }

    /// Writes a row of the operator or of a worker.
    fn write(&self, name: &str, key: &str, value: &Value) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let row = (
            tables.version,
            Some(json::base64(value.encode().as_bytes())),
        );
        tables
            .rows
            .insert((name.to_owned(), String::new(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// Removes the entry of a worker that has left or has been silent for three heartbeats.
    pub fn remove_entry(&self, worker: &Worker) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let key = ("servers".to_owned(), String::new(), worker.id().to_owned());
        let row = (tables.version, None);
        tables.rows.insert(key, row);
        self.changed.notify_all();
    }

    /// Sets whether answers of the store are lost: a share of the writes is not answered, and done 1 to
    /// 6 s later if its condition then holds.
    pub fn set_loses_writes(&self, loses_writes: bool) {
        let what = if loses_writes {
            "does some writes late and does not answer them"
        } else {
            "answers all writes"
        };
        self.record.line("store", what);
        self.tables.lock().unwrap().loses_writes = loses_writes;
    }

    /// Returns how much later a write is done that gets no answer; `None` for the others.
    fn lateness(&self) -> Option<Duration> {
        let mut tables = self.tables.lock().unwrap();
        if !tables.loses_writes {
            return None;
        }
        let mut random = || {
            // xorshift
            tables.random ^= tables.random << 13;
            tables.random ^= tables.random >> 7;
            tables.random ^= tables.random << 17;
            tables.random % 1_000
        };
        let is_lost = random() < LOST_PER_MILLE;
        is_lost.then(|| Duration::from_millis(1_000 + 5 * random()))
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Answer {
        // Times of the site file: 4 ms an answer, 6 ms a transaction.
        match request.path.as_str() {
            "/rows-tx" => {
                std::thread::sleep(Duration::from_millis(6));
                if let Some(lateness) = self.lateness() {
                    self.transact_late(request.body.clone(), lateness);
                    // Nothing more is answered on this connection.
                    std::thread::sleep(Duration::from_secs(10));
                    return Answer::Close;
                }
                self.transact(&request.body)
            }
            "/rows-get" => {
                std::thread::sleep(Duration::from_millis(4));
                self.read(request)
            }
            "/rows-feed" => {
                std::thread::sleep(Duration::from_millis(4));
                self.feed(request)
            }
            _ => Answer::Send(404, String::new()),
        }
    }

    fn body(&self, rows: Vec<Value>, version: u64) -> String {
        let now_ms = self.began.elapsed().as_millis() as u64;
        let body = table([
            ("rows", rows.into()),
            ("truncated", false.into()),
            ("ver", version.into()),
            ("now_ms", now_ms.into()),
        ]);
        body.encode()
    }

    fn transact_late(self: &Arc<Self>, body: String, lateness: Duration) {
        let store = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(lateness);
            let done = matches!(store.transact(&body), Answer::Send(200, _));
            let after_ms = lateness.as_millis();
            let what = format!("a write that it left unanswered, {after_ms} ms late: done {done}");
            store.record.line("store", &what);
        });
    }

    fn transact(&self, body: &str) -> Answer {
        let Some(body) = json::decode(body) else {
            return Answer::Send(400, String::new());
        };
        let mut tables = self.tables.lock().unwrap();
        let expected = body.get("expect_rev").list();
        let current = |row: &Value| match tables.rows.get(&key_of(row)) {
            Some((version, Some(_))) => *version,
            _ => 0,
        };
        if expected
            .iter()
            .any(|row| current(row) != row.get("ver").number())
        {
            let found = expected.iter().filter_map(|row| {
                let key = key_of(row);
                let (version, value) = tables.rows.get(&key)?;
                let value = value.as_ref()?;
                Some(encode_row(&key, *version, Some(value)))
            });
            let found = found.collect();
            return Answer::Send(412, self.body(found, tables.version));
        }
        tables.version += 1;
        let version = tables.version;
        for row in body.get("set_keys").list() {
            let value = row.get("value").text().to_owned();
            tables.rows.insert(key_of(row), (version, Some(value)));
        }
        for row in body.get("remove").list() {
            tables.rows.insert(key_of(row), (version, None));
        }
        self.changed.notify_all();
        Answer::Send(200, self.body(Vec::new(), version))
    }

    fn read(&self, request: &Request) -> Answer {
        let (name, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("to"));
        let tables = self.tables.lock().unwrap();
        let rows = tables
            .rows
            .iter()
            .filter(|((row_table, row_part, key), _)| {
                row_table == name
                    && row_part == part
                    && key.as_str() >= from
                    && (to.is_empty() || key.as_str() < to)
            });
        let rows = rows.filter_map(|(key, (version, value))| {
            let value = value.as_ref()?;
            Some(encode_row(key, *version, Some(value)))
        });
        let rows: Vec<Value> = rows.take(MAX_ROWS).collect();
        Answer::Send(200, self.body(rows, tables.version))
    }

    fn feed(&self, request: &Request) -> Answer {
        let name = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or_default();
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut tables = self.tables.lock().unwrap();
        loop {
            let changed = tables
                .rows
                .iter()
                .filter(|((row_table, _, _), (version, _))| row_table == name && *version > after);
            let mut changed: Vec<_> = changed.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, (version, _))| *version);
                changed.truncate(MAX_ROWS);
                let last = changed.last().map(|(_, (version, _))| *version);
                let is_cut = changed.len() == MAX_ROWS;
                let version = last.filter(|_| is_cut).unwrap_or(tables.version);
                let rows = changed
                    .iter()
                    .map(|(key, (version, value))| encode_row(key, *version, value.as_ref()));
                let rows = rows.collect();
                return Answer::Send(200, self.body(rows, version));
            }
            tables = self.changed.wait_timeout(tables, left).unwrap().0;
        }
    }

    fn machines(&self) -> Answer {
        let machines = self.workers.iter().map(|worker| {
            // A machine that is down runs no worker.
            let (state, id) = match worker.has_crashed() {
                true => ("down", Value::Null),
                false => ("up", worker.id().into()),
            };
            let labels = vec!["a".into(), worker.shape().rack.into()];
            table([
                ("machine", format!("m-{}", worker.id()).into()),
                ("pool", SERVICE.into()),
                ("state", state.into()),
                ("zone", "zone-a".into()),
                ("labels", labels.into()),
                ("id", id),
            ])
        });
        let machines: Vec<Value> = machines.collect();
        let body = table([("machines", machines.into()), ("next_token", Value::Null)]);
        Answer::Send(200, body.encode())
    }
}

/// Starts hosts, each at a loopback address of its own, and waits until all are ready.
pub fn start_hosts(
    record: &Record,
    count: u8,
    store: SocketAddr,
    cloud: SocketAddr,
) -> Result<Vec<Host>, String> {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let address = |index: u8| IpAddr::V4(Ipv4Addr::new(127, 0, 0, 11 + index));
    let base = free_ports((0..count).map(address).collect())?;
    let mut hosts = Vec::new();
    for index in 0..count {
        hosts.push(start_host(
            record,
            &folder,
            (index, address(index), base),
            store,
            cloud,
        )?);
    }
    let began = Instant::now();
    for host in &hosts {
        while !host.is_ready() {
            if began.elapsed() > START_TIMEOUT {
                return Err(format!("{} is not ready", host.name));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(hosts)
}

/// Returns the first of 20 ports that are free at all addresses.
fn free_ports(addresses: Vec<IpAddr>) -> Result<u16, String> {
    let seed = std::process::id() as u16 % 400;
    for attempt in 0..40_u16 {
        let base = 21_000 + (seed + attempt * 37) % 500 * 20;
        let is_free = |port: u16| {
            let mut addresses = addresses.iter();
            addresses.all(|address| TcpListener::bind((*address, port)).is_ok())
        };
        if (base..base + 20).all(is_free) {
            return Ok(base);
        }
    }
    Err("no free ports".to_owned())
}

fn start_host(
    record: &Record,
    folder: &PathBuf,
    (index, ip, base): (u8, IpAddr, u16),
    store: SocketAddr,
    cloud: SocketAddr,
) -> Result<Host, String> {
    let name = format!("front-a-{}", index + 1);
    let at = |offset: u16| SocketAddr::new(ip, base + offset);
    let settings = format!(
        r#"{{"node":"{name}","role":"host","machine_class":"front","serves":["front"],"ip":"{ip}",
"zone":"zone-a","region":"region-a","zones":{{"zone-a":"region-a"}},
"listen":{{"front":"{}","readiness":"{}"}},"internal_ports":[{},{}],"seeds":[],"bootstrap":true,
"counts_toward_loss":true,"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,
"link_mbps":1000.0,"disk_mb":0}},"data_dir":null,"discovery":"platform","entry":"vip",
"heartbeat_ms":1500,"contracts":["base","drain","config","cost","recover","sched","platform"],
"fault_tolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"contact_ms":3000,"ack_ms":4000,"drain_ms":2000,"grace_s":6,"config_apply_ms":2000,
"rollback_slack_ms":250,"hold_max_ms":10000,"stop_ms":400,"gang_ms":3000,"cancel_ms":3000,
"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"lease_ms":3000,"pace_ms":100,
"harm_ms":4000}},"commands":"rpc",
"platform":{{"address":"{store}","form":"table","writes_per_s":800,"reads_per_s":2000,"tx_ms":6.0,
"partition_writes_s":200,"row_bytes":65536,"across":false,"history_s":20}},
"cloud":{{"address":"{cloud}","rate_per_s":60.0,"duties":[],"duty_per_s":60.0}}}}"#,
        at(0),
        at(1),
        base + 4,
        base + 19,
    );
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, settings).map_err(|error| error.to_string())?;
    let log = std::fs::File::create(folder.join(format!("{name}.log")));
    let log = log.map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let child = Command::new("target/release/mangotrestle")
        .arg("host")
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("MANGOTRESTLE_SETTINGS", &path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn();
    let child = child.map_err(|error| format!("mangotrestle does not start: {error}"))?;
    record.line("script", &format!("starts {name}, process {}", child.id()));
    Ok(Host {
        name,
        front: at(0),
        readiness: at(1),
        child: record.add_child(child),
        folder: folder.clone(),
        place: (index, ip, base),
        addresses: (store, cloud),
    })
}

/// Submits a job, again with the same identifier until it is answered with success. Returns whether it
/// was.
pub fn submit(record: &Record, hosts: &[Host], job: &str, body: &Value) -> bool {
    let fronts: Vec<_> = hosts
        .iter()
        .map(|host| (host.name.clone(), host.front))
        .collect();
    submit_to(record, &fronts, job, body)
}

/// Submits a job to hosts of these names and addresses.
pub fn submit_to(
    record: &Record,
    fronts: &[(String, SocketAddr)],
    job: &str,
    body: &Value,
) -> bool {
    let body = body.encode();
    let headers = format!("host: {HOST}\r\ndeadline-ms: 3000\r\n");
    for attempt in 0..5 {
        let (name, front) = &fronts[attempt % fronts.len()];
        let target = format!("{PREFIX}{job}");
        let timeout = Duration::from_secs(3);
        let answer = net::call(*front, "POST", &target, &headers, &body, timeout);
        let status = answer.map(|(status, _)| status);
        record.line("client", &format!("POST {job} at {name}: {status:?}"));
        if status.is_some_and(|status| (200..300).contains(&status)) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    false
}

/// Returns what a host answers about a job.
pub fn state(record: &Record, host: &Host, job: &str) -> Option<(u16, String)> {
    let headers = format!("host: {HOST}\r\ndeadline-ms: 3000\r\n");
    let target = format!("{PREFIX}{job}");
    let timeout = Duration::from_secs(3);
    let answer = net::call(host.front, "GET", &target, &headers, "", timeout);
    record.line("client", &format!("GET {job} at {}: {answer:?}", host.name));
    answer
}

/// Whether the first host shows a job as completed.
pub fn is_completed(record: &Record, hosts: &[Host], job: &str) -> bool {
    let answer = state(record, &hosts[0], job);
    answer.is_some_and(|(status, body)| status == 200 && body.contains("completed"))
}

/// Waits until a condition holds; `None` if it does not in time.
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> Option<()> {
    let began = Instant::now();
    while began.elapsed() < timeout {
        if condition() {
            return Some(());
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    None
}

/// Returns a number that differs between runs.
fn seed() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(1, |span| span.as_nanos() as u64);
    (nanos ^ u64::from(std::process::id()) << 40).max(1)
}
