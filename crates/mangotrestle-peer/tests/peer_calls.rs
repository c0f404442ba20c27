//! Calls between peers: repeated, reordered, of another release, too large, or no message at all.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use mangotrestle_core::{id, result_code, time};
use mangotrestle_peer::{PeerBackend, PeerClient, PeerError, PeerServer, message};
use quickcheck::quickcheck;
use serde_json::json;
use tokio::sync::oneshot;

/// Takes in heartbeats as a daemon does, and leads nothing.
#[derive(Default)]
struct Backend {
    heard: Mutex<Vec<message::Heartbeat>>,
}

impl PeerBackend for Backend {
    async fn heartbeat(
        &self,
        heartbeat: message::Heartbeat,
    ) -> Result<message::Heartbeat, result_code::ResultCode> {
        self.heard.lock().unwrap().push(heartbeat);
        Ok(heartbeat_of(2))
    }

    async fn config(
        &self,
        request: message::ConfigRequest,
    ) -> Result<message::ConfigAnswer, result_code::ResultCode> {
        Ok(message::ConfigAnswer {
            version: request.held + 1,
            changes: vec![json!({"requests": {"retry_percent": 5}})],
            document: None,
        })
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
        Ok(())
    }

    async fn query(
        &self,
        question: serde_json::Value,
    ) -> Result<serde_json::Value, result_code::ResultCode> {
        Ok(question)
    }
}

struct Served {
    address: SocketAddr,
    backend: Arc<Backend>,
    stop: oneshot::Sender<()>,
    server: tokio::task::JoinHandle<std::io::Result<()>>,
}

fn serve() -> Served {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let backend = Arc::new(Backend::default());
    let (stop, stopped) = oneshot::channel::<()>();
    let serving = PeerServer::serve(listener, Arc::clone(&backend), async {
        let _ = stopped.await;
    });
    Served {
        address,
        backend,
        stop,
        server: tokio::spawn(serving),
    }
}

fn heartbeat_of(number: u64) -> message::Heartbeat {
    let value = json!({
        "host": format!("entry-{number}"),
        "incarnation": number,
        "availability_zone": "gikondo",
    });
    serde_json::from_value(value).unwrap()
}

fn routes_request() -> message::RoutesRequest {
    let value = json!({"pool": "gikondo", "host": "entry-1", "incarnation": 1});
    serde_json::from_value(value).unwrap()
}

#[tokio::test]
async fn heartbeat_is_answered_by_the_peers_own() {
    let served = serve();
    let client = PeerClient::new(served.address).unwrap();

    let first = client.heartbeat(heartbeat_of(1)).await;
    let repeated = client.heartbeat(heartbeat_of(1)).await;

    assert_eq!(first, Ok(heartbeat_of(2)));
    assert_eq!(repeated, first);
    assert_eq!(served.backend.heard.lock().unwrap().len(), 2);
}

#[tokio::test]
async fn refusal_arrives_as_its_result_code() {
    let served = serve();
    let client = PeerClient::new(served.address).unwrap();

    let refused = client.routes(routes_request()).await;

    assert_eq!(
        refused,
        Err(PeerError::Refused(result_code::ResultCode::NotLeader))
    );
}

#[tokio::test]
async fn peer_that_is_gone_gives_no_answer() {
    let served = serve();
    let client = PeerClient::new(served.address).unwrap();
    client.heartbeat(heartbeat_of(1)).await.unwrap();
    served.stop.send(()).unwrap();
    served.server.await.unwrap().unwrap();

    let error = client.heartbeat(heartbeat_of(1)).await.unwrap_err();

    assert!(matches!(error, PeerError::NoAnswer(_)), "{error:?}");
}

#[tokio::test]
async fn oversized_message_is_refused_and_the_server_goes_on() {
    let served = serve();
    let client = PeerClient::new(served.address).unwrap();
    let oversized = json!("x".repeat(message::MAX_REQUEST_BYTES as usize + 1));

    let refused = client.query(oversized).await;
    let after = client.query(json!(1)).await;

    assert!(refused.is_err());
    assert_eq!(after, Ok(json!(1)));
}

#[tokio::test]
async fn too_many_claims_are_refused() {
    let served = serve();
    let client = PeerClient::new(served.address).unwrap();
    let mut heartbeat = heartbeat_of(1);
    heartbeat.leads = (0..=message::MAX_CLAIMS)
        .map(|number| {
            let value = json!({"pool": format!("pool-{number}"), "epoch": 1});
            serde_json::from_value(value).unwrap()
        })
        .collect();

    let refused = client.heartbeat(heartbeat).await;

    assert_eq!(
        refused,
        Err(PeerError::Refused(result_code::ResultCode::TooLarge))
    );
}

#[test]
fn release_before_and_after_this_one_is_understood() {
    let before = json!({"host": "a", "incarnation": 1, "availability_zone": "z"});
    let after = json!({
        "protocol": 9, "host": "a", "incarnation": 1, "availability_zone": "z",
        "config_version": 7, "leads": [{"pool": "p", "epoch": 3, "tier": "new"}],
        "quorum": {"not": "known"},
    });

    let before: message::Heartbeat = serde_json::from_value(before).unwrap();
    let after: message::Heartbeat = serde_json::from_value(after).unwrap();

    assert_eq!(before.protocol, 0);
    assert_eq!(before.config_in_force_wall_ms, time::WallTimeMs(0));
    assert_eq!(after.config_version, 7);
    assert_eq!(after.leads[0].pool, "p".parse::<id::PoolId>().unwrap());
}

quickcheck! {
    fn message_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let _ = serde_json::from_slice::<message::Heartbeat>(&bytes);
        let _ = serde_json::from_slice::<message::RoutesRequest>(&bytes);
        let _ = serde_json::from_slice::<message::RoutesAnswer>(&bytes);
        let _ = serde_json::from_slice::<message::ConfigAnswer>(&bytes);
        true
    }

    fn torn_message_is_an_error_that_says_where(cut: usize) -> bool {
        let whole = serde_json::to_string(&heartbeat_of(1)).unwrap();
        let torn = &whole[..cut % whole.len()];
        let error = serde_json::from_str::<message::Heartbeat>(torn).unwrap_err();
        error.to_string().contains("line 1 column")
    }
}

#[tokio::test]
async fn bytes_that_are_no_message_do_not_stop_the_server() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    let served = serve();
    for garbage in [
        "\0\0\0",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n{]}",
        "GET / HTTP/9",
    ] {
        let mut stream = tokio::net::TcpStream::connect(served.address)
            .await
            .unwrap();
        stream.write_all(garbage.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
    }

    let client = PeerClient::new(served.address).unwrap();

    assert!(client.heartbeat(heartbeat_of(1)).await.is_ok());
}
