//! Tests of the server over real connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use http::{Request, StatusCode};
use mangotrestle_core::intake::Limits;
use mangotrestle_http::body::{self, BodyError, RequestBody};
use mangotrestle_http::{RequestLimits, Server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum size of a body that the handler reads.
const MAX_BODY_BYTES: usize = 100_000;
/// Time that the handler waits for a body, and the client for an answer.
const TIMEOUT: Duration = Duration::from_secs(20);

struct Fixture {
    address: SocketAddr,
    server: Server,
    max_head_bytes: Arc<AtomicUsize>,
    stop: watch::Sender<bool>,
}

/// Starts a server that answers with the length of a request's body.
async fn start(limits: Limits) -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let max_head_bytes = Arc::new(AtomicUsize::new(1_000));
    let current = Arc::clone(&max_head_bytes);
    let server = Server::builder("test", limits)
        .request_limits(move || RequestLimits {
            max_head_bytes: current.load(Ordering::Relaxed),
            ..RequestLimits::default()
        })
        .build();
    let (stop, stopping) = watch::channel(false);
    let serving = server.clone();
    tokio::spawn(async move { serving.serve(listener, answer, stopping).await });
    Fixture {
        address,
        server,
        max_head_bytes,
        stop,
    }
}

async fn answer(request: Request<RequestBody>) -> Response {
    let deadline = Instant::now() + TIMEOUT;
    match body::collect(request.into_body(), MAX_BODY_BYTES, deadline).await {
        Ok(body) => Body::from(body.len().to_string()).into_response(),
        Err(BodyError::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        Err(BodyError::NoRoom) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Err(_) => StatusCode::BAD_REQUEST.into_response(),
    }
}

const fn limits(max_connections: usize, max_body_bytes: u64) -> Limits {
    Limits {
        max_connections,
        max_body_bytes,
    }
}

async fn connect(fixture: &Fixture, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(fixture.address)
        .await
        .expect("a connection");
    stream.write_all(bytes).await.expect("a request");
    stream
}

/// Reads until the server closes the connection.
async fn read_all(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let reading = stream.read_to_string(&mut text);
    let read = tokio::time::timeout(TIMEOUT, reading).await;
    read.expect("an answer in time").expect("no reset");
    text
}

/// Reads one answer from a connection that stays open.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 1_024];
    let reading = stream.read(&mut bytes);
    let read = tokio::time::timeout(TIMEOUT, reading).await;
    let read = read.expect("an answer in time").expect("no reset");
    String::from_utf8_lossy(&bytes[..read]).into_owned()
}

/// Waits until a number of connections is open.
async fn wait_for_connections(fixture: &Fixture, number: usize) {
    let began = Instant::now();
    while fixture.server.connections() != number {
        assert!(began.elapsed() < TIMEOUT, "{number} connections");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn post(body: &str) -> String {
    format!(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn get_with_filler(bytes: usize) -> String {
    let filler = "x".repeat(bytes);
    format!("GET / HTTP/1.1\r\nHost: a\r\nX-Filler: {filler}\r\n\r\n")
}

#[tokio::test]
async fn requests_on_one_connection_are_answered_in_turn() {
    let fixture = start(limits(4, 0)).await;
    let mut stream = connect(&fixture, post("abc").as_bytes()).await;

    let first = read_answer(&mut stream).await;
    stream.write_all(post("").as_bytes()).await.expect("sent");
    let second = read_answer(&mut stream).await;

    assert!(first.ends_with("\r\n\r\n3"), "{first}");
    assert!(second.ends_with("\r\n\r\n0"), "{second}");
}

#[tokio::test]
async fn a_head_over_the_limit_is_refused_while_it_is_sent() {
    let fixture = start(limits(4, 0)).await;

    let stream = connect(&fixture, get_with_filler(200_000).as_bytes()).await;
    let answer = read_all(stream).await;

    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
}

#[tokio::test]
async fn a_changed_limit_of_heads_holds_for_open_connections() {
    let fixture = start(limits(4, 0)).await;
    let mut stream = connect(&fixture, get_with_filler(10).as_bytes()).await;
    read_answer(&mut stream).await;

    fixture.max_head_bytes.store(20_000, Ordering::Relaxed);
    let head = get_with_filler(15_000);
    stream.write_all(head.as_bytes()).await.expect("sent");
    let raised = read_answer(&mut stream).await;
    fixture.max_head_bytes.store(5_000, Ordering::Relaxed);
    stream.write_all(head.as_bytes()).await.expect("sent");
    let lowered = read_all(stream).await;

    assert!(raised.starts_with("HTTP/1.1 200 "), "{raised}");
    assert!(lowered.starts_with("HTTP/1.1 431 "), "{lowered}");
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_while_it_is_sent() {
    let fixture = start(limits(4, 1_000_000)).await;
    let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
    let head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

    let stream = connect(&fixture, (head.to_owned() + &chunk.repeat(60)).as_bytes()).await;
    let answer = read_all(stream).await;

    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
}

#[tokio::test]
async fn an_incomplete_request_gives_way_to_a_new_connection_and_is_told_so() {
    let fixture = start(limits(2, 0)).await;
    let first = connect(&fixture, b"GET / HTTP/1.1\r\nHost: a\r\n").await;
    wait_for_connections(&fixture, 1).await;
    let _second = connect(&fixture, b"GET").await;
    wait_for_connections(&fixture, 2).await;

    let mut third = connect(&fixture, post("abc").as_bytes()).await;
    let answer = read_answer(&mut third).await;
    let refusal = read_all(first).await;

    assert!(answer.ends_with("\r\n\r\n3"), "{answer}");
    assert!(refusal.starts_with("HTTP/1.1 503 "), "{refusal}");
    assert!(refusal.contains("Retry-After: "), "{refusal}");
}

#[tokio::test]
async fn an_incomplete_body_gives_way_to_a_later_one() {
    let fixture = start(limits(4, 50_000)).await;
    let incomplete = post(&"x".repeat(50_000));
    let first = connect(&fixture, &incomplete.as_bytes()[..50_000]).await;
    wait_for_connections(&fixture, 1).await;

    let mut second = connect(&fixture, post(&"y".repeat(50_000)).as_bytes()).await;
    let answer = read_answer(&mut second).await;
    let refusal = read_all(first).await;

    assert!(answer.ends_with("\r\n\r\n50000"), "{answer}");
    assert!(refusal.starts_with("HTTP/1.1 503 "), "{refusal}");
}

#[tokio::test]
async fn a_body_without_room_is_refused() {
    let fixture = start(limits(4, 20_000)).await;

    let stream = connect(&fixture, post(&"x".repeat(50_000)).as_bytes()).await;
    let answer = read_all(stream).await;

    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
}

#[tokio::test]
async fn a_stop_closes_idle_and_unused_connections() {
    let fixture = start(limits(4, 0)).await;
    let mut stream = connect(&fixture, post("abc").as_bytes()).await;
    read_answer(&mut stream).await;
    let unused = connect(&fixture, b"").await;
    wait_for_connections(&fixture, 2).await;

    fixture.stop.send(true).expect("a server");
    let rest = read_all(stream).await;
    let nothing = read_all(unused).await;

    assert_eq!((rest.as_str(), nothing.as_str()), ("", ""));
    wait_for_connections(&fixture, 0).await;
}
