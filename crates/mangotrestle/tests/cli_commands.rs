//! Tests of operators' commands, run as processes: output, error messages and exit codes.

mod cli_support;

use std::sync::Arc;

use cli_support::{Directory, FakeHost, JOB_FILE};
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;
use mangotrestle_operator::auth;
use mangotrestle_operator::message;
use tokio::sync::Notify;

const CELL_TOKEN: &str = "d41a7f0c63e94b1f";
const TEAM_TOKEN: &str = "6b0f5a3ce2a04b7d";

fn tokens() -> auth::Authentication {
    let text = format!(
        "[[token]]\noperator = \"eleni\"\ntoken = \"{CELL_TOKEN}\"\n\
         [[token]]\noperator = \"robot\"\nteam = \"spectral\"\ntoken = \"{TEAM_TOKEN}\"\n"
    );
    mangotrestle::tokens::parse(&text).unwrap()
}

fn spec() -> mangotrestle_core::job::JobSpec {
    mangotrestle::job_file::parse(JOB_FILE).unwrap()
}

fn host_with_job(state: message::JobState) -> FakeHost {
    let host = FakeHost::default();
    let mut summary = cli_support::summary(spec());
    summary.state = state;
    let mut host_state = host.state.lock().unwrap();
    host_state.jobs.insert(summary.spec.id.to_string(), summary);
    drop(host_state);
    host
}

#[tokio::test]
async fn submitted_job_is_listed_and_shown() {
    let directory = Directory::new("cli-submit");
    let file = directory.write("job.toml", JOB_FILE);
    let running = cli_support::start(FakeHost::default(), auth::Authentication::Open).await;

    let submitted = cli_support::run_at(&running, &["job", "submit", &file]).await;
    let listed = cli_support::run_at(&running, &["job", "list", "--team", "spectral"]).await;
    let shown = cli_support::run_at(&running, &["job", "show", "furan-fit-0412"]).await;

    assert_eq!(submitted.code, 0, "{submitted:?}");
    assert!(
        submitted.stderr.starts_with("command-id: cmd-"),
        "{submitted:?}"
    );
    assert!(
        submitted
            .stdout
            .starts_with("ok(0): furan-fit-0412 is accepted"),
        "{submitted:?}"
    );
    assert!(
        listed
            .stdout
            .contains("furan-fit-0412  spectral  gikondo  batch"),
        "{listed:?}"
    );
    assert!(shown.stdout.contains("8.000 cores, 16384 MiB"), "{shown:?}");
    assert!(
        shown.stdout.contains("waits: no worker has 8 cores free"),
        "{shown:?}"
    );
}

#[tokio::test]
async fn json_output_is_one_value_with_numeric_codes() {
    let running = cli_support::start(
        host_with_job(message::JobState::Running),
        auth::Authentication::Open,
    )
    .await;
    let arguments = [
        "job",
        "cancel",
        "furan-fit-0412",
        "--command-id",
        "c-1",
        "--output",
        "json",
    ];

    let cancelled = cli_support::run_at(&running, &arguments).await;
    let missing = cli_support::run_at(&running, &["--output", "json", "job", "show", "x"]).await;

    let value: serde_json::Value = serde_json::from_str(&cancelled.stdout).unwrap();
    let expected = serde_json::json!({
        "command_id": "c-1",
        "code": 0,
        "message": "furan-fit-0412 is cancelled",
        "revision": 2,
        "retry_after_ms": null,
    });
    assert_eq!(value, expected);
    let error: serde_json::Value = serde_json::from_str(&missing.stderr).unwrap();
    assert_eq!(error["error"]["code"], 1100);
    assert_eq!(error["error"]["name"], "not-found");
}

#[tokio::test]
async fn unknown_job_is_not_found() {
    let running = cli_support::start(FakeHost::default(), auth::Authentication::Open).await;

    let shown = cli_support::run_at(&running, &["job", "show", "no-such-job"]).await;
    let cancelled = cli_support::run_at(&running, &["job", "cancel", "no-such-job"]).await;

    assert_eq!((shown.code, cancelled.code), (4, 4));
    assert!(shown.stderr.contains("not-found(1100): "), "{shown:?}");
    assert!(
        shown.stderr.contains("there is no job no-such-job"),
        "{shown:?}"
    );
}

#[tokio::test]
async fn invalid_job_file_is_reported_with_line_and_field() {
    let directory = Directory::new("cli-bad-job");
    let file = directory.write(
        "job.toml",
        &JOB_FILE.replace("tasks = 2", "tasks = \"two\""),
    );

    let submitted = cli_support::run(&["job", "submit", &file]).await;

    assert_eq!(submitted.code, 2);
    assert!(
        submitted.stderr.contains("line 6, column 9: tasks: "),
        "{submitted:?}"
    );
    assert!(submitted.stderr.contains("expected u32"), "{submitted:?}");
}

