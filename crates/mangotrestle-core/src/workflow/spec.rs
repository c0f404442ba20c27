//! A job as its caller submitted it, with the policy of its queue at that time.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::resources;
use crate::time::SpanMs;

/// Maximum number of tasks in one step; a job's assignments must fit into one row of the store.
pub const MAX_STEP_TASKS: u32 = 1_000;
/// Maximum number of steps of one job, for the same reason.
pub const MAX_STEPS: usize = 64;
/// Maximum size of a job's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Maximum size of an image's name or of a label, in bytes.
pub const MAX_LABEL_BYTES: usize = 1_024;
/// Usual bytes of a job's row without its payload and steps.
const RECORD_BYTES: u64 = 400;
/// Usual bytes of a step in a job's row, without texts and the steps that it waits for.
const STEP_BYTES: u64 = 120;
/// Bytes of an index of a step in a job's row.
const INDEX_BYTES: u64 = 3;

/// One step of a job.
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
    /// Resources that each task needs.
    #[serde(rename = "r")]
    pub need: resources::Resources,
    /// The caller's estimate of a task's run time, in milliseconds.
    #[serde(rename = "e", skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Indices of earlier steps whose tasks must all be done first.
    #[serde(rename = "a", skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// Whether a stopped task can continue from its last checkpoint.
    #[serde(rename = "s", skip_serializing_if = "is_default")]
    pub saves_progress: bool,
    /// Whether the tasks form a gang, which runs only as a whole.
    #[serde(rename = "g", skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over several racks.
    #[serde(rename = "l", skip_serializing_if = "is_default")]
    pub rack_local: bool,
    /// Label that a worker must have, if any.
    #[serde(rename = "c", skip_serializing_if = "is_default")]
    pub constraint: Option<String>,
    /// Rack that holds the tasks' data, if any.
    #[serde(rename = "f", skip_serializing_if = "is_default")]
    pub affinity_rack: Option<String>,
    /// Maximum number of tasks of the step on one worker; zero means no limit.
    #[serde(rename = "x", skip_serializing_if = "is_default")]
    pub max_per_worker: u32,
    /// Whether copies of a task may run in parallel.
    #[serde(rename = "p", skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "d", skip_serializing_if = "is_default")]
    pub persistent: bool,
    /// Image that the tasks run.
    #[serde(rename = "i", skip_serializing_if = "is_default")]
    pub image: String,
    /// Maximum tail latency of a serving task, in milliseconds; zero means no limit.
    #[serde(rename = "t", skip_serializing_if = "is_default")]
    pub target_latency_ms: u64,
    /// Whether the tasks are best-effort: they use only the processor time that others leave.
    #[serde(rename = "o", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// Maximum number of tasks that may be unavailable at one time because of the system's own
    /// orders.
    #[serde(rename = "m", skip_serializing_if = "is_default")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the resources that a task takes from a worker's capacity. The processor time of a
    /// best-effort task does not count.
    #[must_use]
    pub const fn counted_need(&self) -> resources::Resources {
        let mut need = self.need;
        if self.best_effort {
            need.cpu_millicores = 0;
        }
        need
    }

    /// Returns the number of units: one for a gang, otherwise one for each task.
    #[must_use]
    pub const fn unit_count(&self) -> u32 {
        if self.gang { 1 } else { self.count }
    }

    /// Returns the number of tasks in each unit.
    #[must_use]
    pub const fn unit_size(&self) -> u32 {
        if self.gang { self.count } else { 1 }
    }
}

/// Schedule of a job whose steps run repeatedly.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Time between the due times of two occurrences, in milliseconds.
    pub period_ms: u64,
    /// Number of occurrences.
    pub count: u32,
}

impl Schedule {
    /// Returns the due time of an occurrence, in milliseconds since the Unix epoch. One beyond the
    /// largest number is never due.
    #[must_use]
    pub const fn due_ms(&self, occurrence: u32) -> u64 {
        // A cast, since conversions are not `const`.
        let after_ms = self.period_ms.saturating_mul(occurrence as u64);
        self.first_ms.saturating_add(after_ms)
    }
}

/// Timing of the advice service, which decides on which workers a step may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Time for each ticket request, in milliseconds.
    pub decide_ms: f64,
    /// Additional time for each worker in the request, in milliseconds.
    pub each_ms: f64,
    /// Time for which a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

