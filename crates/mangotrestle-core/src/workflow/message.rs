//! What workers are told, what they answer, and what is known of them from the platform.

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

/// Why a text names no task.
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

/// One life of a worker as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerEntry {
    /// This life's identifier.
    pub worker: id::WorkerId,
    /// The pool that it works for.
    pub pool: String,
    /// Where it takes orders, as `ip:port`.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// What it can hold.
    pub capacity: resources::Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it leaves and takes no new work.
    pub draining: bool,
    /// Time that it has left at least, if it says so.
    pub remaining_ms: Option<u64>,
    /// How much longer it is slow after its start.
    pub cold_left_ms: u64,
    /// Its clock when it wrote this.
    pub clock: Option<WorkerTimeMs>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// Finished its work.
    Done,
    /// Failed by its own fault or the worker's.
    Failed,
    /// Stopped on an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Waited too long for the other members of its gang.
    Alone,
}

/// A run that a worker has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskName,
    /// Its run.
    pub run: u32,
    /// Its last checkpoint.
    pub checkpoint: String,
    /// How much of its work is done, in percent; for a task that lasts, how far it is at work.
    pub percent: u32,
    /// A serving task's tail in milliseconds, or any other task's processor use.
    pub measurement: Option<u64>,
}

/// A run that has ended on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedTask {
    /// Position in this worker's list of ends.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Its run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint.
    pub checkpoint: String,
}

/// What a worker has, by its own word.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerReport {
    /// The worker's clock.
    pub clock: Option<WorkerTimeMs>,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What has ended and was not acknowledged.
    pub finished: Vec<FinishedTask>,
    /// Highest number of an end in the answer, malformed rows included.
    pub highest_number: u64,
}

/// Answer to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// Carried out, or in force already.
    Done,
    /// A leader with a higher term has been here.
    Fenced,
    /// This run or a higher one has ended here.
    Old,
    /// The order came after its deadline.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The ticket is missing or not valid any more.
    Ticket,
    /// The order makes no sense to the worker.
    Malformed,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// Another life of a worker answered at this address.
    OtherLife,
    /// Nothing was sent.
    NotSent,
    /// No answer; the order may still be carried out.
    Unknown,
}