#[tokio::test]
async fn apply_based_on_an_old_version_is_a_conflict() {
    let directory = Directory::new("cli-config");
    let file = directory.write("config.toml", "# empty\n");
    let running = cli_support::start(FakeHost::default(), auth::Authentication::Open).await;
    let apply = ["config", "apply", &file, "--based-on", "0"];

    let first = cli_support::run_at(&running, &apply).await;
    let second = cli_support::run_at(&running, &apply).await;
    let shown = cli_support::run_at(&running, &["config", "get"]).await;
    let history = cli_support::run_at(&running, &["config", "history"]).await;

    assert_eq!((first.code, second.code), (0, 5));
    assert!(
        second.stdout.contains("revision-conflict(1102)"),
        "{second:?}"
    );
    assert!(second.stdout.contains("(revision 1)"), "{second:?}");
    assert!(
        shown
            .stdout
            .starts_with("# version 1, applied by eleni at 2025-12-03T"),
        "{shown:?}"
    );
    assert!(history.stdout.contains("gikondo-1   1"), "{history:?}");
}

#[tokio::test]
async fn command_without_an_answer_is_resent_to_the_next_host_and_takes_effect_once() {
    let directory = Directory::new("cli-lost");
    let file = directory.write("job.toml", JOB_FILE);
    let submitted = Arc::new(Notify::new());
    let first = FakeHost {
        notify_instead_of_answer: Some(Arc::clone(&submitted)),
        ..FakeHost::default()
    };
    let state = Arc::clone(&first.state);
    let second = FakeHost {
        state: Arc::clone(&state),
        ..FakeHost::default()
    };
    // The first host has its own runtime, so that its connections break when the runtime is shut
    // down.
    let host_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let first = host_runtime
        .spawn(cli_support::start(first, auth::Authentication::Open))
        .await
        .unwrap();
    let second = cli_support::start(second, auth::Authentication::Open).await;
    let endpoints = [first.address.to_string(), second.address.to_string()];
    let arguments = [
        "job",
        "submit",
        &file,
        "--endpoint",
        &endpoints[0],
        "--endpoint",
        &endpoints[1],
    ];

    let stop_host = async {
        submitted.notified().await;
        host_runtime.shutdown_background();
    };
    let (finished, ()) = tokio::join!(cli_support::run(&arguments), stop_host);

    let state = state.lock().unwrap();
    assert_eq!(finished.code, 0, "{finished:?}");
    assert_eq!(state.effects, 1);
    assert_eq!(state.commands.len(), 2);
    assert_eq!(state.commands[0].id, state.commands[1].id);
}

#[tokio::test]
async fn command_that_is_never_answered_is_reported_as_unknown() {
    let directory = Directory::new("cli-unknown");
    let file = directory.write("job.toml", JOB_FILE);
    let submitted = Arc::new(Notify::new());
    let host = FakeHost {
        notify_instead_of_answer: Some(Arc::clone(&submitted)),
        ..FakeHost::default()
    };
    let host_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let running = host_runtime
        .spawn(cli_support::start(host, auth::Authentication::Open))
        .await
        .unwrap();

    let stop_host = async {
        submitted.notified().await;
        host_runtime.shutdown_background();
    };
    let arguments = ["job", "submit", &file, "--command-id", "night-shift-9"];
    let (finished, ()) = tokio::join!(cli_support::run_at(&running, &arguments), stop_host);

    assert_eq!(finished.code, 8, "{finished:?}");
    assert!(
        finished.stderr.contains("outcome-unknown(3000)"),
        "{finished:?}"
    );
    assert!(
        finished.stderr.contains("same command identifier"),
        "{finished:?}"
    );
}

#[tokio::test]
async fn refusals_end_with_the_exit_code_of_their_result_code() {
    let cases = [
        (ResultCode::QuotaExceeded, 6),
        (ResultCode::NeverFits, 6),
        (ResultCode::StoreUnavailable, 7),
        (ResultCode::AlreadyExists, 5),
        (ResultCode::Internal, 1),
    ];
    for (code, expected) in cases {
        let outcome =
            message::CommandOutcome::refused(code, "refused").retry_after_ms(time::SpanMs(2_000));
        let host = FakeHost {
            refuses_with: Some(outcome),
            ..FakeHost::default()
        };
        let running = cli_support::start(host, auth::Authentication::Open).await;

        let finished = cli_support::run_at(&running, &["job", "cancel", "any"]).await;

        assert_eq!(finished.code, expected, "{finished:?}");
        assert!(
            finished.stdout.contains("try again after 2000 ms"),
            "{finished:?}"
        );
    }
}

