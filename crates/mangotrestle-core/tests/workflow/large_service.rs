//! Tests of a service with hundreds of workers whose leaders' hosts have little processor time.

use std::collections::BTreeMap;

use mangotrestle_core::id::JobId;
use mangotrestle_core::workflow::division::Division;
use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::spec::{AdvicePolicy, JobRecord};

use super::world::divided::{self, DividedService};
use super::world::processor::Processor;
use super::world::{job, record, step};

/// Name of the service.
const SERVICE: &str = "service";

/// A service, led by hosts of one kind.
struct Service {
    division: Division,
    divided: DividedService,
    submitted: BTreeMap<JobId, Submitted>,
    last_job: u64,
}

/// A job that was submitted, with the time from which its result is late.
struct Submitted {
    home: String,
    queue: String,
    due_at: u64,
    /// Whether its end became known before that.
    in_time: Option<bool>,
}

impl Service {
    /// Returns a service whose leaders have a part of a core each.
    fn new(workers: u32, processor_share: f64) -> Self {
        let entries = divided::entries(workers);
        let division = Division::plan(&entries);
        let mut divided = DividedService::of(41, SERVICE, &division, entries);
        for world in divided.pools.values_mut() {
            world.processor = Some(Processor::new(processor_share));
        }
        Self {
            division,
            divided,
            submitted: BTreeMap::new(),
            last_job: 0,
        }
    }

    fn submit(&mut self, record: &JobRecord) {
        self.last_job += 1;
        let id = job(self.last_job);
        let now = self.divided.now();
        let record = JobRecord {
            accepted_ms: now,
            ..record.clone()
        };
        let home = self.division.home_of(SERVICE, &id);
        let random = self.divided.random_below(u64::MAX);
        let summary_of = |pool: &str| self.divided.summary(pool);
        let pools = self
            .division
            .choose(SERVICE, &id, &record, summary_of, random);
        self.divided.submit(&home, &id, &record, pools);
        let submitted = Submitted {
            home,
            queue: record.policy.queue.clone(),
            // Tasks take up to half as long again as their estimates.
            due_at: now + record.objective_ms_for(record.critical_path_ms() * 3 / 2),
            in_time: None,
        };
        self.submitted.insert(id, submitted);
    }

    fn run_for(&mut self, span_ms: u64) {
        self.divided.run_for(span_ms);
        let now = self.divided.now();
        for (id, submitted) in &mut self.submitted {
            if submitted.in_time.is_some() {
                continue;
            }
            let state = self.divided.state(&submitted.home, id);
            if state.is_some_and(JobState::is_final) {
                submitted.in_time = Some(now <= submitted.due_at);
            }
        }
    }

    /// Returns the share of a queue's jobs that ended in time.
    fn share_in_time(&self, queue: &str) -> f64 {
        let jobs: Vec<&Submitted> = self
            .submitted
            .values()
            .filter(|submitted| submitted.queue == queue)
            .collect();
        let in_time = jobs.iter().filter(|job| job.in_time == Some(true)).count();
        f64::from(u32::try_from(in_time).expect("few jobs"))
            / f64::from(u32::try_from(jobs.len()).expect("few jobs"))
    }
}

/// Returns a job of a queue that asks for tickets.
fn job_of(
    queue: &str,
    priority: u32,
    steps: u32,
    spec: (u32, u64, u64),
    advice_ms: f64,
) -> JobRecord {
    let (count, cpu_millicores, estimate_ms) = spec;
    let steps = (0..steps).map(|index| {
        let after: Vec<u32> = index.checked_sub(1).into_iter().collect();
        step(count, cpu_millicores, estimate_ms, &after)
    });
    let mut job = record(priority, steps.collect()).as_ref().clone();
    queue.clone_into(&mut job.policy.queue);
    job.policy.stretch = 1.5;
    job.policy.target_latency_ms = 250;
    job.policy.advice = Some(AdvicePolicy {
        decide_ms: advice_ms,
        each_ms: advice_ms / 70.0,
        valid_ms: 2_000,
    });
    job
}

/// Number of workers of the service.
const WORKERS: u32 = 792;
/// Part of a core of a leader: half of what a strong host has.
const HALVED_SHARE: f64 = 0.25;

/// Plays six seconds of reservations and batches at four fifths of the workers' capacity.
fn play_reservations(service: &mut Service) {
    let reservation = |steps| job_of("reservation", 0, steps, (13, 2_100, 880), 30.0);
    let batch = job_of("batch", 2, 2, (36, 2_250, 4_500), 182.0);
    for tenth in 0..60 {
        for number in 0..5 {
            service.submit(&reservation(1 + number % 2));
        }
        if tenth % 2 == 0 {
            service.submit(&batch);
        }
        service.run_for(100);
    }
    for _ in 0..40 {
        service.run_for(100);
    }
}

#[test]
fn reservations_are_in_time_although_the_leaders_hosts_have_half_the_processor_time() {
    let mut service = Service::new(WORKERS, HALVED_SHARE);
    service.run_for(2_000);

    play_reservations(&mut service);

    let in_time = service.share_in_time("reservation");
    assert!(in_time >= 0.9, "{in_time:.2} in time");
    service.divided.assert_no_violations();
}

#[test]
fn reservations_are_in_time_if_the_leaders_work_takes_no_time() {
    let mut service = Service::new(WORKERS, 1_000.0);
    service.run_for(2_000);

    play_reservations(&mut service);

    let in_time = service.share_in_time("reservation");
    assert!(in_time >= 0.9, "{in_time:.2} in time");
    service.divided.assert_no_violations();
}
