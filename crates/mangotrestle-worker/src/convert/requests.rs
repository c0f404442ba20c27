//! Conversions of the requests of a leader.

use mangotrestle_core::id;
use mangotrestle_core::lease::message;
use mangotrestle_core::time;

use super::{
    InvalidMessage, checked_id, checked_list, checked_run_ids, generated_run_ids, required,
};
use crate::generated;

impl From<&message::ClaimRequest> for generated::ClaimRequest {
    fn from(request: &message::ClaimRequest) -> Self {
        Self {
            pool: request.pool.as_str().to_owned(),
            leader: request.leader.as_str().to_owned(),
            leader_incarnation: request.leader_incarnation.0,
            roster_version: request.roster_version.0,
        }
    }
}

impl TryFrom<generated::ClaimRequest> for message::ClaimRequest {
    type Error = InvalidMessage;

    fn try_from(request: generated::ClaimRequest) -> Result<Self, InvalidMessage> {
        Ok(Self {
            pool: checked_id("pool", &request.pool, id::PoolId::new)?,
            leader: checked_id("leader", &request.leader, id::EntryHostId::new)?,
            leader_incarnation: id::Incarnation(request.leader_incarnation),
            roster_version: message::RosterVersion(request.roster_version),
        })
    }
}

impl From<&message::RenewRequest> for generated::RenewRequest {
    fn from(request: &message::RenewRequest) -> Self {
        Self {
            worker_incarnation: request.worker_incarnation.0,
            epoch: request.epoch.0,
            roster_version: request.roster_version.0,
            lease_expires_ms: request.lease_expires_ms.0,
            acknowledged: generated_run_ids(&request.acknowledged),
        }
    }
}

impl TryFrom<generated::RenewRequest> for message::RenewRequest {
    type Error = InvalidMessage;

    fn try_from(request: generated::RenewRequest) -> Result<Self, InvalidMessage> {
        Ok(Self {
            worker_incarnation: id::Incarnation(request.worker_incarnation),
            epoch: message::Epoch(request.epoch),
            roster_version: message::RosterVersion(request.roster_version),
            lease_expires_ms: time::WorkerTimeMs(request.lease_expires_ms),
            acknowledged: checked_run_ids("acknowledged", request.acknowledged)?,
        })
    }
}

impl From<&message::StartRun> for generated::StartRun {
    fn from(start: &message::StartRun) -> Self {
        Self {
            run: Some(generated::RunId::from(&start.run)),
            need: Some(generated::Resources::from(&start.need)),
            run_time_ms: start.run_time_ms.map(|span| span.0),
            idempotent: start.idempotent,
        }
    }
}

impl TryFrom<generated::StartRun> for message::StartRun {
    type Error = InvalidMessage;

    fn try_from(start: generated::StartRun) -> Result<Self, InvalidMessage> {
        Ok(Self {
            run: required("runs.run", start.run)?.try_into()?,
            need: required("runs.need", start.need)?.into(),
            run_time_ms: start.run_time_ms.map(time::SpanMs),
            idempotent: start.idempotent,
        })
    }
}

impl From<&message::StartRequest> for generated::StartRequest {
    fn from(request: &message::StartRequest) -> Self {
        Self {
            worker_incarnation: request.worker_incarnation.0,
            epoch: request.epoch.0,
            start_before_ms: request.start_before_ms.0,
            runs: request.runs.iter().map(generated::StartRun::from).collect(),
        }
    }
}

impl TryFrom<generated::StartRequest> for message::StartRequest {
    type Error = InvalidMessage;

    fn try_from(request: generated::StartRequest) -> Result<Self, InvalidMessage> {
        Ok(Self {
            worker_incarnation: id::Incarnation(request.worker_incarnation),
            epoch: message::Epoch(request.epoch),
            start_before_ms: time::WorkerTimeMs(request.start_before_ms),
            runs: checked_list("runs", request.runs, message::StartRun::try_from)?,
        })
    }
}

impl From<&message::StopRequest> for generated::StopRequest {
    fn from(request: &message::StopRequest) -> Self {
        Self {
            worker_incarnation: request.worker_incarnation.0,
            epoch: request.epoch.0,
            runs: generated_run_ids(&request.runs),
            grace_ms: request.grace_ms.0,
            checkpoint: request.checkpoint,
        }
    }
}

impl TryFrom<generated::StopRequest> for message::StopRequest {
    type Error = InvalidMessage;

    fn try_from(request: generated::StopRequest) -> Result<Self, InvalidMessage> {
        Ok(Self {
            worker_incarnation: id::Incarnation(request.worker_incarnation),
            epoch: message::Epoch(request.epoch),
            runs: checked_run_ids("runs", request.runs)?,
            grace_ms: time::SpanMs(request.grace_ms),
            checkpoint: request.checkpoint,
        })
    }
}

impl From<&message::WatchRequest> for generated::WatchRequest {
    fn from(request: &message::WatchRequest) -> Self {
        Self {
            worker_incarnation: request.worker_incarnation.0,
            epoch: request.epoch.0,
        }
    }
}

impl From<generated::WatchRequest> for message::WatchRequest {
    fn from(request: generated::WatchRequest) -> Self {
        Self {
            worker_incarnation: id::Incarnation(request.worker_incarnation),
            epoch: message::Epoch(request.epoch),
        }
    }
}