impl AdvicePolicy {
    /// Returns the time that the answer to a ticket request for this number of workers takes.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "out-of-range values should saturate"
    )]
    pub fn answer_delay(&self, workers: usize) -> SpanMs {
        SpanMs((self.decide_ms + self.each_ms * workers as f64).ceil() as u64)
    }
}

/// Policy of a queue for its jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: String,
    /// Urgency band; zero is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task after which the job has failed.
    pub max_attempts: u32,
    /// Factor by which a job's critical path is multiplied in its objective.
    pub stretch: f64,
    /// Time added to the multiplied critical path in the objective, in milliseconds.
    pub target_latency_ms: u64,
    /// Timing of the advice service; unset if starts need no tickets.
    #[serde(skip_serializing_if = "is_default")]
    pub advice: Option<AdvicePolicy>,
}

/// An accepted job: one row of the pool's inbox.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Payload that workers receive with each task.
    pub payload: Arc<str>,
    /// The steps, in the caller's order.
    pub steps: Vec<StepSpec>,
    /// Schedule of a job whose steps run repeatedly.
    #[serde(default, skip_serializing_if = "is_default")]
    pub schedule: Option<Schedule>,
    /// Policy of the queue at acceptance.
    pub policy: QueuePolicy,
    /// Acceptance time in milliseconds since the Unix epoch, by the accepting host's corrected
    /// clock.
    pub accepted_ms: u64,
    /// Team that submitted the job; unset if its queue needs no key.
    #[serde(default, rename = "team", skip_serializing_if = "is_default")]
    pub team: Option<Arc<str>>,
    /// Whether the job came beyond the rate that its team is promised.
    #[serde(default, rename = "surplus", skip_serializing_if = "is_default")]
    pub surplus: bool,
    /// Pools that run the job; unset if its home pool does.
    #[serde(default, skip_serializing_if = "is_default")]
    pub pools: Option<JobPools>,
}

/// Pools of a job whose home does not run all of it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobPools {
    /// Pool that holds the job's identity.
    pub home: String,
    /// Pools that run it, each the units whose index leaves its own position as the remainder when
    /// divided by the number of pools.
    pub pools: Vec<String>,
}

impl JobPools {
    /// Returns the share of a pool.
    #[must_use]
    pub fn share_of(&self, pool: &str) -> Share {
        let position = self.pools.iter().position(|other| other == pool);
        match position {
            Some(position) => Share::Units {
                first: u32::try_from(position).unwrap_or(u32::MAX),
                every: u32::try_from(self.pools.len()).unwrap_or(u32::MAX),
            },
            None => Share::Nothing,
        }
    }
}

/// The part of a job's units that one pool runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Share {
    /// All units.
    #[default]
    All,
    /// The units from an index on, one in every so many.
    Units {
        /// Index of the first.
        first: u32,
        /// Difference of the indices.
        every: u32,
    },
    /// No unit.
    Nothing,
}

impl Share {
    /// Whether the share includes a unit.
    #[must_use]
    pub const fn includes(self, unit: u32) -> bool {
        match self {
            Self::All => true,
            Self::Units { first, every } => unit % every == first,
            Self::Nothing => false,
        }
    }
}

impl JobRecord {
    /// Returns the size of the job's row in bytes, of the right order.
    #[must_use]
    pub fn stored_bytes(&self) -> u64 {
        let steps = self.steps.iter().map(|step| {
            let labels = [&step.constraint, &step.affinity_rack];
            let labels = labels.into_iter().flatten().map(String::len);
            let text = step.image.len() + labels.sum::<usize>();
            STEP_BYTES + text as u64 + step.after.len() as u64 * INDEX_BYTES
        });
        RECORD_BYTES + self.payload.len() as u64 + steps.sum::<u64>()
    }

    /// Returns the time from the start of each step to the end of the job, in milliseconds.
    /// `expected_ms` returns the expected run time of a step's tasks.
    #[must_use]
    pub fn remaining_path_ms(&self, expected_ms: impl Fn(&StepSpec) -> u64) -> Vec<u64> {
        let mut path_ms = vec![0_u64; self.steps.len()];
        for (index, spec) in self.steps.iter().enumerate().rev() {
            path_ms[index] = path_ms[index].saturating_add(expected_ms(spec));
            for &earlier in &spec.after {
                let earlier = earlier as usize;
                if earlier < index {
                    path_ms[earlier] = path_ms[earlier].max(path_ms[index]);
                }
            }
        }
        path_ms
    }

