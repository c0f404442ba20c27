//! Commands, configuration versions, started records and the sweep on a faulty table.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use mangotrestle_core::{configuration, id, result_code, time};
use mangotrestle_dev::stand_in::service::Outage;
use mangotrestle_dev::stand_in::table as stand_in;
use mangotrestle_platform::group_commit::GroupCommit;
use mangotrestle_platform::transaction_sink::TransactionSink;
use mangotrestle_platform::{
    budget, command_log, configuration_store, schema, started, sweep, table,
};

struct Host {
    table: table::TableClient,
    commands: command_log::CommandLog,
    configuration: configuration_store::ConfigurationStore,
    started: started::StartedRecords,
}

/// Returns the clients of one entry host.
fn host(stand_in: &stand_in::TableStandIn) -> Host {
    let table = table::TableClient::builder(Arc::new(stand_in.clone()))
        .writes(budget::Budget::new(1_000.0))
        .reads(budget::Budget::new(1_000.0))
        .build();
    let commit =
        GroupCommit::<TransactionSink>::builder().spawn(TransactionSink::new(table.clone()));
    let commands = command_log::CommandLog::new(table.clone(), commit.clone());
    Host {
        configuration: configuration_store::ConfigurationStore::new(
            table.clone(),
            commands.clone(),
        ),
        started: started::StartedRecords::new(commit),
        commands,
        table,
    }
}

fn command(name: &str, effect: table::Transaction) -> command_log::Command {
    command_log::Command {
        id: name.parse().unwrap(),
        effect,
        answer: schema::CommandRow {
            code: result_code::ResultCode::Ok,
            message: format!("done by {name}"),
            revision: 1,
            wall_ms: time::WallTimeMs(1_000),
        },
        audit: schema::AuditRow {
            wall_ms: time::WallTimeMs(1_000),
            operator: "athens".to_owned(),
            what: name.to_owned(),
            from_revision: 0,
            command: name.parse().unwrap(),
        },
    }
}

fn document(retry_percent: u32) -> configuration::Document {
    let mut document = configuration::Document::default();
    document.requests.retry_percent = retry_percent;
    document
}

fn proposal<'a>(
    name: &str,
    document: &'a configuration::Document,
    based_on: Option<u64>,
) -> configuration_store::Proposal<'a> {
    configuration_store::Proposal {
        command: name.parse().unwrap(),
        operator: "kigali",
        text: "retry_percent = 1",
        document,
        based_on,
        wall_ms: time::WallTimeMs(2_000),
    }
}

fn team() -> id::TeamId {
    "payments".parse().unwrap()
}

fn answer(text: &'static str) -> schema::StartedAnswer {
    schema::StartedAnswer {
        status: 200,
        content_type: Some("text/plain".to_owned()),
        body: Bytes::from_static(text.as_bytes()),
    }
}

