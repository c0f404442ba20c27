//! Tracks the started record of one request until the request's outcome is recorded.

use std::sync::Arc;

use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;

use crate::refusal::Refusal;
use crate::started::{Ended, KeptAnswer, RecordKey, StartedRecords};

/// A started record that was written. The outcome is written in the background; if that write is
/// lost, the recorded outcome stays unknown, which is safe.
pub struct Record {
    records: Arc<dyn StartedRecords>,
    key: RecordKey,
    request_id: Arc<str>,
    sent: bool,
    ended: bool,
}

impl Record {
    pub fn new(records: Arc<dyn StartedRecords>, key: RecordKey, request_id: Arc<str>) -> Self {
        Self {
            records,
            key,
            request_id,
            sent: false,
            ended: false,
        }
    }

    pub fn kept_for(&self) -> time::SpanMs {
        self.records.kept_for()
    }

    /// Marks that a target may have received the request from now on.
    pub const fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Records the answer of a target.
    pub fn record_answer(mut self, answer: KeptAnswer) {
        self.record_outcome(Ended::Answered(answer));
    }

    /// Records a refusal: "not run" or "unknown".
    pub fn record_refusal(mut self, refusal: &Refusal) {
        if refusal.is_not_run() {
            self.record_outcome(Ended::NotRun(refusal.code));
        } else {
            self.record_outcome(Ended::Unknown(refusal.code));
        }
    }

    fn record_outcome(&mut self, ended: Ended) {
        self.ended = true;
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let records = Arc::clone(&self.records);
        let key = self.key.clone();
        let request_id = Arc::clone(&self.request_id);
        runtime.spawn(async move {
            let written = records.record_ended(&key, &request_id, ended).await;
            if written.is_err() {
                metrics::counter!("mangotrestle_front_record_ends_lost").increment(1);
            }
        });
    }
}

impl Drop for Record {
    /// Records "not run" when the caller disconnected before anything was sent. After that the
    /// outcome stays unknown.
    fn drop(&mut self) {
        if !self.ended && !self.sent {
            self.record_outcome(Ended::NotRun(ResultCode::DeadlineBeforeStart));
        }
    }
}
