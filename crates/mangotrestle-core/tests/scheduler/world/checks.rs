//! Checks of the invariants after each event, of each start, and of the final state.

use mangotrestle_core::{job, resources, scheduler, task, time};

use super::{QUOTA_TEAM, World, quota};

impl World {
    pub(super) fn check(&self, after: &str) {
        if let Err(violation) = self.scheduler.check_invariants() {
            panic!(
                "seed {}, at {} ms: {violation} after {after}",
                self.seed, self.now_ms
            );
        }
    }

    /// Checks a start against the actual state of the workers.
    pub(super) fn check_start(&self, run: &task::RunId, name: &str, need: &resources::Resources) {
        let context = format!(
            "seed {}, at {} ms, start of {run} on {name}",
            self.seed, self.now_ms
        );
        let last = self.attempts.get(&run.task).copied().unwrap_or(0);
        assert!(
            run.attempt > last,
            "{context}: attempt {last} was used before"
        );
        assert!(
            !self.cancelled.contains(&run.task.job),
            "{context}: the job is cancelled"
        );
        assert!(
            !self.not_repeatable.contains(&run.task),
            "{context}: the task must not run again"
        );
        let same_task = |other: &task::RunId| other.task == run.task;
        for (other, real) in &self.workers {
            assert!(
                !real.runs.keys().any(same_task),
                "{context}: it runs on {other} already"
            );
        }
        let mut in_flight = self.starts_in_flight.iter();
        assert!(
            !in_flight.any(|start| same_task(&start.run)),
            "{context}: it is being started"
        );
        let worker = &self.workers[name];
        assert!(
            worker.reachable && !worker.leaving,
            "{context}: the worker takes no work"
        );
        let in_flight = self
            .starts_in_flight
            .iter()
            .filter(|start| start.worker == name);
        let in_flight = in_flight.fold(*need, |sum, start| sum + start.need);
        let declared = worker
            .runs
            .values()
            .fold(in_flight, |sum, real| sum + real.need);
        assert!(
            declared.fits_in(&worker.capacity),
            "{context}: over its declared capacity"
        );
        let measured = worker.runs.values().fold(in_flight, |sum, real| {
            sum + real.need.max(&real.reported_usage)
        });
        assert!(
            measured.fits_in(&worker.capacity),
            "{context}: over its measured capacity"
        );
        self.check_quota(run, need, &context);
    }

    fn check_quota(&self, run: &task::RunId, need: &resources::Resources, context: &str) {
        let of_limited_team = |run: &task::RunId| {
            let spec = self.specs.get(&run.task.job);
            spec.is_some_and(|spec| spec.team.as_str() == QUOTA_TEAM)
        };
        // After a change of leader, unrecorded runs count only once their workers have listed them.
        if !of_limited_team(run) || !self.recovering.is_empty() {
            return;
        }
        let running = self.workers.values().flat_map(|worker| &worker.runs);
        let running = running
            .filter(|(run, _)| of_limited_team(run))
            .map(|(_, real)| real.need);
        let in_flight = self.starts_in_flight.iter();
        let in_flight = in_flight
            .filter(|start| of_limited_team(&start.run))
            .map(|start| start.need);
        let used = running.chain(in_flight).fold(*need, |sum, need| sum + need);
        assert!(used.fits_in(&quota()), "{context}: over the team's quota");
    }

    pub(super) fn check_finished(&self) {
        for job in self.scheduler.jobs() {
            let stuck = job.counts.waiting + job.counts.running;
            let reasons = self
                .scheduler
                .explain_waiting(time::TimeMs(self.now_ms), &job.spec.id);
            let over_quota = job.spec.kind == job::JobKind::Gang
                && reasons.contains(&scheduler::WaitingReason::Quota);
            assert!(
                stuck == 0 || job.parked.is_some() || over_quota,
                "seed {}: {stuck} tasks of {} never ended: {reasons:?} {:?}",
                self.seed,
                job.spec.id,
                self.scheduler.tasks(&job.spec.id),
            );
        }
        for (name, worker) in &self.workers {
            assert!(
                worker.runs.is_empty(),
                "seed {}: {name} still runs work",
                self.seed
            );
        }
    }
}
