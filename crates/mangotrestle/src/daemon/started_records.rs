//! Records of non-idempotent requests, kept in the platform's table.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use mangotrestle_caller::started as front;
use mangotrestle_core::collections;
use mangotrestle_core::time;
use mangotrestle_platform::schema;
use mangotrestle_platform::started as store;

use super::clock;

/// Retry advice when the store gave none.
const RETRY_AFTER: time::SpanMs = time::SpanMs(1_000);

/// A request that this process started and whose end is not recorded yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct OpenRequest {
    key: front::RecordKey,
    request_id: Arc<str>,
}

/// The front's records over the table's.
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

    async fn start(
        &self,
        key: &front::RecordKey,
        request_id: &str,
    ) -> Result<front::Started, front::StoreUnavailable> {
        let begun = self
            .records
            .begin(&key.team, &row_key(key), self.clock.wall())
            .await;
        match begun {
            Ok(store::StartOutcome::First(started)) => {
                self.keep(open_request(key, request_id), started);
                Ok(front::Started::First)
            }
            Ok(store::StartOutcome::Earlier(answer)) => Ok(earlier(Some(kept_answer(answer)))),
            Ok(store::StartOutcome::Unknown) => Ok(earlier(None)),
            Err(store::StartedError::NotRun { retry_after_ms }) => Err(front::StoreUnavailable {
                retry_after: time::SpanMs(retry_after_ms),
            }),
            Err(store::StartedError::KeyLength { .. } | store::StartedError::Table(_)) => {
                Err(front::StoreUnavailable {
                    retry_after: RETRY_AFTER,
                })
            }
        }
    }

    async fn end(
        &self,
        key: &front::RecordKey,
        request_id: &str,
        ended: front::Ended,
    ) -> Result<(), front::StoreUnavailable> {
        let Some(started) = self.take(&open_request(key, request_id)) else {
            return Ok(());
        };
        let written = match ended {
            front::Ended::Answered(answer) => match stored_answer(answer) {
                Some(answer) => self.records.finish(started, answer).await,
                None => Ok(()),
            },
            front::Ended::NotRun(_) => self.records.withdraw(started).await,
            front::Ended::Unknown(_) => Ok(()),
        };
        written.map_err(|_| front::StoreUnavailable {
            retry_after: RETRY_AFTER,
        })
    }

    fn keep(&self, request: OpenRequest, started: store::Started) {
        self.lock().insert(request, started);
    }

    fn take(&self, request: &OpenRequest) -> Option<store::Started> {
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

/// Keys of different services never meet.
fn row_key(key: &front::RecordKey) -> String {
    format!("{}/{}", key.job, key.idempotency_key)
}

fn open_request(key: &front::RecordKey, request_id: &str) -> OpenRequest {
    OpenRequest {
        key: key.clone(),
        request_id: Arc::from(request_id),
    }
}

fn earlier(answer: Option<front::KeptAnswer>) -> front::Started {
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

/// An answer whose body was too long to keep stays without a record; whoever asks again is told
/// that the outcome is unknown.
fn stored_answer(answer: front::KeptAnswer) -> Option<schema::StartedAnswer> {
    Some(schema::StartedAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body?,
    })
}
