//! The table client against a table that misbehaves.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_dev::stand_in::service::Outage;
use mangotrestle_dev::stand_in::table as stand_in;
use mangotrestle_platform::budget;
use mangotrestle_platform::table;
use tokio::time::Instant;

fn client(stand_in: &stand_in::TableStandIn) -> table::TableClient {
    table::TableClient::builder(Arc::new(stand_in.clone())).build()
}

fn increment(row: Option<&table::Row>) -> table::Transaction {
    let count: u64 = row.map_or(0, |row| row.decode().unwrap());
    table::Transaction::new()
        .expect("count", row.map(|row| row.version))
        .put_json("count", &(count + 1))
}

fn count(stand_in: &stand_in::TableStandIn) -> u64 {
    let row = stand_in.service().row("count");
    row.map_or(0, |row| row.decode().unwrap())
}

#[tokio::test(start_paused = true)]
async fn conflict_shows_the_rows_that_stand_against() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    client.transact(&increment(None)).await.unwrap();

    let error = client.transact(&increment(None)).await.unwrap_err();

    let table::TableError::Conflict { failed, current } = error else {
        panic!("{error:?}");
    };
    assert_eq!(failed, ["count"]);
    assert_eq!(current[0].decode::<u64>().unwrap(), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_after_the_effect_is_settled_as_committed_and_not_repeated() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    stand_in.faults().lose_next_answers(1);

    let committed = client.transact(&increment(None)).await.unwrap();

    let row = stand_in.service().row("count").unwrap();
    assert_eq!(row.version, committed.version);
    assert_eq!(count(&stand_in), 1);
    assert_eq!(stand_in.service().transactions(), 1);
}

#[tokio::test(start_paused = true)]
async fn many_lost_answers_never_repeat_an_effect() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);

    for expected in 1..=50 {
        let row = stand_in.service().row("count");
        stand_in.faults().lose_next_answers(expected % 3);
        client.transact(&increment(row.as_ref())).await.unwrap();
        assert_eq!(count(&stand_in), u64::from(expected));
    }
}

#[tokio::test(start_paused = true)]
async fn outage_from_the_start_surely_wrote_nothing() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    stand_in.faults().set_outage(Outage::Refusing);

    let error = client.transact(&increment(None)).await.unwrap_err();

    assert!(
        matches!(error, table::TableError::Unavailable { retry_after_ms } if retry_after_ms > 0)
    );
    stand_in.faults().set_outage(Outage::None);
    assert_eq!(count(&stand_in), 0);
}

#[tokio::test(start_paused = true)]
async fn silence_is_unsettled_until_the_write_row_is_claimed() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    stand_in.faults().set_outage(Outage::Unresponsive);
    let transaction = increment(None);

    let error = client.transact(&transaction).await.unwrap_err();
    stand_in.faults().set_outage(Outage::None);
    let settled = client.settle(&transaction.write_id).await;

    assert_eq!(
        error,
        table::TableError::Unsettled(transaction.write_id.clone())
    );
    assert_eq!(settled, Ok(table::Settled::Abandoned));
}

#[tokio::test(start_paused = true)]
async fn abandoned_write_that_arrives_late_takes_no_effect() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    let transaction = increment(None);
    client.settle(&transaction.write_id).await.unwrap();

    let late = client.transact(&transaction).await;

    assert!(
        matches!(late, Err(table::TableError::Refused(_))),
        "{late:?}"
    );
    assert_eq!(count(&stand_in), 0);
}