    /// Returns the number of steps on the longest chain of steps.
    #[must_use]
    pub fn path_steps(&self) -> u32 {
        let counts = self.remaining_path_ms(|_| 1);
        let longest = counts.into_iter().max().unwrap_or_default();
        u32::try_from(longest).unwrap_or(u32::MAX)
    }

    /// Returns the length of the critical path by the caller's estimates, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let remaining_path_ms = self.remaining_path_ms(|step| step.estimate_ms);
        remaining_path_ms.into_iter().max().unwrap_or_default()
    }

    /// Returns the work of all tasks of one occurrence in core-milliseconds, by the caller's
    /// estimates; an accelerator counts as eight cores.
    #[must_use]
    pub fn work_core_ms(&self) -> u64 {
        self.steps
            .iter()
            .map(|step| {
                let accelerators = u64::from(step.need.accelerators) * 8_000;
                let millicores = step.need.cpu_millicores.saturating_add(accelerators);
                let time_ms = u64::from(step.count).saturating_mul(step.estimate_ms);
                time_ms.saturating_mul(millicores) / 1_000
            })
            .fold(0, u64::saturating_add)
    }

    /// Returns the objective in milliseconds: the time from acceptance within which the job is on
    /// time, by its caller's estimates.
    #[must_use]
    pub fn objective_ms(&self) -> u64 {
        self.objective_ms_for(self.critical_path_ms())
    }

    /// Returns the objective in milliseconds of a job whose critical path takes `critical_path_ms`.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a span of milliseconds far below 2^52"
    )]
    pub fn objective_ms_for(&self, critical_path_ms: u64) -> u64 {
        let stretched_ms = (self.policy.stretch * critical_path_ms as f64) as u64;
        stretched_ms.saturating_add(self.policy.target_latency_ms)
    }

    /// Whether each unit may run in another pool: the tasks of a service, which do not wait for each
    /// other and never end.
    #[must_use]
    pub fn is_divisible(&self) -> bool {
        let independent = |step: &StepSpec| step.persistent && !step.gang;
        self.schedule.is_none() && self.steps.len() == 1 && self.steps.iter().all(independent)
    }

    /// Returns the part of the job that a pool runs.
    #[must_use]
    pub fn share_of(&self, pool: &str) -> Share {
        let pools = self.pools.as_ref();
        pools.map_or(Share::All, |pools| pools.share_of(pool))
    }

    /// Returns the other pools to which a pool hands the job over; none unless it is the job's home.
    pub fn delegates_of<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a str> {
        let pools = self.pools.iter().filter(move |pools| pools.home == pool);
        let pools = pools.flat_map(|pools| &pools.pools).map(String::as_str);
        pools.filter(move |other| *other != pool)
    }

    /// Whether a pool counts the job among those that have not begun: one of its pools does.
    #[must_use]
    pub fn is_counted_by(&self, pool: &str) -> bool {
        let first = self.pools.as_ref().and_then(|pools| pools.pools.first());
        first.is_none_or(|first| first == pool)
    }

    /// Checks the numbers of steps and tasks and the order of the steps.
    ///
    /// # Errors
    ///
    /// Returns an [`InvalidJob`] that names the step.
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

impl JobRecord {
    /// Checks the sizes of a submitted job's texts. Jobs that were accepted with larger ones stay valid.
    ///
    /// # Errors
    ///
    /// [`TextTooLarge`] with the first text that is too large.
    pub fn check_texts(&self) -> Result<(), TextTooLarge> {
        let bytes = self.payload.len();
        if bytes > MAX_PAYLOAD_BYTES {
            return Err(TextTooLarge::Payload { bytes });
        }
        for (step, spec) in self.steps.iter().enumerate() {
            let labels = [&spec.constraint, &spec.affinity_rack];
            let labels = labels.into_iter().flatten();
            let largest = labels.chain([&spec.image]).map(String::len).max();
            let bytes = largest.unwrap_or_default();
            if bytes > MAX_LABEL_BYTES {
                return Err(TextTooLarge::Label { step, bytes });
            }
        }
        Ok(())
    }
}

/// Text of a submitted job that is too large.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum TextTooLarge {
    /// the payload has {bytes} bytes, at most 4000 are allowed
    Payload {
        /// Its size.
        bytes: usize,
    },
    /// an image or label of step {step} has {bytes} bytes, at most 1024 are allowed
    Label {
        /// Index of the step.
        step: usize,
        /// Its size.
        bytes: usize,
    },
}

impl std::error::Error for TextTooLarge {}

/// Reason for which a submitted job is permanently refused.
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