#[tokio::test]
async fn command_to_an_unreachable_host_is_reported_as_not_sent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);

    let finished = cli_support::run(&["status", "--endpoint", &address]).await;

    assert_eq!(finished.code, 7);
    assert!(finished.stderr.contains("nothing was sent"), "{finished:?}");
}

#[tokio::test]
async fn tokens_limit_the_commands_that_are_allowed() {
    let directory = Directory::new("cli-tokens");
    let cell_token_file = directory.write("cell", &format!("{CELL_TOKEN}\n"));
    let team_token_file = directory.write("team", TEAM_TOKEN);
    let wrong_token_file = directory.write("wrong", "0000000000000000");
    let host = host_with_job(message::JobState::Running);
    let state = Arc::clone(&host.state);
    let running = cli_support::start(host, tokens()).await;
    let drain = ["worker", "drain", "spectral-3", "--token-file"];
    let cancel = ["job", "cancel", "furan-fit-0412", "--token-file"];

    let without = cli_support::run_at(&running, &["job", "list"]).await;
    let with_wrong =
        cli_support::run_at(&running, &[&drain[..], &[&wrong_token_file]].concat()).await;
    let with_team =
        cli_support::run_at(&running, &[&drain[..], &[&team_token_file]].concat()).await;
    let with_cell =
        cli_support::run_at(&running, &[&drain[..], &[&cell_token_file]].concat()).await;
    let own_job = cli_support::run_at(&running, &[&cancel[..], &[&team_token_file]].concat()).await;

    assert_eq!((without.code, with_wrong.code, with_team.code), (3, 3, 3));
    assert_eq!((with_cell.code, own_job.code), (0, 0), "{own_job:?}");
    let state = state.lock().unwrap();
    let operators: Vec<_> = state
        .commands
        .iter()
        .map(|command| &command.operator)
        .collect();
    assert_eq!(operators, ["eleni", "robot"]);
}

#[tokio::test]
async fn status_with_handover_lists_commands_since_the_given_time() {
    let running = cli_support::start(FakeHost::default(), auth::Authentication::Open).await;

    let plain = cli_support::run_at(&running, &["status"]).await;
    let handover = cli_support::run_at(&running, &["status", "--handover", "8h"]).await;
    let wrong = cli_support::run_at(&running, &["status", "--handover", "yesterday"]).await;

    assert!(plain.stdout.contains("store  2025-12-03T"), "{plain:?}");
    assert!(!plain.stdout.contains("Commands since then"), "{plain:?}");
    assert!(
        handover.stdout.contains("eleni     job.cancel furan-7"),
        "{handover:?}"
    );
    assert_eq!(wrong.code, 2);
    assert!(wrong.stderr.contains("8h"), "{wrong:?}");
}

#[tokio::test]
async fn events_after_the_given_number_are_shown_in_order() {
    let running = cli_support::start(FakeHost::default(), auth::Authentication::Open).await;

    let events = cli_support::run_at(&running, &["events", "--after", "1"]).await;

    let numbers: Vec<&str> = events
        .stdout
        .lines()
        .filter_map(|line| line.split(' ').next())
        .collect();
    assert_eq!(events.code, 0, "{events:?}");
    assert_eq!(numbers, ["2", "3"]);
}

#[tokio::test]
async fn wait_ends_with_the_exit_code_of_the_job_state() {
    let cases = [
        (message::JobState::Succeeded, 0),
        (message::JobState::Failed, 9),
        (message::JobState::Parked, 9),
        (message::JobState::Cancelled, 9),
        (message::JobState::Unknown, 8),
        (message::JobState::Running, 10),
    ];
    for (state, expected) in cases {
        let running = cli_support::start(host_with_job(state), auth::Authentication::Open).await;
        let arguments = ["job", "wait", "furan-fit-0412", "--timeout-s", "0"];

        let finished = cli_support::run_at(&running, &arguments).await;

        assert_eq!(finished.code, expected, "{finished:?}");
    }
}

#[tokio::test]
async fn control_characters_from_the_cell_are_not_printed() {
    let outcome = message::CommandOutcome::refused(ResultCode::Internal, "a\u{1b}[2Jb\nc");
    let host = FakeHost {
        refuses_with: Some(outcome),
        ..FakeHost::default()
    };
    let running = cli_support::start(host, auth::Authentication::Open).await;

    let finished = cli_support::run_at(&running, &["job", "cancel", "any"]).await;

    assert_eq!(
        finished.stdout,
        "internal(9000): a [2Jb\n    c (revision 0)\n"
    );
}
