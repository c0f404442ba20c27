//! Tests with crowds at the listeners for the load balancer, for other hosts and for metrics.

use std::net::SocketAddr;

use super::crowd::{Crowd, Script, chunk};
use super::machine::Scene;
use super::platform::Host;

/// Number of clients of a crowd.
const CLIENTS: usize = 300;
/// Number of clients that exceed the machine's descriptors.
const CLIENTS_BEYOND_DESCRIPTORS: usize = 600;
/// Size of the body of a peer's call, which is allowed.
const PEER_BODY_BYTES: usize = 500_000;
/// Start of the body of a peer's call.
const PEER_BODY_START: &str = r#"{"jsonrpc":"2.0","id":1,"method":""#;

/// Has a crowd send a script to one of a host's addresses, and checks the host.
async fn assert_withstands(address: impl Fn(&Host) -> SocketAddr, clients: usize, script: &Script) {
    let mut scene = Scene::start().await;

    let _crowd = Crowd::gather(address(&scene.host), clients, script).await;

    scene.assert_serving_within_limits().await;
}

fn endless_head() -> Script {
    Script::new("GET /readiness HTTP/1.1\r\nX-Filler: ").then(vec![b'x'; 2_000], 200)
}

fn peer_call(headers: &str) -> String {
    format!("POST / HTTP/1.1\r\nHost: peer\r\nContent-Type: application/json\r\n{headers}\r\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_to_the_readiness_check() {
    assert_withstands(Host::readiness_address, CLIENTS, &endless_head()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_readiness_check() {
    let silent = Script::new("");
    assert_withstands(Host::readiness_address, CLIENTS_BEYOND_DESCRIPTORS, &silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_to_the_metrics() {
    assert_withstands(Host::metrics_address, CLIENTS, &endless_head()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_metrics() {
    let silent = Script::new("");
    assert_withstands(Host::metrics_address, CLIENTS_BEYOND_DESCRIPTORS, &silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_for_the_metrics_whose_answers_are_not_read() {
    let script = Script::new("").then("GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n", 8_000);
    assert_withstands(Host::metrics_address, CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_to_peers() {
    assert_withstands(Host::peer_address, CLIENTS, &endless_head()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_peers() {
    let silent = Script::new("");
    assert_withstands(Host::peer_address, CLIENTS_BEYOND_DESCRIPTORS, &silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_of_peers_that_stop_short_of_their_end() {
    let head = peer_call(&format!("Content-Length: {PEER_BODY_BYTES}\r\n"));
    let rest_bytes = PEER_BODY_BYTES - PEER_BODY_START.len() - 2;
    let script = Script::new(head + PEER_BODY_START).then(vec![b'x'; rest_bytes], 1);
    assert_withstands(Host::peer_address, CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_of_peers_in_large_chunks_that_stop_short_of_their_end() {
    let head = peer_call("Transfer-Encoding: chunked\r\n");
    let first = format!("{:x}\r\n{PEER_BODY_START}\r\n", PEER_BODY_START.len());
    let script = Script::new(head + &first).then(chunk(32_000), PEER_BODY_BYTES / 32_000);
    assert_withstands(Host::peer_address, CLIENTS, &script).await;
}
