//! Tests with crowds at the listeners of `mangotrestle serve`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use mangotrestle::daemon::Addresses;
use mangotrestle_dev::cell::Platform;
use mangotrestle_dev::process::EntryProcess;

use super::crowd::{Crowd, Script, exchange};
use super::footprint::Observer;
use super::machine;

/// Memory that callers' connections may take, in MiB.
const CLIENT_MEMORY_MIB: &str = "16";
/// Memory that the process may use, in MB.
const MEMORY_MB: u64 = 64;
/// Number of clients of a crowd whose requests are of legal size.
const CLIENTS: usize = 1_200;
/// Number of clients of a crowd whose requests never end.
const CLIENTS_WITHOUT_END: usize = 300;
/// Size of a head that is allowed, less its last line.
const LEGAL_BYTES: usize = 60_000;

/// Has a crowd send a script to one of an entry host's addresses, and checks the entry host.
async fn assert_withstands(
    address: impl Fn(&Addresses) -> SocketAddr,
    clients: usize,
    script: &Script,
) {
    let _turn = machine::take_turn().await;
    let platform = Platform::start().await.expect("a platform");
    let process = EntryProcess::builder("entry-1", "gikondo", &platform)
        .option("--client-memory-mib", CLIENT_MEMORY_MIB)
        .start(Path::new(env!("CARGO_BIN_EXE_mangotrestle")))
        .expect("an entry host");
    let addresses = process.addresses();
    let ports = [addresses.callers, addresses.peers, addresses.health];
    let ports = ports.iter().map(SocketAddr::port).collect();
    let observer = Observer::start(process.id(), ports);

    let _crowd = Crowd::gather(address(addresses), clients, script).await;
    let caller = b"GET /unknown HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let answered = exchange(addresses.callers, &[caller], Duration::ZERO).await;
    let check = b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let alive = exchange(addresses.health, &[check], Duration::ZERO).await;

    let peak_memory_mb = observer.peak_memory_mb();
    println!("peak: {peak_memory_mb} MB; answers: {answered}, {alive}");
    assert!(peak_memory_mb < MEMORY_MB, "{peak_memory_mb} MB");
    assert_ne!(answered, 0, "a caller got no answer");
    assert_eq!(alive, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_of_callers_without_their_last_line() {
    let filler = "x".repeat(LEGAL_BYTES);
    let script = Script::new(format!("GET / HTTP/1.1\r\nX-Filler: {filler}\r\n"));
    assert_withstands(|addresses| addresses.callers, CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_to_the_health_check() {
    let script = Script::new("GET /healthz HTTP/1.1\r\nX-Filler: ").then(vec![b'x'; 2_000], 200);
    assert_withstands(|addresses| addresses.health, CLIENTS_WITHOUT_END, &script).await;
}
