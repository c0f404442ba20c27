//! Invalid answers of services and invalid stored bytes must give an error and no panic.

use std::sync::Arc;

use bytes::Bytes;
use mangotrestle_core::journal;
use mangotrestle_platform::pool_store::snapshot;
use mangotrestle_platform::transport::{BoxFuture, Transport, TransportError};
use mangotrestle_platform::{host_list, object_store, schema, table};
use quickcheck::quickcheck;

/// Transport that answers every request with the same status and body.
struct ConstantTransport {
    status: u16,
    body: Vec<u8>,
}

impl Transport for ConstantTransport {
    fn send(
        &self,
        _request: http::Request<Bytes>,
    ) -> BoxFuture<'_, Result<http::Response<Bytes>, TransportError>> {
        let mut response = http::Response::new(Bytes::from(self.body.clone()));
        *response.status_mut() = http::StatusCode::from_u16(self.status).unwrap();
        Box::pin(std::future::ready(Ok(response)))
    }
}

fn constant_transport(status: u16, body: Vec<u8>) -> Arc<ConstantTransport> {
    // Maps to a final status that a server may send, from 200 to 599.
    let status = 200 + status % 400;
    Arc::new(ConstantTransport { status, body })
}

fn block_on_virtual_time<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(future)
}

fn sample_state() -> journal::PoolState {
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
    fn arbitrary_answers_of_the_table_are_errors(status: u16, body: Vec<u8>) -> bool {
        let client = table::TableClient::builder(constant_transport(status, body)).build();
        block_on_virtual_time(async {
            let transact = client.transact(&table::Transaction::new().put("a", "b")).await;
            let get = client.get("a").await;
            transact.is_err() && get.is_err()
        })
    }

    fn arbitrary_answers_of_the_object_store_are_errors(status: u16, body: Vec<u8>) -> bool {
        let store = object_store::ObjectStore::new(constant_transport(status, body));
        block_on_virtual_time(async { store.get("a").await.is_err() })
    }

    fn arbitrary_answers_of_the_host_list_are_errors(status: u16, body: Vec<u8>) -> bool {
        let client = host_list::HostListClient::new(constant_transport(status, body));
        block_on_virtual_time(async { client.fetch().await.is_err() })
    }

    fn arbitrary_bytes_are_not_decoded_as_a_snapshot(bytes: Vec<u8>) -> bool {
        snapshot::decode(&bytes).is_err()
    }

    fn truncated_snapshot_is_an_error(cut: usize) -> bool {
        let encoded = snapshot::encode(&sample_state(), 7);
        snapshot::decode(&encoded[..cut % encoded.len()]).is_err()
    }

    fn flipped_bit_in_a_snapshot_is_detected(position: usize, bit: u8) -> bool {
        let encoded = snapshot::encode(&sample_state(), 7);
        let mut damaged = encoded.to_vec();
        let length = damaged.len();
        damaged[position % length] ^= 1 << (bit % 8);
        match snapshot::decode(&damaged) {
            Err(_) => true,
            // A flipped bit in the header may give another spelling of the same header.
            Ok(decoded) => decoded.state == sample_state() && decoded.through == Some(7),
        }
    }

    fn decoding_arbitrary_row_bytes_does_not_panic(bytes: Vec<u8>) -> bool {
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
fn snapshot_of_format_1_is_decoded() {
    let content = serde_json::to_vec(&serde_json::json!({"state": sample_state()})).unwrap();
    let header = serde_json::json!({
        "format": 1,
        "length_bytes": content.len(),
        "crc32": crc32fast::hash(&content),
    });
    let mut bytes = serde_json::to_vec(&header).unwrap();
    bytes.push(b'\n');
    bytes.extend_from_slice(&content);

    let decoded = snapshot::decode(&bytes).unwrap();

    assert_eq!(decoded.state, sample_state());
    assert_eq!(decoded.through, None);
}

#[test]
fn snapshot_of_a_newer_format_is_refused_with_the_format_number() {
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
fn record_with_a_task_range_beyond_the_task_limit_is_refused() {
    let row = serde_json::json!({
        "t": "runs-ended", "job": "a", "attempt": 1, "outcome": "succeeded",
        "tasks": [[0, u32::MAX]], "wall_ms": 1,
    });

    assert!(serde_json::from_value::<journal::Record>(row).is_err());
}
