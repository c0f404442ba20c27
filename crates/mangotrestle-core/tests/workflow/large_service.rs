//! Tests of a service with hundreds of workers whose leaders' hosts have little processor time.

use std::collections::BTreeMap;

use mangotrestle_core::id::JobId;
use mangotrestle_core::workflow::admission::{self, Admission};
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
    /// Number of jobs of each queue that admission refused.
    refused: BTreeMap<String, u32>,
    last_job: u64,
}

/// A job that was submitted, with the time from which its result is late.
struct Submitted {
    home: String,
    queue: String,
    due_at: u64,
    accepted_at: u64,
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
            refused: BTreeMap::new(),
            last_job: 0,
        }
    }

    fn set_processor_share(&mut self, share: f64) {
        let processors = self.divided.pools.values_mut();
        for processor in processors.filter_map(|world| world.processor.as_mut()) {
            processor.set_share(share);
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
            .choose(SERVICE, &home, &id, &record, summary_of, random);
        let pool = pools.as_ref().map_or(&home, |pools| &pools.pools[0]);
        let admission = admission::decide(&record, None, self.divided.summary(pool), 0);
        if admission != Admission::Accept {
            *self.refused.entry(record.policy.queue).or_default() += 1;
            return;
        }
        self.divided.submit_to_leader(&home, &id, &record, pools);
        let submitted = Submitted {
            home,
            queue: record.policy.queue.clone(),
            // Tasks take up to half as long again as their estimates.
            due_at: now + record.objective_ms_for(record.critical_path_ms() * 3 / 2),
            accepted_at: now,
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

    /// Returns the share of a queue's jobs, of those submitted from a time on, that ended in time.
    fn share_in_time(&self, queue: &str, since: u64) -> f64 {
        let jobs: Vec<&Submitted> = self
            .submitted
            .values()
            .filter(|job| job.queue == queue && job.accepted_at >= since)
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

/// Plays reservations and batches at four fifths of the workers' capacity.
fn submit_for(service: &mut Service, span_ms: u64) {
    let reservation = |steps| job_of("reservation", 0, steps, (13, 2_100, 880), 30.0);
    let batch = job_of("batch", 2, 2, (36, 2_250, 4_500), 182.0);
    for tenth in 0..span_ms / 100 {
        for number in 0..5 {
            service.submit(&reservation(1 + number % 2));
        }
        if tenth % 2 == 0 {
            service.submit(&batch);
        }
        service.run_for(100);
    }
}

/// Lets the jobs end that were submitted.
fn finish(service: &mut Service) {
    for _ in 0..40 {
        service.run_for(100);
    }
}

#[test]
fn reservations_are_in_time_although_the_leaders_hosts_have_half_the_processor_time() {
    let mut service = Service::new(WORKERS, HALVED_SHARE);
    service.run_for(2_000);

    submit_for(&mut service, 6_000);
    finish(&mut service);

    let in_time = service.share_in_time("reservation", 0);
    assert!(in_time >= 0.9, "{in_time:.2} in time");
    service.divided.assert_no_violations();
}

#[test]
fn reservations_are_in_time_if_the_leaders_work_takes_no_time() {
    let mut service = Service::new(WORKERS, 1_000.0);
    service.run_for(2_000);

    submit_for(&mut service, 6_000);
    finish(&mut service);

    let in_time = service.share_in_time("reservation", 0);
    assert!(in_time >= 0.9, "{in_time:.2} in time");
    service.divided.assert_no_violations();
}

/// Part of a core that is left to a leader while another process takes most of its host's time.
const STARVED_SHARE: f64 = 0.02;
/// Time within which the service is back after its leaders are.
const RETURN_TIME_MS: u64 = 5_000;

#[test]
fn reservations_are_in_time_again_soon_after_leaders_were_late() {
    let mut service = Service::new(WORKERS, HALVED_SHARE);
    service.run_for(2_000);
    submit_for(&mut service, 2_000);
    service.set_processor_share(STARVED_SHARE);
    submit_for(&mut service, 3_000);
    service.set_processor_share(HALVED_SHARE);
    submit_for(&mut service, RETURN_TIME_MS);
    let returned_at = service.divided.now();

    submit_for(&mut service, 3_000);
    finish(&mut service);

    let in_time = service.share_in_time("reservation", returned_at);
    assert!(
        in_time >= 0.9,
        "{in_time:.2} in time, refused: {:?}",
        service.refused
    );
    // Batches are refused before reservations.
    let refused = |queue| service.refused.get(queue).copied().unwrap_or_default();
    assert!(refused("batch") > 0, "no batch is refused");
    service.divided.assert_no_violations();
}
