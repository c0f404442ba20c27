//! Table client with lost answers, outages and conflicts.

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
async fn conflict_returns_the_conflicting_rows() {
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
async fn transaction_with_a_lost_answer_is_committed_and_not_repeated() {
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
async fn lost_answers_do_not_repeat_transactions() {
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
async fn transaction_in_an_outage_is_unavailable_and_writes_nothing() {
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
async fn transaction_without_an_answer_is_unsettled_until_a_tombstone_abandons_it() {
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
async fn abandoned_transaction_that_arrives_late_has_no_effect() {
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
async fn conflict_after_a_lost_attempt_abandons_the_lost_attempt() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    let transaction = increment(None);
    stand_in.faults().set_outage(Outage::Unresponsive);
    let running = tokio::spawn({
        let (client, transaction) = (client.clone(), transaction.clone());
        async move { client.transact(&transaction).await }
    });
    // The first attempt gets no answer, and another host writes the row meanwhile.
    tokio::time::sleep(Duration::from_millis(100)).await;
    stand_in.faults().set_outage(Outage::None);
    let other = table::TableClient::builder(Arc::new(stand_in.clone())).build();
    let other_write = other.transact(&increment(None)).await.unwrap();

    let result = running.await.unwrap();

    assert!(
        matches!(result, Err(table::TableError::Conflict { .. })),
        "{result:?}"
    );
    let delete = table::Transaction::new()
        .at_version("count", other_write.version)
        .delete("count");
    other.transact(&delete).await.unwrap();
    // The conditions hold again, but a late first attempt must still have no effect.
    assert!(client.transact(&transaction).await.is_err());
    assert_eq!(count(&stand_in), 0);
}

#[tokio::test(start_paused = true)]
async fn circuit_opens_in_an_outage_and_closes_after_a_probe() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    stand_in.faults().set_outage(Outage::Refusing);
    let started = Instant::now();
    while started.elapsed() < Duration::from_mins(10) {
        let _ = client.get("count").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let probes = stand_in.faults().requests();
    let open_since = client.circuit().open_since();

    stand_in.faults().set_outage(Outage::None);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let read = client.get("count").await;

    assert!(open_since.is_some());
    // At most one probe every 2.5 s once the back-off has grown, and a few more before.
    assert!(probes < 300, "{probes} requests during the outage");
    assert_eq!(read, Ok(None));
    assert!(client.circuit().open_since().is_none());
}

#[tokio::test(start_paused = true)]
async fn request_in_a_known_outage_is_refused_at_once_with_a_retry_delay() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    stand_in.faults().set_outage(Outage::Unresponsive);
    let _ = client.get("count").await;
    let transaction = increment(None);
    let transact = async {
        let sent_at = Instant::now();
        (client.transact(&transaction).await, sent_at.elapsed())
    };

    // If a probe is due, the read is sent as the probe.
    let (_, (result, waited)) = tokio::join!(client.get("count"), transact);

    assert!(
        matches!(result, Err(table::TableError::Unavailable { retry_after_ms }) if retry_after_ms > 0),
        "{result:?}"
    );
    assert_eq!(waited, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn write_budget_limits_the_peak_rate() {
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

    // The peak is the rate plus one burst, which is a tenth of the rate.
    let peak = stand_in.faults().peak_per_s(table::wire::TRANSACT_PATH);
    assert!(peak <= 55, "{peak}");
}

#[tokio::test(start_paused = true)]
async fn scan_returns_pages_in_the_order_of_keys() {
    let stand_in = stand_in::new();
    let client = client(&stand_in);
    let put_row =
        |transaction: table::Transaction, index| transaction.put(format!("a/{index:04}"), "x");
    let rows = (0..2_500)
        .fold(table::Transaction::new(), put_row)
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
async fn lost_answer_over_http_is_settled_as_committed() {
    let stand_in = stand_in::new();
    let address = stand_in.listen().await.unwrap();
    let client = table::TableClient::at(address);
    stand_in.faults().lose_next_answers(1);

    client.transact(&increment(None)).await.unwrap();
    let row = client.get("count").await.unwrap().unwrap();

    assert_eq!(row.decode::<u64>().unwrap(), 1);
    assert_eq!(stand_in.service().transactions(), 1);
}
