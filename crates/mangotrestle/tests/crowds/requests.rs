//! Tests with crowds of callers.

use super::crowd::{Crowd, Script, chunk, submission_head};
use super::machine::Scene;
use super::platform::MachineLimits;

/// Number of clients of a crowd.
const CLIENTS: usize = 300;
/// Number of clients that exceed the machine's descriptors.
const CLIENTS_BEYOND_DESCRIPTORS: usize = 600;
/// A machine whose memory is used up before its descriptors.
const MACHINE_WITH_MANY_DESCRIPTORS: MachineLimits = MachineLimits {
    memory_mb: 64,
    max_fds: 4_100,
};
/// Number of clients that such a machine has connections for.
const CONNECTED_CLIENTS: usize = 250;
/// Maximum size of a body, which the platform's configuration sets.
const MAX_BODY_BYTES: usize = 262_144;
/// Bytes that are missing at the end of each body.
const MISSING_BYTES: usize = 2;

/// Has a crowd send a script to a host's callers' address, and checks the host.
async fn assert_withstands(clients: usize, script: &Script) {
    let mut scene = Scene::start().await;

    let _crowd = Crowd::gather(scene.host.address(), clients, script).await;

    scene.assert_serving_within_limits().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_that_never_end() {
    let head = submission_head(1, "");
    let script =
        Script::new(head.trim_end()).then(b"\r\nX-Filler: 0123456789abcdef".repeat(100), 150);
    assert_withstands(CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_header_that_never_ends() {
    let script = Script::new("GET / HTTP/1.1\r\nX-Filler: ").then(vec![b'x'; 2_000], 200);
    assert_withstands(CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_without_end() {
    let script = Script::new("").then(b"\r\n".repeat(1_000), 200);
    assert_withstands(CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_of_legal_size_without_their_last_line() {
    let head = submission_head(1, &format!("X-Filler: {}\r\n", "x".repeat(15_000)));
    let script = Script::new(&head[..head.len() - MISSING_BYTES]);
    assert_withstands(CLIENTS_BEYOND_DESCRIPTORS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_on_which_nothing_is_sent() {
    assert_withstands(CLIENTS_BEYOND_DESCRIPTORS, &Script::new("")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_legal_size_that_stop_short_of_their_end() {
    let head = submission_head(1, &format!("Content-Length: {MAX_BODY_BYTES}\r\n"));
    let script = Script::new(head).then(vec![b' '; MAX_BODY_BYTES - MISSING_BYTES], 1);
    assert_withstands(CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_that_stop_short_of_their_end() {
    let head = submission_head(1, &format!("Content-Length: {MAX_BODY_BYTES}\r\n"));
    let script = Script::new(head)
        .then(vec![b' '; 2_000], MAX_BODY_BYTES / 2_000)
        .one_by_one();
    assert_withstands(CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_very_small_chunks_that_stop_short_of_their_end() {
    let head = submission_head(1, "Transfer-Encoding: chunked\r\n");
    let script = Script::new(head).then(chunk(1), 20_000);
    assert_withstands(CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks_that_stop_short_of_their_end() {
    let head = submission_head(1, "Transfer-Encoding: chunked\r\n");
    let script = Script::new(head).then(chunk(32_000), MAX_BODY_BYTES / 32_000);
    assert_withstands(CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_legal_size_on_as_many_connections_as_there_are() {
    let head = submission_head(1, &format!("Content-Length: {MAX_BODY_BYTES}\r\n"));
    let script = Script::new(head).then(vec![b' '; MAX_BODY_BYTES - MISSING_BYTES], 1);
    let mut scene = Scene::start_on(MACHINE_WITH_MANY_DESCRIPTORS).await;

    let _crowd = Crowd::gather(scene.host.address(), CONNECTED_CLIENTS, &script).await;

    scene.assert_serving_within_limits().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_very_small_chunks_on_as_many_connections_as_there_are() {
    let head = submission_head(1, "Transfer-Encoding: chunked\r\n");
    let script = Script::new(head).then(chunk(1), 20_000);
    let mut scene = Scene::start_on(MACHINE_WITH_MANY_DESCRIPTORS).await;

    let _crowd = Crowd::gather(scene.host.address(), CONNECTED_CLIENTS, &script).await;

    scene.assert_serving_within_limits().await;
}
