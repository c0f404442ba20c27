//! Calls between peers: repeated, from another release, too large, or malformed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use mangotrestle_core::{id, result_code, time};
use mangotrestle_peer::{PeerBackend, PeerClient, PeerError, PeerServer, message};
use quickcheck::quickcheck;
use serde_json::json;
use tokio::sync::oneshot;

/// Backend that records heartbeats and leads no pools.
#[derive(Default)]
struct Backend {
    heartbeats: Mutex<Vec<message::Heartbeat>>,
}

impl PeerBackend for Backend {
    async fn heartbeat(
        &self,
        heartbeat: message::Heartbeat,
    ) -> Result<message::Heartbeat, result_code::ResultCode> {
        self.heartbeats.lock().unwrap().push(heartbeat);
        Ok(heartbeat_from(2))
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
        request: serde_json::Value,
    ) -> Result<serde_json::Value, result_code::ResultCode> {
        Ok(request)
    }
}

struct TestServer {
    address: SocketAddr,
    backend: Arc<Backend>,
    stop: oneshot::Sender<()>,
    task: tokio::task::JoinHandle<std::io::Result<()>>,
}

fn start_server() -> TestServer {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let backend = Arc::new(Backend::default());
    let (stop, stopped) = oneshot::channel::<()>();
    let serving = PeerServer::serve(listener, Arc::clone(&backend), async {
        let _ = stopped.await;
    });
    TestServer {
        address,
        backend,
        stop,
        task: tokio::spawn(serving),
    }
}

fn heartbeat_from(number: u64) -> message::Heartbeat {
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
async fn heartbeat_is_answered_with_the_peers_heartbeat() {
    let server = start_server();
    let client = PeerClient::new(server.address).unwrap();

    let first = client.heartbeat(heartbeat_from(1)).await;
    let repeated = client.heartbeat(heartbeat_from(1)).await;

    assert_eq!(first, Ok(heartbeat_from(2)));
    assert_eq!(repeated, first);
    assert_eq!(server.backend.heartbeats.lock().unwrap().len(), 2);
}

#[tokio::test]
async fn refusal_is_returned_with_its_result_code() {
    let server = start_server();
    let client = PeerClient::new(server.address).unwrap();

    let refused = client.routes(routes_request()).await;

    assert_eq!(
        refused,
        Err(PeerError::Refused(result_code::ResultCode::NotLeader))
    );
}

#[tokio::test]
async fn call_to_a_stopped_peer_returns_no_answer() {
    let server = start_server();
    let client = PeerClient::new(server.address).unwrap();
    client.heartbeat(heartbeat_from(1)).await.unwrap();
    server.stop.send(()).unwrap();
    server.task.await.unwrap().unwrap();

    let error = client.heartbeat(heartbeat_from(1)).await.unwrap_err();

    assert!(matches!(error, PeerError::NoAnswer(_)), "{error:?}");
}

#[tokio::test]
async fn oversized_request_is_refused_and_the_server_continues() {
    let server = start_server();
    let client = PeerClient::new(server.address).unwrap();
    let oversized = json!("x".repeat(message::MAX_REQUEST_BYTES as usize + 1));

    let refused = client.query(oversized).await;
    let next_answer = client.query(json!(1)).await;

    assert!(refused.is_err());
    assert_eq!(next_answer, Ok(json!(1)));
}

#[tokio::test]
async fn heartbeat_with_too_many_claims_is_refused() {
    let server = start_server();
    let client = PeerClient::new(server.address).unwrap();
    let mut heartbeat = heartbeat_from(1);
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
fn heartbeats_of_earlier_and_later_releases_are_decoded() {
    let earlier = json!({"host": "a", "incarnation": 1, "availability_zone": "z"});
    let later = json!({
        "protocol": 9, "host": "a", "incarnation": 1, "availability_zone": "z",
        "config_version": 7, "leads": [{"pool": "p", "epoch": 3, "tier": "new"}],
        "quorum": {"not": "known"},
    });

    let earlier: message::Heartbeat = serde_json::from_value(earlier).unwrap();
    let later: message::Heartbeat = serde_json::from_value(later).unwrap();

    assert_eq!(earlier.protocol, 0);
    assert_eq!(earlier.config_in_force_wall_ms, time::WallTimeMs(0));
    assert_eq!(later.config_version, 7);
    assert_eq!(later.leads[0].pool, "p".parse::<id::PoolId>().unwrap());
}

quickcheck! {
    fn decoding_arbitrary_message_bytes_does_not_panic(bytes: Vec<u8>) -> bool {
        let _ = serde_json::from_slice::<message::Heartbeat>(&bytes);
        let _ = serde_json::from_slice::<message::RoutesRequest>(&bytes);
        let _ = serde_json::from_slice::<message::RoutesAnswer>(&bytes);
        let _ = serde_json::from_slice::<message::ConfigAnswer>(&bytes);
        true
    }

    fn truncated_message_is_an_error_with_its_position(cut: usize) -> bool {
        let encoded = serde_json::to_string(&heartbeat_from(1)).unwrap();
        let truncated = &encoded[..cut % encoded.len()];
        let error = serde_json::from_str::<message::Heartbeat>(truncated).unwrap_err();
        error.to_string().contains("line 1 column")
    }
}

#[tokio::test]
async fn malformed_requests_do_not_stop_the_server() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    let server = start_server();
    for garbage in [
        "\0\0\0",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n{]}",
        "GET / HTTP/9",
    ] {
        let mut stream = tokio::net::TcpStream::connect(server.address)
            .await
            .unwrap();
        stream.write_all(garbage.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
    }

    let client = PeerClient::new(server.address).unwrap();

    assert!(client.heartbeat(heartbeat_from(1)).await.is_ok());
}
