//! Records of requests that must not run twice.
//!
//! Before such a request is sent to a target, a record with its idempotency key is written. A
//! later request with the same key, through any entry host, finds the record: it gets the recorded
//! answer, or "unknown", and is never sent a second time. If the record cannot be written, nothing
//! is sent, so the request did not run.
//!
//! [`MemoryRecords`] keeps records in memory: for tests, and for a single entry host that may lose
//! them at a restart.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use displaydoc::Display;
use mangotrestle_core::collections::FastMap;
use mangotrestle_core::id;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;

/// Maximum length of an answer's body that is stored in a record, in bytes. For a longer answer, a
/// repeated request gets only the status of the answer.
pub const MAX_KEPT_BODY_BYTES: usize = 16 * 1024;

/// A boxed future, which keeps [`StartedRecords`] usable as a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Key of a started record: the service, the team and the caller's key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RecordKey {
    /// The service.
    pub job: id::JobId,
    /// Team of the caller; equal keys of different teams are distinct.
    pub team: id::TeamId,
    /// The caller's idempotency key.
    pub idempotency_key: Arc<str>,
}

/// An answer as stored in a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type, if the answer had one.
    pub content_type: Option<String>,
    /// The complete body; unset if it was longer than [`MAX_KEPT_BODY_BYTES`].
    pub body: Option<Bytes>,
}

/// Recorded outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ended {
    /// A target answered.
    Answered(KeptAnswer),
    /// The request provably did not run; the key may be used again.
    NotRun(ResultCode),
    /// The request may have run.
    Unknown(ResultCode),
}

/// Result of recording the start of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Started {
    /// The key is new, or its earlier request provably did not run: send the request.
    First,
    /// There was an earlier request with the key: do not send the request.
    Earlier(Earlier),
}

/// An earlier request with the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Earlier {
    /// Request id of the earlier request.
    pub request_id: Arc<str>,
    /// Its answer; unset while no outcome is recorded or when the outcome is unknown.
    pub answer: Option<KeptAnswer>,
}

/// The store did not confirm the record; the request must not be sent.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[displaydoc("the store of started records is unavailable, retry after {retry_after} ms")]
pub struct StoreUnavailable {
    /// Time after which a retry may succeed.
    pub retry_after: time::SpanMs,
}

impl std::error::Error for StoreUnavailable {}

/// The store of started records.
///
/// `record_started` must be atomic: of all calls with one key, over all entry hosts, at most one
/// returns [`Started::First`] until an [`Ended::NotRun`] is recorded. A call that cannot determine
/// whether its own write took effect must return [`StoreUnavailable`]. If the write took effect,
/// later calls with the key find a record without an outcome.
pub trait StartedRecords: Send + Sync {
    /// Records that a request is about to be sent.
    fn record_started<'a>(
        &'a self,
        key: &'a RecordKey,
        request_id: &'a str,
    ) -> BoxFuture<'a, Result<Started, StoreUnavailable>>;

    /// Records the outcome of the request. If this fails, the outcome stays unknown, which is safe.
    fn record_ended<'a>(
        &'a self,
        key: &'a RecordKey,
        request_id: &'a str,
        ended: Ended,
    ) -> BoxFuture<'a, Result<(), StoreUnavailable>>;

    /// Returns the minimum time for which a record is kept, as reported to callers. After that a
    /// record may be deleted.
    fn kept_for(&self) -> time::SpanMs;
}

#[derive(Clone, Debug)]
struct MemoryRecord {
    request_id: Arc<str>,
    ended: Option<Ended>,
}

/// Started records in the memory of this process.
#[derive(Debug)]
pub struct MemoryRecords {
    records: Mutex<FastMap<RecordKey, MemoryRecord>>,
    kept_for: time::SpanMs,
}

impl MemoryRecords {
    /// Creates an empty store. `kept_for` is only reported to callers; nothing is deleted.
    #[must_use]
    pub fn new(kept_for: time::SpanMs) -> Self {
        Self {
            records: Mutex::default(),
            kept_for,
        }
    }

    fn start(&self, key: &RecordKey, request_id: &str) -> Started {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(record) = records.get(key) {
            match &record.ended {
                Some(Ended::NotRun(_)) => {}
                Some(Ended::Answered(answer)) => {
                    return earlier(record, Some(answer.clone()));
                }
                Some(Ended::Unknown(_)) | None => return earlier(record, None),
            }
        }
        let record = MemoryRecord {
            request_id: Arc::from(request_id),
            ended: None,
        };
        records.insert(key.clone(), record);
        Started::First
    }

    fn end(&self, key: &RecordKey, request_id: &str, ended: Ended) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(record) = records.get_mut(key) else {
            return;
        };
        if &*record.request_id == request_id && record.ended.is_none() {
            record.ended = Some(ended);
        }
    }
}

fn earlier(record: &MemoryRecord, answer: Option<KeptAnswer>) -> Started {
    Started::Earlier(Earlier {
        request_id: Arc::clone(&record.request_id),
        answer,
    })
}

impl StartedRecords for MemoryRecords {
    fn record_started<'a>(
        &'a self,
        key: &'a RecordKey,
        request_id: &'a str,
    ) -> BoxFuture<'a, Result<Started, StoreUnavailable>> {
        let started = self.start(key, request_id);
        Box::pin(std::future::ready(Ok(started)))
    }

    fn record_ended<'a>(
        &'a self,
        key: &'a RecordKey,
        request_id: &'a str,
        ended: Ended,
    ) -> BoxFuture<'a, Result<(), StoreUnavailable>> {
        self.end(key, request_id, ended);
        Box::pin(std::future::ready(Ok(())))
    }

    fn kept_for(&self) -> time::SpanMs {
        self.kept_for
    }
}