#[tokio::test(start_paused = true)]
async fn refusal_after_a_lost_try_rules_the_earlier_try_out() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    let transaction = increment(None);
    stand_in.faults().set_outage(Outage::Unresponsive);
    let running = tokio::spawn({
        let (client, transaction) = (client.clone(), transaction.clone());
        async move { client.transact(&transaction).await }
    });
    // The first try is lost on its way; meanwhile another host wins the row.
    tokio::time::sleep(Duration::from_millis(100)).await;
    stand_in.faults().set_outage(Outage::None);
    let other = table::TableClient::builder(Arc::new(stand_in.clone())).build();
    let won = other.transact(&increment(None)).await.unwrap();

    let result = running.await.unwrap();

    assert!(
        matches!(result, Err(table::TableError::Conflict { .. })),
        "{result:?}"
    );
    let delete = table::Transaction::new()
        .at_version("count", won.version)
        .delete("count");
    other.transact(&delete).await.unwrap();
    // Its conditions hold again, and still the late first try must not take effect.
    assert!(client.transact(&transaction).await.is_err());
    assert_eq!(count(&stand_in), 0);
}

#[tokio::test(start_paused = true)]
async fn circuit_opens_in_an_outage_and_closes_by_a_probe() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    stand_in.faults().set_outage(Outage::Refusing);
    let started = Instant::now();
    while started.elapsed() < Duration::from_mins(10) {
        let _ = client.get("count").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let probes = stand_in.faults().requests();
    let open = client.circuit().open_since();

    stand_in.faults().set_outage(Outage::None);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let read = client.get("count").await;

    assert!(open.is_some());
    // A probe every 2.5 s at the most often once the distance has grown, and a few before.
    assert!(probes < 300, "{probes} requests into the outage");
    assert_eq!(read, Ok(None));
    assert!(client.circuit().open_since().is_none());
}

#[tokio::test(start_paused = true)]
async fn request_in_a_known_outage_is_refused_at_once_with_retry_advice() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    stand_in.faults().set_outage(Outage::Unresponsive);
    let _ = client.get("count").await;
    let transaction = increment(None);
    let refused = async {
        let asked = Instant::now();
        (client.transact(&transaction).await, asked.elapsed())
    };

    // If a probe is due, the read is the probe.
    let (_, (result, waited)) = tokio::join!(client.get("count"), refused);

    assert!(
        matches!(result, Err(table::TableError::Unavailable { retry_after_ms }) if retry_after_ms > 0),
        "{result:?}"
    );
    assert_eq!(waited, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn write_budget_bounds_the_peak() {
    let stand_in = stand_in::new();
    let writes = budget::Budget::new(50.0);
    let client = table::TableClient::builder(Arc::new(stand_in.clone()))
        .writes(writes)
        .deadline(Duration::from_mins(1))
        .build();

    let tasks: Vec<_> = (0..500)
        .map(|index| {
            let client = client.clone();
            tokio::spawn(async move {
                let put = table::Transaction::new().put(format!("row/{index}"), "x");
                client.transact(&put).await
            })
        })
        .collect();
    for task in tasks {
        task.await.unwrap().unwrap();
    }

    // The rate and one burst of a tenth of it.
    let peak = stand_in.faults().peak_per_s(table::wire::TRANSACT_PATH);
    assert!(peak <= 55, "{peak}");
}

#[tokio::test(start_paused = true)]
async fn scan_goes_page_by_page_in_the_order_of_keys() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    let fill =
        |transaction: table::Transaction, index| transaction.put(format!("a/{index:04}"), "x");
    let rows = (0..2_500)
        .fold(table::Transaction::new(), fill)
        .put("b/0", "x");
    client.transact(&rows).await.unwrap();

    let all = client.scan_all("a/", None).await.unwrap();
    let rest = client.scan("a/", Some("a/2490"), 100).await.unwrap();

    assert_eq!(all.len(), 2_500);
    assert!(all.windows(2).all(|pair| pair[0].key < pair[1].key));
    assert_eq!(rest.rows.len(), 9);
    assert!(!rest.more);
}

#[tokio::test]
async fn the_same_holds_over_http() {
    let stand_in = stand_in::new();
    let address = stand_in.listen().await.unwrap();
    let client = table::TableClient::at(address);
    stand_in.faults().lose_next_answers(1);

    client.transact(&increment(None)).await.unwrap();
    let row = client.get("count").await.unwrap().unwrap();

    assert_eq!(row.decode::<u64>().unwrap(), 1);
    assert_eq!(stand_in.service().transactions(), 1);
}
