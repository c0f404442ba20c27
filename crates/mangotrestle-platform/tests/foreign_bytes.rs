//! Answers of services and stored bytes that are not what they should be: an error, no panic.

use std::sync::Arc;

use bytes::Bytes;
use mangotrestle_core::journal;
use mangotrestle_platform::pool_store::snapshot;
use mangotrestle_platform::transport::{BoxFuture, Transport, TransportError};
use mangotrestle_platform::{host_list, object_store, schema, table};
use quickcheck::quickcheck;

/// Answers everything with the same status and bytes.
struct Constant {
    status: u16,
    body: Vec<u8>,
}

impl Transport for Constant {
    fn send(
        &self,
        _request: http::Request<Bytes>,
    ) -> BoxFuture<'_, Result<http::Response<Bytes>, TransportError>> {
        let mut response = http::Response::new(Bytes::from(self.body.clone()));
        *response.status_mut() = http::StatusCode::from_u16(self.status).unwrap();
        Box::pin(std::future::ready(Ok(response)))
    }
}

fn constant(status: u16, body: Vec<u8>) -> Arc<Constant> {
    // What a server may send: from 200 on.
    let status = 200 + status % 400;
    Arc::new(Constant { status, body })
}

fn in_virtual_time<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(work)
}

fn state() -> journal::PoolState {
    let record = serde_json::json!({
        "t": "run-started",
        "run": {"task": {"job": "certificates", "index": 1}, "attempt": 1},
        "worker": "w-1",
        "wall_ms": 5,
    });
    let mut state = journal::PoolState::default();
    state.apply(&serde_json::from_value(record).unwrap());
    state
}

quickcheck! {
    fn no_answer_of_the_table_counts_as_accepted_unless_it_says_so(status: u16, body: Vec<u8>) -> bool {
        let client = table::TableClient::builder(constant(status, body)).build();
        in_virtual_time(async {
            let written = client.transact(&table::Transaction::new().put("a", "b")).await;
            let read = client.get("a").await;
            written.is_err() && read.is_err()
        })
    }

    fn no_answer_of_the_object_store_counts_as_an_object(status: u16, body: Vec<u8>) -> bool {
        let store = object_store::ObjectStore::new(constant(status, body));
        in_virtual_time(async { store.get("a").await.is_err() })
    }

    fn no_answer_of_the_host_list_counts_as_a_list(status: u16, body: Vec<u8>) -> bool {
        let client = host_list::HostListClient::new(constant(status, body));
        in_virtual_time(async { client.fetch().await.is_err() })
    }

    fn bytes_are_no_snapshot(bytes: Vec<u8>) -> bool {
        snapshot::decode(&bytes).is_err()
    }

    fn torn_snapshot_is_told_from_a_whole_one(cut: usize) -> bool {
        let whole = snapshot::encode(&state(), 7);
        snapshot::decode(&whole[..cut % whole.len()]).is_err()
    }

    fn flipped_bit_of_a_snapshot_is_noticed(position: usize, bit: u8) -> bool {
        let whole = snapshot::encode(&state(), 7);
        let mut damaged = whole.to_vec();
        let length = damaged.len();
        damaged[position % length] ^= 1 << (bit % 8);
        match snapshot::decode(&damaged) {
            Err(_) => true,
            // A flip in the header may leave the same number in another form.
            Ok(read) => read.state == state() && read.through == Some(7),
        }
    }

    fn row_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let row = table::Row {
            key: "row".to_owned(),
            version: table::Version(1),
            value: Bytes::from(bytes),
        };
        let _ = row.decode::<schema::JournalRow>();
        let _ = row.decode::<schema::SnapshotReference>();
        let _ = row.decode::<schema::StartedRow>();
        true
    }
}

#[test]
fn snapshot_of_the_first_format_is_read() {
    let content = serde_json::to_vec(&serde_json::json!({"state": state()})).unwrap();
    let header = serde_json::json!({
        "format": 1,
        "length_bytes": content.len(),
        "crc32": crc32fast::hash(&content),
    });
    let mut bytes = serde_json::to_vec(&header).unwrap();
    bytes.push(b'\n');
    bytes.extend_from_slice(&content);

    let read = snapshot::decode(&bytes).unwrap();

    assert_eq!(read.state, state());
    assert_eq!(read.through, None);
}

#[test]
fn snapshot_of_a_newer_format_is_refused_by_its_number() {
    let content = b"{}";
    let header = serde_json::json!({
        "format": 9,
        "length_bytes": content.len(),
        "crc32": crc32fast::hash(content),
    });
    let bytes = [header.to_string().as_bytes(), b"\n", content].concat();

    assert_eq!(
        snapshot::decode(&bytes),
        Err(snapshot::SnapshotError::Format(9))
    );
}

#[test]
fn short_row_cannot_stand_for_more_tasks_than_a_job_has() {
    let row = serde_json::json!({
        "t": "runs-ended", "job": "a", "attempt": 1, "outcome": "succeeded",
        "tasks": [[0, u32::MAX]], "wall_ms": 1,
    });

    assert!(serde_json::from_value::<journal::Record>(row).is_err());
}