#[tokio::test(start_paused = true)]
async fn command_resent_through_another_host_gets_its_first_answer() {
    let stand_in = stand_in::new();
    let effect = || table::Transaction::new().put("thing", "1");
    let first = host(&stand_in)
        .commands
        .execute(command("c-1", effect()))
        .await;

    let resent = host(&stand_in)
        .commands
        .execute(command("c-1", effect()))
        .await
        .unwrap();

    let first = first.unwrap();
    assert!(!first.earlier);
    assert!(resent.earlier);
    assert_eq!(resent.answer, first.answer);
    assert_eq!(stand_in.service().keys("audit/").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn refused_command_is_refused_again_when_resent() {
    let stand_in = stand_in::new();
    let host = host(&stand_in);
    let effect = || table::Transaction::new().absent("thing").put("thing", "2");
    let put = table::Transaction::new().put("thing", "1");
    let put = host.table.transact(&put).await.unwrap();
    let refused = host
        .commands
        .execute(command("c-2", effect()))
        .await
        .unwrap();
    let delete = table::Transaction::new()
        .at_version("thing", put.version)
        .delete("thing");
    host.table.transact(&delete).await.unwrap();

    let resent = host
        .commands
        .execute(command("c-2", effect()))
        .await
        .unwrap();

    assert_eq!(
        refused.answer.code,
        result_code::ResultCode::RevisionConflict
    );
    assert_eq!(refused.current.len(), 1);
    assert_eq!(resent.answer, refused.answer);
    assert!(stand_in.service().row("thing").is_none());
}

#[tokio::test(start_paused = true)]
async fn conflict_in_a_batch_refuses_only_the_conflicting_command() {
    let stand_in = stand_in::new();
    let host = host(&stand_in);
    host.table
        .transact(&table::Transaction::new().put("taken", "1"))
        .await
        .unwrap();
    let names = ["free-1", "taken", "free-2", "free-3"];

    let tasks: Vec<_> = names
        .map(|name| {
            let commands = host.commands.clone();
            let effect = table::Transaction::new().absent(name).put(name, "2");
            tokio::spawn(async move { commands.execute(command(name, effect)).await })
        })
        .into();
    let mut codes = Vec::new();
    for task in tasks {
        codes.push(task.await.unwrap().unwrap().answer.code);
    }

    let ok = result_code::ResultCode::Ok;
    assert_eq!(
        codes,
        [ok, result_code::ResultCode::RevisionConflict, ok, ok]
    );
}

#[tokio::test(start_paused = true)]
async fn same_command_twice_in_one_batch_takes_effect_once() {
    let stand_in = stand_in::new();
    let host = host(&stand_in);
    let execute = |commands: command_log::CommandLog| {
        let effect = table::Transaction::new().put("thing", "1");
        tokio::spawn(async move { commands.execute(command("c-3", effect)).await })
    };

    let first = execute(host.commands.clone());
    let second = execute(host.commands.clone());
    let answers = [
        first.await.unwrap().unwrap(),
        second.await.unwrap().unwrap(),
    ];

    assert_eq!(
        answers.iter().filter(|answered| answered.earlier).count(),
        1
    );
    assert_eq!(answers[0].answer, answers[1].answer);
}

#[tokio::test(start_paused = true)]
async fn command_in_an_outage_is_not_run_and_takes_no_effect_later() {
    let stand_in = stand_in::new();
    let host = host(&stand_in);
    stand_in.faults().set_outage(Outage::Refusing);
    let effect = table::Transaction::new().put("thing", "1");

    let error = host
        .commands
        .execute(command("c-4", effect))
        .await
        .unwrap_err();

    assert!(
        matches!(error, command_log::CommandError::NotRun { retry_after_ms } if retry_after_ms > 0)
    );
    stand_in.faults().set_outage(Outage::None);
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert!(stand_in.service().row("thing").is_none());
}

#[tokio::test(start_paused = true)]
async fn one_of_two_concurrent_proposals_is_accepted_and_the_other_conflicts() {
    let stand_in = stand_in::new();
    let (athens, kigali) = (host(&stand_in), host(&stand_in));
    let (athens_document, kigali_document) = (document(1), document(2));

    let (first, second) = tokio::join!(
        athens
            .configuration
            .accept(proposal("a", &athens_document, Some(0))),
        kigali
            .configuration
            .accept(proposal("b", &kigali_document, Some(0))),
    );

    let answers = [first.unwrap().answer, second.unwrap().answer];
    let accepted = answers
        .iter()
        .filter(|a| a.code == result_code::ResultCode::Ok);
    assert_eq!(accepted.count(), 1);
    assert!(
        answers.iter().all(|answer| answer.revision == 1),
        "{answers:?}"
    );
    assert_eq!(athens.configuration.head().await, Ok(1));
}

#[tokio::test(start_paused = true)]
async fn fetching_changes_and_whole_documents_gives_the_same_configuration() {
    let stand_in = stand_in::new();
    let host = host(&stand_in);
    let initial = configuration_store::Versioned {
        version: 0,
        document: configuration::Document::default(),
    };
    let mut followed = initial.clone();
    for version in 1..=30 {
        let mut wanted = document(version);
        if version % 3 == 0 {
            let policy = configuration::TeamPolicy {
                max_requests_per_s: (version % 2 == 0).then_some(version),
                ..Default::default()
            };
            wanted.teams.insert(team(), policy);
        }
        let name = format!("config-{version}");
        host.configuration
            .accept(proposal(&name, &wanted, None))
            .await
            .unwrap();

        followed = host
            .configuration
            .fetch(&followed, version.into())
            .await
            .unwrap();
        let fetched_whole = host
            .configuration
            .fetch(&initial, version.into())
            .await
            .unwrap();

        assert_eq!(followed.document, wanted);
        assert_eq!(fetched_whole, followed);
    }
    let history = host.configuration.history(5).await.unwrap();
    let versions: Vec<_> = history.iter().map(|row| row.version).collect();
    assert_eq!(versions, [30, 29, 28, 27, 26]);
}

#[tokio::test(start_paused = true)]
async fn first_start_of_a_request_is_followed_by_unknown_or_the_earlier_answer() {
    let stand_in = stand_in::new();
    let (first_host, second_host) = (host(&stand_in), host(&stand_in));
    let wall_ms = time::WallTimeMs(5);
    let begun = first_host
        .started
        .begin(&team(), "pay/17", wall_ms)
        .await
        .unwrap();
    let before = second_host
        .started
        .begin(&team(), "pay/17", wall_ms)
        .await
        .unwrap();
    let started::StartOutcome::First(record) = begun else {
        panic!("{begun:?}");
    };
    first_host
        .started
        .finish(record, answer("paid"))
        .await
        .unwrap();

    let after = second_host
        .started
        .begin(&team(), "pay/17", wall_ms)
        .await
        .unwrap();

    assert_eq!(before, started::StartOutcome::Unknown);
    assert_eq!(after, started::StartOutcome::Earlier(answer("paid")));
}

#[tokio::test(start_paused = true)]
async fn start_with_a_lost_answer_is_first_and_the_next_is_unknown() {
    let stand_in = stand_in::new();
    let (first_host, second_host) = (host(&stand_in), host(&stand_in));
    let wall_ms = time::WallTimeMs(5);
    for request in 0..50 {
        let key = format!("pay/{request}");
        stand_in.faults().lose_next_answers(request % 4);

        let first = first_host.started.begin(&team(), &key, wall_ms).await;
        let second = second_host.started.begin(&team(), &key, wall_ms).await;

        assert!(
            matches!(first, Ok(started::StartOutcome::First(_))),
            "{key}: {first:?}"
        );
        assert_eq!(second, Ok(started::StartOutcome::Unknown), "{key}");
    }
}

#[tokio::test(start_paused = true)]
async fn request_with_a_withdrawn_start_can_be_started_again() {
    let stand_in = stand_in::new();
    let host = host(&stand_in);
    let wall_ms = time::WallTimeMs(5);
    let begun = host
        .started
        .begin(&team(), "pay/17", wall_ms)
        .await
        .unwrap();
    let started::StartOutcome::First(record) = begun else {
        panic!("{begun:?}");
    };
    host.started.withdraw(record).await.unwrap();

    let again = host
        .started
        .begin(&team(), "pay/17", wall_ms)
        .await
        .unwrap();

    assert!(matches!(again, started::StartOutcome::First(_)));
}

#[tokio::test(start_paused = true)]
async fn start_in_an_outage_is_not_run() {
    let stand_in = stand_in::new();
    let host = host(&stand_in);
    stand_in.faults().set_outage(Outage::Unresponsive);

    let begun = host
        .started
        .begin(&team(), "pay/17", time::WallTimeMs(5))
        .await;

    assert!(
        matches!(begun, Err(started::StartedError::NotRun { .. })),
        "{begun:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn sweep_deletes_old_rows_and_keeps_recent_ones() {
    let stand_in = stand_in::new();
    let host = host(&stand_in);
    let day_ms = 24 * 3_600_000;
    let now = time::WallTimeMs(2_000_000_000_000);
    let old = time::WallTimeMs(now.0 - 2 * day_ms);
    for index in 0..1_200 {
        let written = if index % 2 == 0 { old } else { now };
        let key = format!("pay/{index}");
        host.started.begin(&team(), &key, written).await.unwrap();
    }
    let mut sweeper = sweep::Sweeper::new(host.table.clone());

    for _ in 0..20 {
        sweeper.step(now).await.unwrap();
    }

    assert_eq!(stand_in.service().keys(schema::STARTED_PREFIX).len(), 600);
    // The keys of transaction rows hold the wall time of this machine, which is long before `now`.
    assert!(stand_in.service().keys(schema::WRITE_PREFIX).len() < 100);
}
