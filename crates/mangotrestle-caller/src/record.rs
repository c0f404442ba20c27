//! The record of one request that must not run twice, from its start to its end.

use std::sync::Arc;

use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;

use crate::refusal::Refusal;
use crate::started::{Ended, KeptAnswer, RecordKey, StartedRecords};

/// A record that was written. Its end is written in the background: a lost end leaves the outcome
/// unknown, which is safe.
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

    /// From now on a target may have the request.
    pub const fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// A target answered.
    pub fn answered(mut self, answer: KeptAnswer) {
        self.end(Ended::Answered(answer));
    }

    /// No answer came.
    pub fn refused(mut self, refusal: &Refusal) {
        if refusal.is_not_run() {
            self.end(Ended::NotRun(refusal.code));
        } else {
            self.end(Ended::Unknown(refusal.code));
        }
    }

    fn end(&mut self, ended: Ended) {
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
    /// The caller went away. Nothing was sent unless it says so, and then the end stays unknown.
    fn drop(&mut self) {
        if !self.ended && !self.sent {
            self.end(Ended::NotRun(ResultCode::DeadlineBeforeStart));
        }
    }
}
