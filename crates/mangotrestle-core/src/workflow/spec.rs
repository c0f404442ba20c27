//! A job as its caller submitted it, with the policy of its queue at that time.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::resources;
use crate::time::SpanMs;

/// Most tasks in one step; a job's assignments must fit into one row of the store.
pub const MAX_STEP_TASKS: u32 = 1_000;
/// Most steps of one job, for the same reason.
pub const MAX_STEPS: usize = 64;

/// What one step of a job needs.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent facts, each with its own meaning"
)]
pub struct StepSpec {
    /// Number of tasks.
    #[serde(rename = "n")]
    pub count: u32,
    /// Need of each task.
    #[serde(rename = "r")]
    pub need: resources::Resources,
    /// The caller's estimate of a task's run time.
    #[serde(rename = "e", skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done first.
    #[serde(rename = "a", skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// Whether a stopped task can go on from its last checkpoint.
    #[serde(rename = "s", skip_serializing_if = "is_default")]
    pub saves_progress: bool,
    /// Whether the tasks work only together.
    #[serde(rename = "g", skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over racks.
    #[serde(rename = "l", skip_serializing_if = "is_default")]
    pub rack_local: bool,
    /// Label that a worker must have.
    #[serde(rename = "c", skip_serializing_if = "is_default")]
    pub constraint: Option<String>,
    /// Rack that holds the data.
    #[serde(rename = "f", skip_serializing_if = "is_default")]
    pub affinity_rack: Option<String>,
    /// Most tasks of the step on one worker; zero is no limit.
    #[serde(rename = "x", skip_serializing_if = "is_default")]
    pub max_per_worker: u32,
    /// Whether copies of a task may run in parallel.
    #[serde(rename = "p", skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "d", skip_serializing_if = "is_default")]
    pub persistent: bool,
    /// What the tasks run.
    #[serde(rename = "i", skip_serializing_if = "is_default")]
    pub image: String,
    /// Bound for the tail of a serving task's response times; zero is none.
    #[serde(rename = "t", skip_serializing_if = "is_default")]
    pub target_latency_ms: u64,
    /// Whether the tasks take only the processor time that others leave.
    #[serde(rename = "o", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// Tasks that may be away at one time by the system's own orders.
    #[serde(rename = "m", skip_serializing_if = "is_default")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// What a task takes from a worker's capacity; a filler's processor time is not counted.
    #[must_use]
    pub const fn counted_need(&self) -> resources::Resources {
        let mut need = self.need;
        if self.best_effort {
            need.cpu_millicores = 0;
        }
        need
    }

    /// Number of units that are placed as a whole: one for a gang, one a task otherwise.
    #[must_use]
    pub const fn unit_count(&self) -> u32 {
        if self.gang { 1 } else { self.count }
    }

    /// Number of tasks in each unit.
    #[must_use]
    pub const fn unit_size(&self) -> u32 {
        if self.gang { self.count } else { 1 }
    }
}

/// When the steps of a job run repeatedly.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence, since the Unix epoch.
    pub first_ms: u64,
    /// Distance between occurrences.
    pub period_ms: u64,
    /// Number of occurrences.
    pub count: u32,
}

/// How long an outside policy takes to say which workers may run a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Time for each question.
    pub decide_ms: f64,
    /// Further time for each worker asked about.
    pub each_ms: f64,
    /// How long a ticket is valid.
    pub valid_ms: u64,
}

impl AdvicePolicy {
    /// Time that the answer to a question about so many workers takes.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a saturating cast is what an absurd figure should become"
    )]
    pub fn answer_delay(&self, workers: usize) -> SpanMs {
        SpanMs((self.decide_ms + self.each_ms * workers as f64).ceil() as u64)
    }
}

/// What a queue asks of its jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: String,
    /// Urgency band; zero comes first.
    pub priority: u32,
    /// Failed runs of one task after which the job has failed.
    pub max_attempts: u32,
    /// Factor on the longest chain of work that a job may take.
    pub stretch: f64,
    /// Time that a job may take beyond that.
    pub target_latency_ms: u64,
    /// Whether starts need tickets.
    #[serde(skip_serializing_if = "is_default")]
    pub advice: Option<AdvicePolicy>,
}

/// An accepted job: one row of the pool's inbox.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Handed to the workers with each task.
    pub payload: Arc<str>,
    /// The steps, in the caller's order.
    pub steps: Vec<StepSpec>,
    /// When the steps run repeatedly.
    #[serde(default, skip_serializing_if = "is_default")]
    pub schedule: Option<Schedule>,
    /// Policy of the queue at acceptance.
    pub policy: QueuePolicy,
    /// When the job was accepted, since the Unix epoch by the accepting host's corrected clock.
    pub accepted_ms: u64,
}

impl JobRecord {
    /// Time from the begin of each step to the end of the job, in milliseconds, where
    /// `expected_ms` says how long a step's tasks take.
    #[must_use]
    pub fn remaining_path_ms(&self, expected_ms: impl Fn(&StepSpec) -> u64) -> Vec<u64> {
        let mut rest_ms = vec![0_u64; self.steps.len()];
        for (index, spec) in self.steps.iter().enumerate().rev() {
            rest_ms[index] += expected_ms(spec);
            for &earlier in &spec.after {
                let earlier = earlier as usize;
                if earlier < index {
                    rest_ms[earlier] = rest_ms[earlier].max(rest_ms[index]);
                }
            }
        }
        rest_ms
    }

    /// Estimated time of the longest chain of steps, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let remaining_path_ms = self.remaining_path_ms(|step| step.estimate_ms);
        remaining_path_ms.into_iter().max().unwrap_or_default()
    }

    /// Core-milliseconds of all tasks of one occurrence by the caller's estimates; an accelerator
    /// counts as eight cores.
    #[must_use]
    pub fn work_core_ms(&self) -> u64 {
        self.steps
            .iter()
            .map(|step| {
                let millicores =
                    step.need.cpu_millicores + u64::from(step.need.accelerators) * 8_000;
                u64::from(step.count) * step.estimate_ms * millicores / 1_000
            })
            .sum()
    }

    /// Time within which the job is on time, from its acceptance, by its caller's estimates.
    #[must_use]
    pub fn objective_ms(&self) -> u64 {
        self.objective_for_ms(self.critical_path_ms())
    }

    /// Time within which a job of so long a chain is on time, from its acceptance.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a span of milliseconds far below 2^52"
    )]
    pub fn objective_for_ms(&self, critical_path_ms: u64) -> u64 {
        (self.policy.stretch * critical_path_ms as f64) as u64 + self.policy.target_latency_ms
    }

    /// Why no job like this can be run, if so.
    ///
    /// # Errors
    ///
    /// [`InvalidJob`] names the step.
    pub fn validate(&self) -> Result<(), InvalidJob> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(InvalidJob::StepCount(self.steps.len()));
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_STEP_TASKS {
                return Err(InvalidJob::TaskCount { step: index });
            }
            if step.after.iter().any(|&earlier| earlier as usize >= index) {
                return Err(InvalidJob::Order { step: index });
            }
        }
        Ok(())
    }
}

/// Why a submitted job is refused for good.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum InvalidJob {
    /// the job has {0} steps, 1 to 64 are allowed
    StepCount(usize),
    /// step {step} has no task or more than 1000
    TaskCount {
        /// Index of the step.
        step: usize,
    },
    /// step {step} waits for itself or for a later step
    Order {
        /// Index of the step.
        step: usize,
    },
}

impl std::error::Error for InvalidJob {}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
