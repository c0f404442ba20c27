//! Conversions of the answers of a worker.

use mangotrestle_core::id;
use mangotrestle_core::lease::message;
use mangotrestle_core::time;

use super::{
    InvalidMessage, MAX_ADDRESS_BYTES, checked_id, checked_list, checked_run_ids,
    generated_run_ids, parse_result_code, required,
};
use crate::generated;

impl From<&message::RunningTask> for generated::RunningTask {
    fn from(running: &message::RunningTask) -> Self {
        Self {
            run: Some(generated::RunId::from(&running.run)),
            need: Some(generated::Resources::from(&running.need)),
            lease_expires_ms: running.lease_expires_ms.0,
        }
    }
}

impl TryFrom<generated::RunningTask> for message::RunningTask {
    type Error = InvalidMessage;

    fn try_from(running: generated::RunningTask) -> Result<Self, InvalidMessage> {
        Ok(Self {
            run: required("running.run", running.run)?.try_into()?,
            need: required("running.need", running.need)?.into(),
            lease_expires_ms: time::WorkerTimeMs(running.lease_expires_ms),
        })
    }
}

impl From<&message::ClaimGranted> for generated::ClaimGranted {
    fn from(granted: &message::ClaimGranted) -> Self {
        Self {
            worker_incarnation: granted.worker_incarnation.0,
            epoch: granted.epoch.0,
            rival_epoch: granted.rival_epoch.0,
            worker_time_ms: granted.worker_time_ms.0,
            lease_expires_ms: granted.lease_expires_ms.0,
            capacity: Some(generated::Resources::from(&granted.capacity)),
            rack: granted.rack.as_str().to_owned(),
            running: granted
                .running
                .iter()
                .map(generated::RunningTask::from)
                .collect(),
            ended: generated_ended_runs(&granted.ended),
            leaving: granted.leaving,
            target_address: granted.target_address.clone(),
        }
    }
}

impl TryFrom<generated::ClaimGranted> for message::ClaimGranted {
    type Error = InvalidMessage;

    fn try_from(granted: generated::ClaimGranted) -> Result<Self, InvalidMessage> {
        let length_bytes = granted.target_address.len();
        if length_bytes > MAX_ADDRESS_BYTES {
            return Err(InvalidMessage::TooLong {
                field: "target_address",
                length_bytes,
            });
        }
        Ok(Self {
            worker_incarnation: id::Incarnation(granted.worker_incarnation),
            epoch: message::Epoch(granted.epoch),
            rival_epoch: message::Epoch(granted.rival_epoch),
            worker_time_ms: time::WorkerTimeMs(granted.worker_time_ms),
            lease_expires_ms: time::WorkerTimeMs(granted.lease_expires_ms),
            capacity: required("capacity", granted.capacity)?.into(),
            rack: checked_id("rack", &granted.rack, id::RackId::new)?,
            running: checked_list("running", granted.running, message::RunningTask::try_from)?,
            ended: checked_list("ended", granted.ended, message::EndedRun::try_from)?,
            leaving: granted.leaving,
            target_address: granted.target_address,
        })
    }
}

impl From<&message::TaskUsage> for generated::TaskUsage {
    fn from(usage: &message::TaskUsage) -> Self {
        Self {
            run: Some(generated::RunId::from(&usage.run)),
            used: Some(generated::Resources::from(&usage.used)),
        }
    }
}

impl TryFrom<generated::TaskUsage> for message::TaskUsage {
    type Error = InvalidMessage;

    fn try_from(usage: generated::TaskUsage) -> Result<Self, InvalidMessage> {
        Ok(Self {
            run: required("usage.run", usage.run)?.try_into()?,
            used: required("usage.used", usage.used)?.into(),
        })
    }
}

impl From<&message::RenewGranted> for generated::RenewGranted {
    fn from(granted: &message::RenewGranted) -> Self {
        Self {
            worker_time_ms: granted.worker_time_ms.0,
            ended: generated_ended_runs(&granted.ended),
            usage: granted
                .usage
                .iter()
                .map(generated::TaskUsage::from)
                .collect(),
            leaving: granted.leaving,
        }
    }
}

impl TryFrom<generated::RenewGranted> for message::RenewGranted {
    type Error = InvalidMessage;

    fn try_from(granted: generated::RenewGranted) -> Result<Self, InvalidMessage> {
        Ok(Self {
            worker_time_ms: time::WorkerTimeMs(granted.worker_time_ms),
            ended: checked_list("ended", granted.ended, message::EndedRun::try_from)?,
            usage: checked_list("usage", granted.usage, message::TaskUsage::try_from)?,
            leaving: granted.leaving,
        })
    }
}

impl From<&message::StartAnswer> for generated::StartResults {
    fn from(answer: &message::StartAnswer) -> Self {
        Self {
            worker_time_ms: answer.worker_time_ms.0,
            codes: answer
                .results
                .iter()
                .map(|code| code.number().into())
                .collect(),
        }
    }
}

impl TryFrom<generated::StartResults> for message::StartAnswer {
    type Error = InvalidMessage;

    fn try_from(results: generated::StartResults) -> Result<Self, InvalidMessage> {
        Ok(Self {
            worker_time_ms: time::WorkerTimeMs(results.worker_time_ms),
            results: checked_list("codes", results.codes, |code| {
                parse_result_code("codes", code)
            })?,
        })
    }
}

impl From<&message::StopAccepted> for generated::StopAccepted {
    fn from(accepted: &message::StopAccepted) -> Self {
        Self {
            worker_time_ms: accepted.worker_time_ms.0,
            stopping: generated_run_ids(&accepted.stopping),
        }
    }
}

impl TryFrom<generated::StopAccepted> for message::StopAccepted {
    type Error = InvalidMessage;

    fn try_from(accepted: generated::StopAccepted) -> Result<Self, InvalidMessage> {
        Ok(Self {
            worker_time_ms: time::WorkerTimeMs(accepted.worker_time_ms),
            stopping: checked_run_ids("stopping", accepted.stopping)?,
        })
    }
}

impl From<&message::WatchEvent> for generated::WatchEvent {
    fn from(event: &message::WatchEvent) -> Self {
        Self {
            ended: generated_ended_runs(&event.ended),
        }
    }
}

impl TryFrom<generated::WatchEvent> for message::WatchEvent {
    type Error = InvalidMessage;

    fn try_from(event: generated::WatchEvent) -> Result<Self, InvalidMessage> {
        Ok(Self {
            ended: checked_list("ended", event.ended, message::EndedRun::try_from)?,
        })
    }
}

fn generated_ended_runs(runs: &[message::EndedRun]) -> Vec<generated::EndedRun> {
    runs.iter().map(generated::EndedRun::from).collect()
}
