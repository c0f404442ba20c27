//! Checked conversions between the generated types and the core's messages.
//!
//! Received messages are validated here once: identifiers are well-formed, result codes and
//! outcomes are known, required fields are present, and no list is longer than
//! [`MAX_LIST_ENTRIES`]. The error names the invalid field.

mod requests;
mod responses;

use displaydoc::Display;
use mangotrestle_core::id;
use mangotrestle_core::lease::message;
use mangotrestle_core::resources;
use mangotrestle_core::result_code;
use mangotrestle_core::task;
use mangotrestle_core::time;

use crate::generated;

/// Maximum number of entries in a list of a message.
pub const MAX_LIST_ENTRIES: usize = 10_000;

/// Maximum length of a worker's target address, in bytes.
pub const MAX_ADDRESS_BYTES: usize = 64;

/// Why a received message is invalid.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum InvalidMessage {
    /// {field}: missing
    Missing {
        /// Name of the invalid field.
        field: &'static str,
    },
    /// {field}: {fault}
    Id {
        /// Name of the invalid field.
        field: &'static str,
        /// What is wrong with the identifier.
        fault: id::InvalidId,
    },
    /// {field}: {count} entries, at most 10000 are allowed
    TooMany {
        /// Name of the invalid field.
        field: &'static str,
        /// Number of entries received.
        count: usize,
    },
    /// {field}: {length_bytes} bytes, at most 64 are allowed
    TooLong {
        /// Name of the invalid field.
        field: &'static str,
        /// Length received, in bytes.
        length_bytes: usize,
    },
    /// {field}: no result code has the number {number}
    UnknownCode {
        /// Name of the invalid field.
        field: &'static str,
        /// The number received.
        number: u32,
    },
    /// {field}: no outcome of a run has the number {number}
    UnknownOutcome {
        /// Name of the invalid field.
        field: &'static str,
        /// The number received.
        number: i32,
    },
    /// results: {received} received for {expected} runs
    ResultCount {
        /// Number of runs in the request.
        expected: usize,
        /// Number of results received.
        received: usize,
    },
}

impl std::error::Error for InvalidMessage {}

fn required<T>(field: &'static str, value: Option<T>) -> Result<T, InvalidMessage> {
    value.ok_or(InvalidMessage::Missing { field })
}

fn checked_id<T>(
    field: &'static str,
    text: &str,
    parse: impl FnOnce(&str) -> Result<T, id::InvalidId>,
) -> Result<T, InvalidMessage> {
    parse(text).map_err(|fault| InvalidMessage::Id { field, fault })
}

/// Converts a list. A list that is too long is refused before any entry is converted.
fn checked_list<G, C>(
    field: &'static str,
    list: Vec<G>,
    convert: impl FnMut(G) -> Result<C, InvalidMessage>,
) -> Result<Vec<C>, InvalidMessage> {
    let count = list.len();
    if count > MAX_LIST_ENTRIES {
        return Err(InvalidMessage::TooMany { field, count });
    }
    list.into_iter().map(convert).collect()
}

fn parse_result_code(
    field: &'static str,
    number: u32,
) -> Result<result_code::ResultCode, InvalidMessage> {
    let number_u16 = u16::try_from(number).ok();
    let code = number_u16.and_then(result_code::ResultCode::from_number);
    code.ok_or(InvalidMessage::UnknownCode { field, number })
}

impl From<&resources::Resources> for generated::Resources {
    fn from(amount: &resources::Resources) -> Self {
        Self {
            cpu_millicores: amount.cpu_millicores,
            memory_mib: amount.memory_mib,
            accelerators: amount.accelerators,
            slots: amount.slots,
        }
    }
}

impl From<generated::Resources> for resources::Resources {
    fn from(amount: generated::Resources) -> Self {
        Self {
            cpu_millicores: amount.cpu_millicores,
            memory_mib: amount.memory_mib,
            accelerators: amount.accelerators,
            slots: amount.slots,
        }
    }
}

impl From<&task::RunId> for generated::RunId {
    fn from(run: &task::RunId) -> Self {
        Self {
            job: run.task.job.as_str().to_owned(),
            index: run.task.index,
            attempt: run.attempt,
        }
    }
}

impl TryFrom<generated::RunId> for task::RunId {
    type Error = InvalidMessage;

    fn try_from(run: generated::RunId) -> Result<Self, InvalidMessage> {
        let job = checked_id("run.job", &run.job, id::JobId::new)?;
        Ok(Self {
            task: task::TaskId {
                job,
                index: run.index,
            },
            attempt: run.attempt,
        })
    }
}

fn checked_run_ids(
    field: &'static str,
    runs: Vec<generated::RunId>,
) -> Result<Vec<task::RunId>, InvalidMessage> {
    checked_list(field, runs, task::RunId::try_from)
}

fn generated_run_ids(runs: &[task::RunId]) -> Vec<generated::RunId> {
    runs.iter().map(generated::RunId::from).collect()
}

impl From<task::RunOutcome> for generated::RunOutcome {
    fn from(outcome: task::RunOutcome) -> Self {
        match outcome {
            task::RunOutcome::Succeeded => Self::Succeeded,
            task::RunOutcome::Failed => Self::Failed,
            task::RunOutcome::NotRun => Self::NotRun,
            task::RunOutcome::Stopped => Self::Stopped,
            task::RunOutcome::Lost => Self::Lost,
        }
    }
}

fn parse_run_outcome(number: i32) -> Result<task::RunOutcome, InvalidMessage> {
    match generated::RunOutcome::try_from(number) {
        Ok(generated::RunOutcome::Succeeded) => Ok(task::RunOutcome::Succeeded),
        Ok(generated::RunOutcome::Failed) => Ok(task::RunOutcome::Failed),
        Ok(generated::RunOutcome::NotRun) => Ok(task::RunOutcome::NotRun),
        Ok(generated::RunOutcome::Stopped) => Ok(task::RunOutcome::Stopped),
        Ok(generated::RunOutcome::Lost) => Ok(task::RunOutcome::Lost),
        Ok(generated::RunOutcome::Unspecified) | Err(_) => Err(InvalidMessage::UnknownOutcome {
            field: "ended.outcome",
            number,
        }),
    }
}

impl From<&message::EndedRun> for generated::EndedRun {
    fn from(ended: &message::EndedRun) -> Self {
        Self {
            run: Some(generated::RunId::from(&ended.run)),
            outcome: generated::RunOutcome::from(ended.outcome).into(),
        }
    }
}

impl TryFrom<generated::EndedRun> for message::EndedRun {
    type Error = InvalidMessage;

    fn try_from(ended: generated::EndedRun) -> Result<Self, InvalidMessage> {
        Ok(Self {
            run: required("ended.run", ended.run)?.try_into()?,
            outcome: parse_run_outcome(ended.outcome)?,
        })
    }
}

impl From<&message::Refusal> for generated::Refusal {
    fn from(refusal: &message::Refusal) -> Self {
        Self {
            code: refusal.code.number().into(),
            worker_time_ms: refusal.worker_time_ms.0,
        }
    }
}

impl TryFrom<generated::Refusal> for message::Refusal {
    type Error = InvalidMessage;

    fn try_from(refusal: generated::Refusal) -> Result<Self, InvalidMessage> {
        Ok(Self {
            code: parse_result_code("refused.code", refusal.code)?,
            worker_time_ms: time::WorkerTimeMs(refusal.worker_time_ms),
        })
    }
}
