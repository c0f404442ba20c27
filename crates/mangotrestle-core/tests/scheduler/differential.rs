//! Compares the scheduler with the naive one over random sequences without faults: it must place
//! tasks only where the naive one finds that they fit, and must leave no task waiting that the
//! naive one could place.

use std::collections::BTreeMap;
use std::sync::Arc;

use mangotrestle_core::{job, scheduler, task, time};
use quickcheck::{Arbitrary, Gen};

use super::fixture::{amount, batch, capacity, decide_all, ended, listing, starts, worker_id};

/// One random event.
#[derive(Clone, Copy, Debug)]
enum Step {
    AddWorker { cores: u8, accelerators: u8 },
    Submit(Submission),
    EndRun { choice: u8 },
}

/// A job to submit.
#[derive(Clone, Copy, Debug)]
struct Submission {
    gang: bool,
    urgent: bool,
    tasks: u8,
    cores: u8,
    gib: u8,
    accelerators: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Self::AddWorker {
                cores: 1 + u8::arbitrary(g) % 16,
                accelerators: u8::arbitrary(g) % 9,
            },
            1..5 => Self::Submit(Submission {
                gang: bool::arbitrary(g),
                urgent: bool::arbitrary(g),
                tasks: 1 + u8::arbitrary(g) % 6,
                cores: 1 + u8::arbitrary(g) % 8,
                gib: 1 + u8::arbitrary(g) % 16,
                accelerators: (u8::arbitrary(g) % 12).saturating_sub(7),
            }),
            _ => Self::EndRun {
                choice: u8::arbitrary(g),
            },
        }
    }
}

/// Both schedulers. The naive one records the placements of the real one.
struct SchedulerPair {
    real: scheduler::Scheduler,
    naive: scheduler::naive::NaiveScheduler,
    specs: BTreeMap<String, Arc<job::JobSpec>>,
    running: Vec<task::RunId>,
    workers: u32,
}

impl SchedulerPair {
    fn new() -> Self {
        // Reservations leave capacity free on purpose, so they are turned off.
        let config = scheduler::SchedulerConfig::builder()
            .max_reservations(0)
            .build();
        Self {
            real: scheduler::Scheduler::new(config, 7),
            naive: scheduler::naive::NaiveScheduler::default(),
            specs: BTreeMap::new(),
            running: Vec::new(),
            workers: 0,
        }
    }

    fn apply(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::AddWorker {
                cores,
                accelerators,
            } => self.add_worker(cores, accelerators),
            Step::Submit(submission) => self.submit(submission),
            Step::EndRun { choice } => self.end_run(choice),
        }
        self.decide()?;
        self.check_nothing_left_fits()?;
        self.real
            .check_invariants()
            .map_err(|violation| violation.to_string())
    }

    fn add_worker(&mut self, cores: u8, accelerators: u8) {
        let name = format!("worker-{}", self.workers);
        self.workers += 1;
        let worker_capacity = capacity(u64::from(cores), 32, u32::from(accelerators));
        self.naive.add_worker(worker_id(&name), worker_capacity);
        let event = listing(&name, "rack-0", worker_capacity, Vec::new());
        self.real.handle(time::TimeMs(0), event);
    }

    fn submit(&mut self, submission: Submission) {
        let number = self.specs.len();
        let mut spec = batch(&format!("job-{number}x"), u32::from(submission.tasks));
        if submission.gang {
            spec.kind = job::JobKind::Gang;
        }
        if submission.urgent {
            spec.urgency = job::Urgency::Urgent;
        }
        spec.need = amount(
            u64::from(submission.cores),
            u64::from(submission.gib),
            u32::from(submission.accelerators),
        );
        let spec = Arc::new(spec);
        self.specs.insert(spec.id.to_string(), Arc::clone(&spec));
        let accepted_wall_ms = time::WallTimeMs(number as u64);
        let event = scheduler::SchedulerEvent::JobAccepted {
            spec,
            accepted_wall_ms,
        };
        self.real.handle(time::TimeMs(0), event);
    }

    fn end_run(&mut self, choice: u8) {
        if self.running.is_empty() {
            return;
        }
        let position = usize::from(choice) % self.running.len();
        let run = self.running.swap_remove(position);
        self.naive.end_run(&run);
        let event = ended(&run, task::RunOutcome::Succeeded);
        self.real.handle(time::TimeMs(0), event);
    }

    fn decide(&mut self) -> Result<(), String> {
        for start in starts(&decide_all(&mut self.real, 0)) {
            let need = self.specs[start.run.task.job.as_str()].need;
            if !self
                .naive
                .book(&start.run, &need, &worker_id(&start.worker))
            {
                return Err(format!("{} does not fit on {}", start.run, start.worker));
            }
            self.running.push(start.run);
        }
        Ok(())
    }

    fn check_nothing_left_fits(&self) -> Result<(), String> {
        for view in self.real.jobs() {
            let waiting = view.counts.waiting;
            let tasks_together = match view.spec.kind {
                job::JobKind::Gang => waiting,
                _ => waiting.min(1),
            };
            if tasks_together > 0 && self.naive.fits(&view.spec.need, tasks_together) {
                return Err(format!("{} waits and would fit", view.spec.id));
            }
        }
        Ok(())
    }
}

fn check_steps(steps: &[Step]) -> Result<(), String> {
    let mut pair = SchedulerPair::new();
    steps.iter().try_for_each(|step| pair.apply(*step))
}

#[test]
fn places_only_what_fits_and_leaves_nothing_that_fits() {
    // The signature is the one that quickcheck calls.
    #[allow(clippy::needless_pass_by_value)]
    fn property(steps: Vec<Step>) -> quickcheck::TestResult {
        match check_steps(&steps) {
            Ok(()) => quickcheck::TestResult::passed(),
            Err(fault) => quickcheck::TestResult::error(fault),
        }
    }
    quickcheck::QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 20_261_203))
        .tests(200)
        .quickcheck(property as fn(Vec<Step>) -> quickcheck::TestResult);
}
