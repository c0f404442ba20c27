//! Conversion between generated messages and the types of [`message`].
//!
//! Conversion from generated messages validates every field; [`InvalidField`] names the first
//! invalid one. Conversion to generated messages cannot fail.

use std::fmt;
use std::str::FromStr;

use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::resources;
use mangotrestle_core::result_code;
use mangotrestle_core::time;

use crate::auth;
use crate::generated as wire;
use crate::message;

/// Maximum length of an invalid value that is quoted in an error, in bytes.
const MAX_QUOTED_BYTES: usize = 64;

/// An invalid field of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidField {
    /// Path of the field, such as `spec.need.slots`.
    pub field: &'static str,
    /// Description of the problem.
    pub problem: String,
    /// Result code with which a server refuses the message.
    pub code: result_code::ResultCode,
}

impl InvalidField {
    fn new(field: &'static str, problem: impl fmt::Display) -> Self {
        Self {
            field,
            problem: problem.to_string(),
            code: result_code::ResultCode::InvalidInput,
        }
    }
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for InvalidField {}

/// Parses a text identifier.
pub(crate) fn parse_id<T>(field: &'static str, text: &str) -> Result<T, InvalidField>
where
    T: FromStr<Err = id::InvalidId>,
{
    text.parse()
        .map_err(|error| InvalidField::new(field, error))
}

/// Parses a text identifier that may be empty.
pub(crate) fn parse_optional_id<T>(
    field: &'static str,
    text: &str,
) -> Result<Option<T>, InvalidField>
where
    T: FromStr<Err = id::InvalidId>,
{
    if text.is_empty() {
        return Ok(None);
    }
    parse_id(field, text).map(Some)
}

fn required<T>(field: &'static str, value: Option<T>) -> Result<T, InvalidField> {
    value.ok_or_else(|| InvalidField::new(field, "is missing"))
}

fn parse_code(field: &'static str, number: u32) -> Result<result_code::ResultCode, InvalidField> {
    u16::try_from(number)
        .ok()
        .and_then(result_code::ResultCode::from_number)
        .ok_or_else(|| InvalidField::new(field, format_args!("{number} is not a result code")))
}

fn parse_name<T>(
    field: &'static str,
    name: &str,
    from_name: impl Fn(&str) -> Option<T>,
) -> Result<T, InvalidField> {
    from_name(name).ok_or_else(|| {
        let quoted = &name[..name.floor_char_boundary(MAX_QUOTED_BYTES)];
        InvalidField::new(field, format_args!("{quoted:?} is not known"))
    })
}

fn id_text(id: Option<&impl ToString>) -> String {
    id.map(ToString::to_string).unwrap_or_default()
}

/// Parses the header of a command; `principal` is the owner of the token.
pub(crate) fn command(
    header: Option<wire::CommandHeader>,
    principal: &auth::Principal,
) -> Result<message::Command, InvalidField> {
    let header = required("header", header)?;
    let operator = if principal.operator.is_empty() {
        header.operator
    } else {
        principal.operator.clone()
    };
    if !auth::is_operator_name(&operator) {
        return Err(InvalidField::new(
            "header.operator",
            "expected 1 to 63 bytes without control characters",
        ));
    }
    Ok(message::Command {
        id: parse_id("header.command_id", &header.command_id)?,
        operator,
        based_on: header.based_on,
    })
}

/// Checks the length of the document of a proposed configuration.
pub(crate) fn config_proposal(
    request: wire::ApplyConfigRequest,
) -> Result<message::ConfigProposal, InvalidField> {
    let length_bytes = request.document.len();
    if length_bytes > message::MAX_DOCUMENT_BYTES {
        let problem = format!(
            "has {length_bytes} bytes, at most {} are allowed",
            message::MAX_DOCUMENT_BYTES
        );
        return Err(InvalidField {
            field: "document",
            problem,
            code: result_code::ResultCode::TooLarge,
        });
    }
    Ok(message::ConfigProposal {
        document: request.document,
        dry_run: request.dry_run,
    })
}

impl From<message::Command> for wire::CommandHeader {
    fn from(command: message::Command) -> Self {
        Self {
            command_id: command.id.to_string(),
            operator: command.operator,
            based_on: command.based_on,
        }
    }
}

impl From<message::CommandOutcome> for wire::CommandResult {
    fn from(outcome: message::CommandOutcome) -> Self {
        Self {
            code: outcome.code.number().into(),
            message: outcome.message,
            revision: outcome.revision,
            retry_after_ms: outcome.retry_after_ms.map_or(0, |span| span.0),
        }
    }
}

impl TryFrom<wire::CommandResult> for message::CommandOutcome {
    type Error = InvalidField;

    fn try_from(result: wire::CommandResult) -> Result<Self, InvalidField> {
        Ok(Self {
            code: parse_code("code", result.code)?,
            message: result.message,
            revision: result.revision,
            retry_after_ms: (result.retry_after_ms > 0)
                .then_some(time::SpanMs(result.retry_after_ms)),
        })
    }
}

impl From<resources::Resources> for wire::Resources {
    fn from(amount: resources::Resources) -> Self {
        Self {
            cpu_millicores: amount.cpu_millicores,
            memory_mib: amount.memory_mib,
            accelerators: amount.accelerators,
            slots: amount.slots,
        }
    }
}

impl From<wire::Resources> for resources::Resources {
    fn from(amount: wire::Resources) -> Self {
        Self {
            cpu_millicores: amount.cpu_millicores,
            memory_mib: amount.memory_mib,
            accelerators: amount.accelerators,
            slots: amount.slots,
        }
    }
}

impl From<job::JobKind> for wire::JobKind {
    fn from(kind: job::JobKind) -> Self {
        match kind {
            job::JobKind::Service => Self::Service,
            job::JobKind::Batch => Self::Batch,
            job::JobKind::Gang => Self::Gang,
        }
    }
}

fn parse_job_kind(kind: wire::JobKind) -> Result<job::JobKind, InvalidField> {
    match kind {
        wire::JobKind::Service => Ok(job::JobKind::Service),
        wire::JobKind::Batch => Ok(job::JobKind::Batch),
        wire::JobKind::Gang => Ok(job::JobKind::Gang),
        wire::JobKind::Unspecified => Err(InvalidField::new(
            "spec.kind",
            "expected service, batch or gang",
        )),
    }
}

impl From<job::Urgency> for wire::Urgency {
    fn from(urgency: job::Urgency) -> Self {
        match urgency {
            job::Urgency::Urgent => Self::Urgent,
            job::Urgency::Normal => Self::Normal,
            job::Urgency::Background => Self::Background,
        }
    }
}

fn parse_urgency(urgency: wire::Urgency) -> Result<job::Urgency, InvalidField> {
    match urgency {
        wire::Urgency::Urgent => Ok(job::Urgency::Urgent),
        wire::Urgency::Normal => Ok(job::Urgency::Normal),
        wire::Urgency::Background => Ok(job::Urgency::Background),
        wire::Urgency::Unspecified => Err(InvalidField::new(
            "spec.urgency",
            "expected urgent, normal or background",
        )),
    }
}

impl From<job::LostWorkerPolicy> for wire::LostWorkerPolicy {
    fn from(policy: job::LostWorkerPolicy) -> Self {
        match policy {
            job::LostWorkerPolicy::RestartAfterLapse => Self::RestartAfterLapse,
            job::LostWorkerPolicy::WaitForWorker => Self::WaitForWorker,
        }
    }
}

fn lost_worker_policy(policy: wire::LostWorkerPolicy) -> job::LostWorkerPolicy {
    match policy {
        wire::LostWorkerPolicy::Unspecified | wire::LostWorkerPolicy::RestartAfterLapse => {
            job::LostWorkerPolicy::RestartAfterLapse
        }
        wire::LostWorkerPolicy::WaitForWorker => job::LostWorkerPolicy::WaitForWorker,
    }
}

impl From<job::JobSpec> for wire::JobSpec {
    fn from(spec: job::JobSpec) -> Self {
        Self {
            id: spec.id.to_string(),
            team: spec.team.to_string(),
            pool: spec.pool.to_string(),
            kind: wire::JobKind::from(spec.kind).into(),
            urgency: wire::Urgency::from(spec.urgency).into(),
            tasks: spec.tasks,
            need: Some(spec.need.into()),
            run_time_ms: spec.run_time_ms.map(|span| span.0),
            idempotent: spec.idempotent,
            preemptible: spec.preemptible,
            lost_worker: wire::LostWorkerPolicy::from(spec.lost_worker).into(),
        }
    }
}

impl TryFrom<wire::JobSpec> for job::JobSpec {
    type Error = InvalidField;

    fn try_from(spec: wire::JobSpec) -> Result<Self, InvalidField> {
        let kind = wire::JobKind::try_from(spec.kind)
            .map_err(|error| InvalidField::new("spec.kind", error))?;
        let wire_urgency = wire::Urgency::try_from(spec.urgency)
            .map_err(|error| InvalidField::new("spec.urgency", error))?;
        let policy = wire::LostWorkerPolicy::try_from(spec.lost_worker)
            .map_err(|error| InvalidField::new("spec.lost_worker", error))?;
        Ok(Self {
            id: parse_id("spec.id", &spec.id)?,
            team: parse_id("spec.team", &spec.team)?,
            pool: parse_id("spec.pool", &spec.pool)?,
            kind: parse_job_kind(kind)?,
            urgency: parse_urgency(wire_urgency)?,
            tasks: spec.tasks,
            need: required("spec.need", spec.need)?.into(),
            run_time_ms: spec.run_time_ms.map(time::SpanMs),
            idempotent: spec.idempotent,
            preemptible: spec.preemptible,
            lost_worker: lost_worker_policy(policy),
        })
    }
}

/// Converts a job specification and validates it as a whole; the error lists all problems.
pub(crate) fn validated_job(spec: Option<wire::JobSpec>) -> Result<job::JobSpec, InvalidField> {
    let spec = job::JobSpec::try_from(required("spec", spec)?)?;
    match spec.validate() {
        Ok(()) => Ok(spec),
        Err(faults) => {
            let problems: Vec<String> = faults.iter().map(ToString::to_string).collect();
            Err(InvalidField::new("spec", problems.join("; ")))
        }
    }
}

impl From<message::JobSummary> for wire::JobSummary {
    fn from(summary: message::JobSummary) -> Self {
        Self {
            spec: Some(summary.spec.into()),
            state: summary.state.to_string(),
            revision: summary.revision,
            waiting: summary.waiting,
            running: summary.running,
            succeeded: summary.succeeded,
            failed: summary.failed,
            unknown: summary.unknown,
        }
    }
}

impl TryFrom<wire::JobSummary> for message::JobSummary {
    type Error = InvalidField;

    fn try_from(summary: wire::JobSummary) -> Result<Self, InvalidField> {
        Ok(Self {
            spec: required("spec", summary.spec)?.try_into()?,
            state: parse_name("state", &summary.state, message::JobState::from_name)?,
            revision: summary.revision,
            waiting: summary.waiting,
            running: summary.running,
            succeeded: summary.succeeded,
            failed: summary.failed,
            unknown: summary.unknown,
        })
    }
}

impl From<message::JobDetail> for wire::JobDetail {
    fn from(detail: message::JobDetail) -> Self {
        Self {
            summary: Some(detail.summary.into()),
            tasks: detail.tasks.into_iter().map(Into::into).collect(),
            waiting_reasons: detail.waiting_reasons,
        }
    }
}

impl TryFrom<wire::JobDetail> for message::JobDetail {
    type Error = InvalidField;

    fn try_from(detail: wire::JobDetail) -> Result<Self, InvalidField> {
        Ok(Self {
            summary: required("summary", detail.summary)?.try_into()?,
            tasks: convert_all(detail.tasks)?,
            waiting_reasons: detail.waiting_reasons,
        })
    }
}

impl From<message::TaskDetail> for wire::TaskDetail {
    fn from(task: message::TaskDetail) -> Self {
        Self {
            index: task.index,
            attempt: task.attempt,
            state: task.state.to_string(),
            worker: id_text(task.worker.as_ref()),
        }
    }
}

impl TryFrom<wire::TaskDetail> for message::TaskDetail {
    type Error = InvalidField;

    fn try_from(task: wire::TaskDetail) -> Result<Self, InvalidField> {
        Ok(Self {
            index: task.index,
            attempt: task.attempt,
            state: parse_name("tasks.state", &task.state, message::TaskState::from_name)?,
            worker: parse_optional_id("tasks.worker", &task.worker)?,
        })
    }
}

impl From<message::WorkerDetail> for wire::WorkerDetail {
    fn from(worker: message::WorkerDetail) -> Self {
        Self {
            id: worker.id.to_string(),
            pool: worker.pool.to_string(),
            rack: worker.rack.to_string(),
            capacity: Some(worker.capacity.into()),
            free: Some(worker.free.into()),
            running: worker.running,
            state: worker.state.to_string(),
            draining: worker.draining,
        }
    }
}

impl TryFrom<wire::WorkerDetail> for message::WorkerDetail {
    type Error = InvalidField;

    fn try_from(worker: wire::WorkerDetail) -> Result<Self, InvalidField> {
        Ok(Self {
            id: parse_id("workers.id", &worker.id)?,
            pool: parse_id("workers.pool", &worker.pool)?,
            rack: parse_id("workers.rack", &worker.rack)?,
            capacity: required("workers.capacity", worker.capacity)?.into(),
            free: required("workers.free", worker.free)?.into(),
            running: worker.running,
            state: parse_name(
                "workers.state",
                &worker.state,
                message::WorkerState::from_name,
            )?,
            draining: worker.draining,
        })
    }
}

impl From<message::ConfigDocument> for wire::ConfigDocument {
    fn from(config: message::ConfigDocument) -> Self {
        Self {
            version: config.version,
            document: config.document,
            operator: config.operator,
            accepted_wall_ms: config.accepted_wall_ms.0,
        }
    }
}

impl From<wire::ConfigDocument> for message::ConfigDocument {
    fn from(config: wire::ConfigDocument) -> Self {
        Self {
            version: config.version,
            document: config.document,
            operator: config.operator,
            accepted_wall_ms: time::WallTimeMs(config.accepted_wall_ms),
        }
    }
}

impl From<message::ConfigHistory> for wire::ListConfigHistoryResponse {
    fn from(history: message::ConfigHistory) -> Self {
        Self {
            versions: history.versions.into_iter().map(Into::into).collect(),
            hosts: history.hosts.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::ListConfigHistoryResponse> for message::ConfigHistory {
    type Error = InvalidField;

    fn try_from(history: wire::ListConfigHistoryResponse) -> Result<Self, InvalidField> {
        Ok(Self {
            versions: history.versions.into_iter().map(Into::into).collect(),
            hosts: convert_all(history.hosts)?,
        })
    }
}

impl From<message::HostConfig> for wire::HostConfig {
    fn from(host: message::HostConfig) -> Self {
        Self {
            entry_host: host.entry_host.to_string(),
            version: host.version,
            in_force_wall_ms: host.in_force_wall_ms.0,
        }
    }
}

impl TryFrom<wire::HostConfig> for message::HostConfig {
    type Error = InvalidField;

    fn try_from(host: wire::HostConfig) -> Result<Self, InvalidField> {
        Ok(Self {
            entry_host: parse_id("hosts.entry_host", &host.entry_host)?,
            version: host.version,
            in_force_wall_ms: time::WallTimeMs(host.in_force_wall_ms),
        })
    }
}

impl From<message::Status> for wire::StatusResponse {
    fn from(status: message::Status) -> Self {
        Self {
            entry_host: status.entry_host.to_string(),
            availability_zone: status.availability_zone.to_string(),
            config_version: status.config_version,
            pools: status.pools.into_iter().map(Into::into).collect(),
            peers: status.peers.into_iter().map(Into::into).collect(),
            degraded: status.degraded.into_iter().map(Into::into).collect(),
            changes: status.changes.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::StatusResponse> for message::Status {
    type Error = InvalidField;

    fn try_from(status: wire::StatusResponse) -> Result<Self, InvalidField> {
        Ok(Self {
            entry_host: parse_id("entry_host", &status.entry_host)?,
            availability_zone: parse_id("availability_zone", &status.availability_zone)?,
            config_version: status.config_version,
            pools: convert_all(status.pools)?,
            peers: convert_all(status.peers)?,
            degraded: status.degraded.into_iter().map(Into::into).collect(),
            changes: convert_all(status.changes)?,
        })
    }
}

impl From<message::PoolStatus> for wire::PoolStatus {
    fn from(pool: message::PoolStatus) -> Self {
        Self {
            pool: pool.pool.to_string(),
            leader: id_text(pool.leader.as_ref()),
            roster_workers: pool.roster_workers,
            held_workers: pool.held_workers,
            waiting_tasks: pool.waiting_tasks,
            running_tasks: pool.running_tasks,
            unknown_tasks: pool.unknown_tasks,
            parked_jobs: pool.parked_jobs,
        }
    }
}

impl TryFrom<wire::PoolStatus> for message::PoolStatus {
    type Error = InvalidField;

    fn try_from(pool: wire::PoolStatus) -> Result<Self, InvalidField> {
        Ok(Self {
            pool: parse_id("pools.pool", &pool.pool)?,
            leader: parse_optional_id("pools.leader", &pool.leader)?,
            roster_workers: pool.roster_workers,
            held_workers: pool.held_workers,
            waiting_tasks: pool.waiting_tasks,
            running_tasks: pool.running_tasks,
            unknown_tasks: pool.unknown_tasks,
            parked_jobs: pool.parked_jobs,
        })
    }
}

impl From<message::PeerStatus> for wire::PeerStatus {
    fn from(peer: message::PeerStatus) -> Self {
        Self {
            entry_host: peer.entry_host.to_string(),
            state: peer.state.to_string(),
        }
    }
}

impl TryFrom<wire::PeerStatus> for message::PeerStatus {
    type Error = InvalidField;

    fn try_from(peer: wire::PeerStatus) -> Result<Self, InvalidField> {
        Ok(Self {
            entry_host: parse_id("peers.entry_host", &peer.entry_host)?,
            state: parse_name("peers.state", &peer.state, message::PeerState::from_name)?,
        })
    }
}

impl From<message::Degradation> for wire::Degradation {
    fn from(degradation: message::Degradation) -> Self {
        Self {
            what: degradation.what,
            since_wall_ms: degradation.since_wall_ms.0,
            detail: degradation.detail,
        }
    }
}

impl From<wire::Degradation> for message::Degradation {
    fn from(degradation: wire::Degradation) -> Self {
        Self {
            what: degradation.what,
            since_wall_ms: time::WallTimeMs(degradation.since_wall_ms),
            detail: degradation.detail,
        }
    }
}

impl From<message::AuditEntry> for wire::AuditEntry {
    fn from(entry: message::AuditEntry) -> Self {
        Self {
            wall_ms: entry.wall_ms.0,
            operator: entry.operator,
            what: entry.what,
            from_revision: entry.from_revision,
            command_id: entry.command_id.to_string(),
            code: entry.code.number().into(),
        }
    }
}

impl TryFrom<wire::AuditEntry> for message::AuditEntry {
    type Error = InvalidField;

    fn try_from(entry: wire::AuditEntry) -> Result<Self, InvalidField> {
        Ok(Self {
            wall_ms: time::WallTimeMs(entry.wall_ms),
            operator: entry.operator,
            what: entry.what,
            from_revision: entry.from_revision,
            command_id: parse_id("changes.command_id", &entry.command_id)?,
            code: parse_code("changes.code", entry.code)?,
        })
    }
}

impl From<message::Event> for wire::Event {
    fn from(event: message::Event) -> Self {
        Self {
            sequence: event.sequence,
            wall_ms: event.wall_ms.0,
            kind: event.kind,
            detail: event.detail,
        }
    }
}

impl From<wire::Event> for message::Event {
    fn from(event: wire::Event) -> Self {
        Self {
            sequence: event.sequence,
            wall_ms: time::WallTimeMs(event.wall_ms),
            kind: event.kind,
            detail: event.detail,
        }
    }
}

/// Converts all elements; fails with the error of the first invalid one.
pub(crate) fn convert_all<F, T>(values: Vec<F>) -> Result<Vec<T>, InvalidField>
where
    T: TryFrom<F, Error = InvalidField>,
{
    values.into_iter().map(T::try_from).collect()
}
