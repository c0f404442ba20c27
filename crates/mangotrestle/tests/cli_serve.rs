//! Tests of `mangotrestle serve` up to its start: help, settings and their errors.

mod cli_support;

use cli_support::Directory;
use mangotrestle::settings;

const REQUIRED_SETTINGS: [&str; 10] = [
    "--entry-host",
    "gikondo-1",
    "--availability-zone",
    "gikondo",
    "--table-address",
    "127.0.0.1:7500",
    "--object-store-address",
    "127.0.0.1:7501",
    "--host-list-address",
    "127.0.0.1:7502",
];

async fn serve(arguments: &[&str]) -> cli_support::Finished {
    let all = [&["serve"], arguments].concat();
    cli_support::run(&all).await
}

#[tokio::test]
async fn help_lists_every_setting() {
    let help = serve(&["--help"]).await;

    assert_eq!(help.code, 0);
    for declaration in settings::TABLE {
        assert!(
            help.stdout.contains(&declaration.flag()),
            "{}",
            declaration.name
        );
    }
}

#[tokio::test]
async fn all_invalid_settings_are_reported_with_given_and_expected_values() {
    let arguments = [
        "--lease-term-ms",
        "soon",
        "--caller-listen",
        "everywhere:80",
    ];

    let finished = serve(&arguments).await;

    assert_eq!(finished.code, 2);
    assert!(
        finished
            .stderr
            .contains("invalid-settings(1001): 7 setting(s)"),
        "{finished:?}"
    );
    assert!(
        finished
            .stderr
            .contains("lease_term_ms: \"soon\" given (flag), expected a whole number"),
        "{finished:?}"
    );
    assert!(
        finished.stderr.contains("caller_listen: \"everywhere:80\""),
        "{finished:?}"
    );
    assert!(
        finished.stderr.contains("entry_host: nothing given"),
        "{finished:?}"
    );
}

#[tokio::test]
async fn printed_settings_show_value_and_source() {
    let arguments = [&["--print-settings", "--seed", "7"], &REQUIRED_SETTINGS[..]].concat();

    let finished = serve(&arguments).await;

    assert_eq!(finished.code, 0, "{finished:?}");
    assert_eq!(finished.stdout.lines().count(), settings::TABLE.len());
    let seed = finished
        .stdout
        .lines()
        .find(|line| line.starts_with("seed "));
    assert_eq!(
        seed.unwrap().split_whitespace().collect::<Vec<_>>(),
        ["seed", "7", "flag"]
    );
}

#[tokio::test]
async fn files_named_by_settings_are_checked_at_start() {
    let directory = Directory::new("cli-serve");
    let tokens = directory.write(
        "tokens.toml",
        "[[token]]\noperator = \"a\"\ntoken = \"kurz\"\n",
    );
    let missing = directory.path("missing.pem");
    let missing = missing.to_str().unwrap();
    let files = [
        "--operator-token-file",
        &tokens,
        "--operator-tls-certificate",
        missing,
        "--operator-tls-key",
        missing,
    ];

    let finished = serve(&[&files[..], &REQUIRED_SETTINGS].concat()).await;

    assert_eq!(finished.code, 2);
    assert!(
        finished.stderr.contains("operator_token_file"),
        "{finished:?}"
    );
    assert!(
        finished
            .stderr
            .contains("line 1: token: the token has 4 bytes"),
        "{finished:?}"
    );
    assert!(!finished.stderr.contains("kurz"), "{finished:?}");
    assert!(
        finished.stderr.contains("missing.pem: cannot be read"),
        "{finished:?}"
    );
}

#[tokio::test]
async fn invalid_options_end_with_the_exit_code_for_usage() {
    let unknown_option = serve(&["--no-such-option", "1"]).await;
    let no_command = cli_support::run(&[]).await;
    let invalid_format = cli_support::run(&["--output", "xml", "status"]).await;

    assert_eq!(
        (unknown_option.code, no_command.code, invalid_format.code),
        (2, 2, 2)
    );
    assert!(
        invalid_format.stderr.contains("expected table or json"),
        "{invalid_format:?}"
    );
}
