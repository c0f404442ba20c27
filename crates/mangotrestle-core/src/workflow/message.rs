//! Orders to workers, their answers, and the platform's entries of workers.

use std::fmt;
use std::str::FromStr;

use crate::id;
use crate::resources;
use crate::time::WorkerTimeMs;

/// Name of a task in orders to workers: job, occurrence, step and index.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TaskName {
    /// The job.
    pub job: id::JobId,
    /// The occurrence, counting from zero.
    pub occurrence: u32,
    /// The step, counting from zero.
    pub step: u32,
    /// The task in its step, counting from zero.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}

/// the text is not a task name
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub struct InvalidTaskName;

impl std::error::Error for InvalidTaskName {}

impl FromStr for TaskName {
    type Err = InvalidTaskName;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || -> Result<u32, InvalidTaskName> {
            parts
                .next()
                .and_then(|part| part.parse().ok())
                .ok_or(InvalidTaskName)
        };
        let index = number()?;
        let step = number()?;
        let occurrence = number()?;
        let job = parts
            .next()
            .and_then(|part| id::JobId::new(part).ok())
            .ok_or(InvalidTaskName)?;
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

/// One incarnation of a worker as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerEntry {
    /// Identifier of this incarnation.
    pub worker: id::WorkerId,
    /// Pool that it belongs to.
    pub pool: String,
    /// Address for orders, as `ip:port`.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// Total resources for runs.
    pub capacity: resources::Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it is draining and takes no new work.
    pub draining: bool,
    /// Minimum time until it ends, in milliseconds, if it reports one.
    pub remaining_ms: Option<u64>,
    /// Time for which it is still slow after its start, in milliseconds.
    pub cold_left_ms: u64,
    /// Its clock reading when the entry was written.
    pub clock: Option<WorkerTimeMs>,
    /// Start of its present life in milliseconds since the Unix epoch, if the platform says it. A
    /// worker may start again under its identifier.
    pub born_ms: Option<u64>,
}

impl WorkerEntry {
    /// Returns its rack; empty if the platform does not say.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The run finished its work.
    Done,
    /// The run failed, by its own fault or the worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The run waited too long for the other members of its gang.
    Alone,
}

/// A run that is active on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskName,
    /// Number of its run.
    pub run: u32,
    /// Its last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Share of its work that is done, in percent; for a persistent task, how far it has become
    /// ready to serve.
    pub percent: u32,
    /// Tail latency of a serving task in milliseconds, or processor use of any other task.
    pub measurement: Option<u64>,
}

/// A run that has ended on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedTask {
    /// Position in this worker's list of ended runs.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Number of its run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Runs of a worker, as it reports them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerReport {
    /// The worker's clock reading.
    pub clock: Option<WorkerTimeMs>,
    /// Start of the worker's present life in milliseconds since the Unix epoch, if it says it.
    pub born_ms: Option<u64>,
    /// Active runs.
    pub running: Vec<RunningTask>,
    /// Ended runs that were not acknowledged yet.
    pub finished: Vec<FinishedTask>,
    /// Highest number in the list of ended runs, malformed rows included.
    pub highest_number: u64,
    /// Whether the list holds as many ended runs as one report can, so that there may be more. Of a run
    /// that such a report does not list, it says nothing.
    pub ends_may_be_cut: bool,
}

/// Answer to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// Carried out, or already in force.
    Done,
    /// The worker has seen a leader with a higher term.
    Fenced,
    /// This run or a later one of the task has already ended on the worker.
    Old,
    /// The order arrived after its deadline.
    Late,
    /// The worker has not enough free resources.
    NoRoom,
    /// The ticket is missing or has expired.
    Ticket,
    /// The worker could not interpret the order.
    Malformed,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another incarnation of a worker answered at this address.
    OtherLife,
    /// The order was not sent.
    NotSent,
    /// There was no answer; the order may still be carried out.
    Unknown,
}

impl OrderAnswer {
    /// Whether the answer to one call of a start settles what the others do: the run has begun on the
    /// worker, or cannot begin there any more.
    #[must_use]
    pub const fn settles_run(&self) -> bool {
        matches!(self, Self::Done | Self::Old)
    }

    /// Whether a worker gave the answer.
    #[must_use]
    pub const fn is_of_worker(&self) -> bool {
        !matches!(self, Self::NotSent | Self::Unknown)
    }
}
