//! Tests of operators' TLS and tokens with the real listener and command line, including renewed
//! files.

mod cli_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cli_support::{Directory, FakeHost};
use mangotrestle::access;
use mangotrestle::logging;
use mangotrestle::settings;
use mangotrestle_core::id;
use mangotrestle_core::time;
use tokio::net;
use tokio::sync::watch;

const FIRST_TOKEN: &str = "d41a7f0c63e94b1f";
const SECOND_TOKEN: &str = "6b0f5a3ce2a04b7d";

/// Maximum number of polls for renewed files to be in force.
const MAX_POLLS: usize = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Writes a new self-signed certificate and its key.
fn write_pair(directory: &Directory) {
    let pair = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap();
    directory.write("certificate.pem", &pair.cert.pem());
    directory.write("key.pem", &pair.signing_key.serialize_pem());
}

fn write_tokens(directory: &Directory, token: &str) {
    let text = format!("[[token]]\noperator = \"eleni\"\ntoken = \"{token}\"\n");
    directory.write("tokens.toml", &text);
}

fn settings(directory: &Directory) -> settings::Settings {
    let unused: SocketAddr = "127.0.0.1:1".parse().unwrap();
    settings::Settings::builder()
        .entry_host(id::EntryHostId::new("gikondo-1").unwrap())
        .availability_zone(id::AvailabilityZoneId::new("gikondo").unwrap())
        .table_address(unused)
        .object_store_address(unused)
        .host_list_address(unused)
        .operator_tls_certificate(Some(directory.path("certificate.pem")))
        .operator_tls_key(Some(directory.path("key.pem")))
        .operator_token_file(Some(directory.path("tokens.toml")))
        .tls_reload_interval_ms(time::SpanMs(100))
        .build()
        .unwrap()
}

/// Serves operators of a fake entry host as the daemon does, and reloads renewed files.
async fn start(directory: &Directory) -> (SocketAddr, watch::Sender<bool>) {
    let access = Arc::new(access::Access::load(&settings(directory)).unwrap());
    let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, shutdown) = watch::channel(false);
    let serving_access = Arc::clone(&access);
    let serving_shutdown = shutdown.clone();
    tokio::spawn(async move {
        let backend = Arc::new(FakeHost::default());
        serving_access
            .serve_operators(listener, backend, serving_shutdown)
            .await
            .unwrap();
    });
    tokio::spawn(async move { access.watch(&logging::discard(), shutdown).await });
    (address, stop)
}

async fn status(
    address: SocketAddr,
    authority: Option<&str>,
    token: &str,
) -> cli_support::Finished {
    let endpoint = address.to_string();
    let mut arguments = vec!["status", "--endpoint", &endpoint, "--token-file", token];
    if let Some(authority) = authority {
        arguments.extend(["--authority-file", authority]);
    }
    cli_support::run(&arguments).await
}

/// Runs `status` until it ends with the expected exit code or [`MAX_POLLS`] is reached; returns the
/// last exit code.
async fn poll_exit_code(address: SocketAddr, authority: &str, token: &str, expected: i32) -> i32 {
    let mut code = -1;
    for _ in 0..MAX_POLLS {
        code = status(address, Some(authority), token).await.code;
        if code == expected {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    code
}

#[tokio::test]
async fn only_tls_with_the_right_authority_and_token_is_accepted() {
    let directory = Directory::new("cli-tls");
    let other_directory = Directory::new("cli-tls-other");
    write_pair(&directory);
    write_pair(&other_directory);
    write_tokens(&directory, FIRST_TOKEN);
    let token = directory.write("token", FIRST_TOKEN);
    let wrong_token = directory.write("wrong-token", SECOND_TOKEN);
    let authority = directory.path("certificate.pem");
    let wrong_authority = other_directory.path("certificate.pem");
    let (address, _stop) = start(&directory).await;

    let right = status(address, authority.to_str(), &token).await;
    let plain = status(address, None, &token).await;
    let with_wrong_authority = status(address, wrong_authority.to_str(), &token).await;
    let with_wrong_token = status(address, authority.to_str(), &wrong_token).await;

    assert_eq!(right.code, 0, "{right:?}");
    assert_eq!(
        (plain.code, with_wrong_authority.code),
        (7, 7),
        "{plain:?} {with_wrong_authority:?}"
    );
    assert_eq!(with_wrong_token.code, 3, "{with_wrong_token:?}");
}

#[tokio::test]
async fn renewed_certificates_and_tokens_are_put_into_force() {
    let directory = Directory::new("cli-tls-renewed");
    write_pair(&directory);
    write_tokens(&directory, FIRST_TOKEN);
    let first = directory.write("first", FIRST_TOKEN);
    let second = directory.write("second", SECOND_TOKEN);
    let (address, _stop) = start(&directory).await;

    write_pair(&directory);
    write_tokens(&directory, SECOND_TOKEN);
    let authority = directory.path("certificate.pem");
    let authority = authority.to_str().unwrap();

    assert_eq!(poll_exit_code(address, authority, &second, 0).await, 0);
    assert_eq!(poll_exit_code(address, authority, &first, 3).await, 3);
}

#[tokio::test]
async fn unusable_renewal_keeps_the_old_certificates_and_tokens() {
    let directory = Directory::new("cli-tls-broken");
    write_pair(&directory);
    write_tokens(&directory, FIRST_TOKEN);
    let token = directory.write("token", FIRST_TOKEN);
    let pem = std::fs::read_to_string(directory.path("certificate.pem")).unwrap();
    let authority = directory.write("old-authority.pem", &pem);
    let (address, _stop) = start(&directory).await;

    directory.write("certificate.pem", "not a certificate");
    directory.write("tokens.toml", "not a token file");
    // Three reload intervals, so that the unusable files have been checked.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let after = status(address, Some(&authority), &token).await;

    assert_eq!(after.code, 0, "{after:?}");
}
