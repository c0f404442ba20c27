//! Stores the records of non-idempotent requests in the platform's table.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use mangotrestle_caller::started as front;
use mangotrestle_core::collections;
use mangotrestle_core::time;
use mangotrestle_platform::schema;
use mangotrestle_platform::started as store;

use super::clock;

/// Delay after which callers are advised to retry if the store's error gives none.
const DEFAULT_RETRY_DELAY: time::SpanMs = time::SpanMs(1_000);

/// Key of a request that this process started and whose end is not recorded yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct OpenRequest {
    key: front::RecordKey,
    request_id: Arc<str>,
}

/// Implements the front's records on top of the records in the table.
pub(super) struct TableRecords {
    records: store::StartedRecords,
    clock: clock::Clock,
    open: Mutex<collections::FastMap<OpenRequest, store::Started>>,
}

impl TableRecords {
    pub(super) fn new(records: store::StartedRecords, clock: clock::Clock) -> Self {
        Self {
            records,
            clock,
            open: Mutex::default(),
        }
    }

    /// Records the start of a request, or returns what is recorded of an earlier one with the same
    /// key.
    async fn start(
        &self,
        key: &front::RecordKey,
        request_id: &str,
    ) -> Result<front::Started, front::StoreUnavailable> {
        let result = self
            .records
            .begin(&key.team, &row_key(key), self.clock.wall())
            .await;
        match result {
            Ok(store::StartOutcome::First(started)) => {
                self.insert_open(open_request(key, request_id), started);
                Ok(front::Started::First)
            }
            Ok(store::StartOutcome::Earlier(answer)) => {
                Ok(earlier_request(Some(kept_answer(answer))))
            }
            Ok(store::StartOutcome::Unknown) => Ok(earlier_request(None)),
            Err(store::StartedError::NotRun { retry_after_ms }) => Err(front::StoreUnavailable {
                retry_after: time::SpanMs(retry_after_ms),
            }),
            Err(store::StartedError::KeyLength { .. } | store::StartedError::Table(_)) => {
                Err(front::StoreUnavailable {
                    retry_after: DEFAULT_RETRY_DELAY,
                })
            }
        }
    }

    /// Records how a request ended. A request with an unknown outcome keeps its start record.
    async fn end(
        &self,
        key: &front::RecordKey,
        request_id: &str,
        ended: front::Ended,
    ) -> Result<(), front::StoreUnavailable> {
        let Some(started) = self.remove_open(&open_request(key, request_id)) else {
            return Ok(());
        };
        let result = match ended {
            front::Ended::Answered(answer) => match stored_answer(answer) {
                Some(answer) => self.records.finish(started, answer).await,
                None => Ok(()),
            },
            front::Ended::NotRun(_) => self.records.withdraw(started).await,
            front::Ended::Unknown(_) => Ok(()),
        };
        result.map_err(|_| front::StoreUnavailable {
            retry_after: DEFAULT_RETRY_DELAY,
        })
    }

    fn insert_open(&self, request: OpenRequest, started: store::Started) {
        self.lock().insert(request, started);
    }

    fn remove_open(&self, request: &OpenRequest) -> Option<store::Started> {
        self.lock().remove(request)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, collections::FastMap<OpenRequest, store::Started>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl front::StartedRecords for TableRecords {
    fn record_started<'a>(
        &'a self,
        key: &'a front::RecordKey,
        request_id: &'a str,
    ) -> front::BoxFuture<'a, Result<front::Started, front::StoreUnavailable>> {
        Box::pin(self.start(key, request_id))
    }

    fn record_ended<'a>(
        &'a self,
        key: &'a front::RecordKey,
        request_id: &'a str,
        ended: front::Ended,
    ) -> front::BoxFuture<'a, Result<(), front::StoreUnavailable>> {
        Box::pin(self.end(key, request_id, ended))
    }

    fn kept_for(&self) -> time::SpanMs {
        time::SpanMs::from_secs(store::RECORD_RETENTION.as_secs())
    }
}

/// Row key of a request. It starts with the job, so that keys of different services cannot collide.
fn row_key(key: &front::RecordKey) -> String {
    format!("{}/{}", key.job, key.idempotency_key)
}

fn open_request(key: &front::RecordKey, request_id: &str) -> OpenRequest {
    OpenRequest {
        key: key.clone(),
        request_id: Arc::from(request_id),
    }
}

/// Describes an earlier request. The table stores no request identifiers, so its identifier is
/// empty.
fn earlier_request(answer: Option<front::KeptAnswer>) -> front::Started {
    front::Started::Earlier(front::Earlier {
        request_id: Arc::from(""),
        answer,
    })
}

fn kept_answer(answer: schema::StartedAnswer) -> front::KeptAnswer {
    front::KeptAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: Some(answer.body),
    }
}

/// Converts an answer to its stored form; `None` if its body was too long to keep. Such an answer
/// is not recorded, so a repeated request is treated as one with an unknown outcome.
fn stored_answer(answer: front::KeptAnswer) -> Option<schema::StartedAnswer> {
    Some(schema::StartedAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body?,
    })
}
