//! Cost of a heartbeat over the real protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use mangotrestle_core::result_code;
use mangotrestle_peer::{PeerBackend, PeerClient, PeerServer, message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::measure::report::{Figure, Target};

/// Number of heartbeats that are timed.
const TIMED_HEARTBEATS: u32 = 2_000;

/// A peer that answers each heartbeat with the same heartbeat.
struct Echo;

impl PeerBackend for Echo {
    async fn heartbeat(
        &self,
        heartbeat: message::Heartbeat,
    ) -> Result<message::Heartbeat, result_code::ResultCode> {
        Ok(heartbeat)
    }

    async fn config(
        &self,
        _request: message::ConfigRequest,
    ) -> Result<message::ConfigAnswer, result_code::ResultCode> {
        Err(result_code::ResultCode::NotFound)
    }

    async fn routes(
        &self,
        _request: message::RoutesRequest,
    ) -> Result<message::RoutesAnswer, result_code::ResultCode> {
        Err(result_code::ResultCode::NotLeader)
    }

    async fn inbox_changed(
        &self,
        _notice: message::InboxNotice,
    ) -> Result<(), result_code::ResultCode> {
        Err(result_code::ResultCode::NotLeader)
    }

    async fn query(
        &self,
        _question: serde_json::Value,
    ) -> Result<serde_json::Value, result_code::ResultCode> {
        Err(result_code::ResultCode::NotFound)
    }
}

/// Measures the cost of a heartbeat exchange, and computes that of an entry host with the given
/// rate of exchanges.
pub(super) fn measure(exchanges_per_s: f64, figures: &mut Vec<Figure>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let cost = runtime.block_on(run());
    figures.push(Figure::new(
        "heartbeat and its answer, both ends",
        cost.ns,
        "ns",
    ));
    figures.push(Figure::new("heartbeat and its answer", cost.bytes, "B"));
    let per_s = cost.bytes * exchanges_per_s;
    figures.push(
        Figure::new("heartbeats of an entry host among 72", per_s / 1e3, "KB/s")
            .target(Target::AtMost(9.0)),
    );
    // The measured time includes both ends; half of it is an entry host's.
    let core_percent = cost.ns / 2.0 * exchanges_per_s / 1e9 * 100.0;
    figures.push(
        Figure::new(
            "heartbeats of an entry host among 72",
            core_percent,
            "% of a core",
        )
        .target(Target::AtMost(3.5)),
    );
}

/// Mean cost of one heartbeat with its answer, at both ends together.
struct Cost {
    ns: f64,
    bytes: f64,
}

async fn run() -> Cost {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    tokio::spawn(PeerServer::serve(
        listener,
        Arc::new(Echo),
        std::future::pending(),
    ));
    let ns = time_heartbeats(address).await;
    let byte_count = Arc::new(AtomicU64::new(0));
    let proxy_address = start_counting_proxy(address, Arc::clone(&byte_count)).await;
    let client = PeerClient::new(proxy_address).expect("a valid address");
    for _ in 0..100 {
        client.heartbeat(heartbeat()).await.expect("the peer is up");
    }
    let bytes = byte_count.load(Ordering::Relaxed);
    let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / 100.0;
    Cost { ns, bytes }
}

async fn time_heartbeats(address: SocketAddr) -> f64 {
    let client = PeerClient::new(address).expect("a valid address");
    client.heartbeat(heartbeat()).await.expect("the peer is up");
    let started = Instant::now();
    for _ in 0..TIMED_HEARTBEATS {
        client.heartbeat(heartbeat()).await.expect("the peer is up");
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(TIMED_HEARTBEATS)
}

/// Starts a proxy that counts the bytes in both directions, and returns its address.
async fn start_counting_proxy(to: SocketAddr, byte_count: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(to).await else {
                return;
            };
            let (from_client, to_client) = client.into_split();
            let (from_server, to_server) = server.into_split();
            tokio::spawn(copy(from_client, to_server, Arc::clone(&byte_count)));
            tokio::spawn(copy(from_server, to_client, Arc::clone(&byte_count)));
        }
    });
    address
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    byte_count: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 4_096];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        byte_count.fetch_add(length as u64, Ordering::Relaxed);
    }
}

fn heartbeat() -> message::Heartbeat {
    let value = serde_json::json!({
        "protocol": message::PROTOCOL_VERSION,
        "host": "entry-marousi-03",
        "incarnation": 1_700_000_000_000_u64,
        "availability_zone": "marousi",
        "config_version": 12_345,
        "config_in_force_wall_ms": 1_700_000_000_000_u64,
        "wall_ms": 1_700_000_000_000_u64,
        "leads": [{"pool": "marousi-2", "epoch": 42, "routes_version": 99}],
    });
    serde_json::from_value(value).expect("a valid heartbeat")
}
