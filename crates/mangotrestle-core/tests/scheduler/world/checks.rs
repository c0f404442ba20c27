//! What is checked: the invariants after each event, each start, and the state at the end.

use mangotrestle_core::{job, resources, scheduler, task, time};

use super::{QUOTA_TEAM, World, quota};

impl World {
    pub(super) fn check(&self, after: &str) {
        if let Err(breach) = self.scheduler.check_invariants() {
            panic!(
                "seed {}, at {} ms: {breach} after {after}",
                self.seed, self.now_ms
            );
        }
    }

    /// Checks a start against what really runs, whatever the scheduler believes.
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
            !self.spent.contains(&run.task),
            "{context}: the task must not run again"
        );
        let same = |other: &task::RunId| other.task == run.task;
        for (other, real) in &self.workers {
            assert!(
                !real.runs.keys().any(same),
                "{context}: it runs on {other} already"
            );
        }
        let mut under_way = self.starts_under_way.iter();
        assert!(
            !under_way.any(|start| same(&start.run)),
            "{context}: it is being started"
        );
        let worker = &self.workers[name];
        assert!(
            worker.reachable && !worker.leaving,
            "{context}: the worker takes no work"
        );
        let under_way = self
            .starts_under_way
            .iter()
            .filter(|start| start.worker == name);
        let under_way = under_way.fold(*need, |sum, start| sum + start.need);
        let declared = worker
            .runs
            .values()
            .fold(under_way, |sum, real| sum + real.need);
        assert!(
            declared.fits_in(&worker.capacity),
            "{context}: over its declared capacity"
        );
        let measured = worker
            .runs
            .values()
            .fold(under_way, |sum, real| sum + real.need.max(&real.reported));
        assert!(
            measured.fits_in(&worker.capacity),
            "{context}: over its measured capacity"
        );
        self.check_quota(run, need, &context);
    }

    fn check_quota(&self, run: &task::RunId, need: &resources::Resources, context: &str) {
        let limited = |run: &task::RunId| {
            let spec = self.specs.get(&run.task.job);
            spec.is_some_and(|spec| spec.team.as_str() == QUOTA_TEAM)
        };
        // After a take-over, runs without a record count once their workers have listed them.
        if !limited(run) || !self.recovering.is_empty() {
            return;
        }
        let running = self.workers.values().flat_map(|worker| &worker.runs);
        let running = running
            .filter(|(run, _)| limited(run))
            .map(|(_, real)| real.need);
        let under_way = self.starts_under_way.iter();
        let under_way = under_way
            .filter(|start| limited(&start.run))
            .map(|start| start.need);
        let used = running.chain(under_way).fold(*need, |sum, need| sum + need);
        assert!(used.fits_in(&quota()), "{context}: over the team's quota");
    }

    pub(super) fn check_drained(&self) {
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
