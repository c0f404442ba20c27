//! The worker's side of the lease protocol.
//!
//! A worker accepts commands only from the leader that claimed it last. Each run has a lease of its
//! own, which only renewals extend; a claim fences the previous leader and extends no run's lease.
//! All times are readings of the worker's own clock, so a delayed or repeated message cannot extend
//! a lease either.
//!
//! The program that embeds a [`Grantor`] starts and ends the processes of the runs: it launches the
//! runs in [`Started::launch`], ends those that [`Grantor::tick`] and [`Grantor::stop`] return, and
//! reports each end with [`Grantor::run_ended`].

use std::collections::BTreeMap;

use crate::id;
use crate::lease::message;
use crate::resources;
use crate::result_code::ResultCode;
use crate::task;
use crate::time;

/// Default term of a worker lease.
pub const DEFAULT_TERM: time::SpanMs = time::SpanMs::from_secs(15);

/// Properties of a worker and the term of its lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct GrantorConfig {
    incarnation: id::Incarnation,
    capacity: resources::Resources,
    rack: id::RackId,
    target_address: String,
    term: time::SpanMs,
}

impl GrantorConfig {
    /// Creates the configuration of a worker incarnation with its capacity and rack.
    #[must_use]
    pub fn new(
        incarnation: id::Incarnation,
        capacity: resources::Resources,
        rack: id::RackId,
    ) -> Self {
        Self {
            incarnation,
            capacity,
            rack,
            target_address: String::new(),
            term: DEFAULT_TERM,
        }
    }

    /// Sets the address, `ip:port`, at which tasks take requests. Empty by default.
    #[must_use]
    pub fn target_address(mut self, address: &str) -> Self {
        address.clone_into(&mut self.target_address);
        self
    }

    /// Sets the term: the maximum time from the receipt of a message to the lease expiry that it
    /// sets. [`DEFAULT_TERM`] by default.
    #[must_use]
    pub const fn term(mut self, term: time::SpanMs) -> Self {
        self.term = term;
        self
    }
}

/// Leader that holds the worker lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Holder {
    leader: id::EntryHostId,
    incarnation: id::Incarnation,
}

/// The lease on the worker as a whole.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct WorkerLease {
    holder: Holder,
    epoch: message::Epoch,
    expires: time::WorkerTimeMs,
}

/// A run in progress.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Running {
    attempt: u32,
    need: resources::Resources,
    lease_expires: time::WorkerTimeMs,
}

/// Result of a start request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Started {
    /// The answer for the leader.
    pub answer: message::StartAnswer,
    /// The runs to launch now. A repeated request gets the same answer and launches nothing.
    pub launch: Vec<message::StartRun>,
}

/// State of the lease protocol in a worker.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Grantor {
    config: GrantorConfig,
    lease: Option<WorkerLease>,
    /// Last epoch granted to another leader than the present holder, zero if none.
    rival_epoch: message::Epoch,
    /// Highest roster version received.
    roster_version: message::RosterVersion,
    leaving: bool,
    running: BTreeMap<task::TaskId, Running>,
    /// Ended runs that no leader has acknowledged yet.
    ended: BTreeMap<task::RunId, task::RunOutcome>,
    /// Runs that must not be started (again), each until a time by which the start-before of any
    /// request still in transit has passed.
    barred: BTreeMap<task::RunId, time::WorkerTimeMs>,
    /// Runs whose lease expired and that [`Grantor::tick`] has not returned yet.
    lapsed: Vec<task::RunId>,
}

impl Grantor {
    /// Creates a worker whose lease is free and that has no runs.
    #[must_use]
    pub const fn new(config: GrantorConfig) -> Self {
        Self {
            config,
            lease: None,
            rival_epoch: message::Epoch(0),
            roster_version: message::RosterVersion(0),
            leaving: false,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            barred: BTreeMap::new(),
            lapsed: Vec::new(),
        }
    }

    /// Grants the worker lease under a new epoch, whoever holds it at present.
    ///
    /// # Errors
    ///
    /// [`StaleRoster`](ResultCode::StaleRoster) if this worker knows a newer roster version.
    pub fn claim(
        &mut self,
        now: time::WorkerTimeMs,
        request: &message::ClaimRequest,
    ) -> Result<message::ClaimGranted, message::Refusal> {
        self.expire_leases(now);
        if request.roster_version < self.roster_version {
            return Err(refusal(ResultCode::StaleRoster, now));
        }
        self.roster_version = request.roster_version;
        let lease = self.grant(now, request);
        Ok(self.claim_granted(now, &lease))
    }

    /// Extends the worker lease and the lease of every run.
    ///
    /// # Errors
    ///
    /// [`StaleEpoch`](ResultCode::StaleEpoch) if a later claim than that of the epoch was granted,
    /// [`Expired`](ResultCode::Expired) if the lease expired or belongs to another incarnation.
    pub fn renew(
        &mut self,
        now: time::WorkerTimeMs,
        request: &message::RenewRequest,
    ) -> Result<message::RenewGranted, message::Refusal> {
        self.expire_leases(now);
        self.check_holder(now, request.worker_incarnation, request.epoch)?;
        self.extend_leases(request.lease_expires_ms.min(now + self.config.term));
        self.roster_version = self.roster_version.max(request.roster_version);
        for run in &request.acknowledged {
            self.acknowledge(now, run);
        }
        Ok(message::RenewGranted {
            worker_time_ms: now,
            ended: self.ended_runs(),
            usage: Vec::new(),
            leaving: self.leaving,
        })
    }

    /// Starts runs, each accepted or refused on its own.
    ///
    /// # Errors
    ///
    /// As [`Grantor::renew`]; also [`Expired`](ResultCode::Expired) if start-before has passed and
    /// [`InvalidInput`](ResultCode::InvalidInput) if it is more than a term away. On an error none
    /// of the runs was started.
    pub fn start(
        &mut self,
        now: time::WorkerTimeMs,
        request: &message::StartRequest,
    ) -> Result<Started, message::Refusal> {
        self.expire_leases(now);
        self.check_holder(now, request.worker_incarnation, request.epoch)?;
        if now >= request.start_before_ms {
            return Err(refusal(ResultCode::Expired, now));
        }
        if request.start_before_ms > now + self.config.term {
            return Err(refusal(ResultCode::InvalidInput, now));
        }
        let mut results = Vec::with_capacity(request.runs.len());
        let mut launch = Vec::new();
        for start in &request.runs {
            let already_accepted = self.was_accepted(&start.run);
            let result = if already_accepted {
                ResultCode::Ok
            } else {
                self.admit(start)
            };
            if result == ResultCode::Ok && !already_accepted {
                launch.push(start.clone());
            }
            results.push(result);
        }
        let answer = message::StartAnswer {
            worker_time_ms: now,
            results,
        };
        Ok(Started { answer, launch })
    }

    /// Accepts requests to stop runs, and prevents later starts of those that are not running here.
    /// A run occupies resources until [`Grantor::run_ended`] records its end.
    ///
    /// # Errors
    ///
    /// As [`Grantor::renew`].
    pub fn stop(
        &mut self,
        now: time::WorkerTimeMs,
        request: &message::StopRequest,
    ) -> Result<message::StopAccepted, message::Refusal> {
        self.expire_leases(now);
        self.check_holder(now, request.worker_incarnation, request.epoch)?;
        let mut stopping = Vec::new();
        for run in &request.runs {
            if self.is_running(run) {
                stopping.push(run.clone());
            } else {
                self.bar_start(now, run);
            }
        }
        Ok(message::StopAccepted {
            worker_time_ms: now,
            stopping,
        })
    }

    /// Checks that a message comes from the holder of an unexpired worker lease.
    ///
    /// # Errors
    ///
    /// As [`Grantor::renew`].
    pub fn check_holder(
        &self,
        now: time::WorkerTimeMs,
        incarnation: id::Incarnation,
        epoch: message::Epoch,
    ) -> Result<(), message::Refusal> {
        let lease = self.lease.as_ref();
        let lease = lease.filter(|_| incarnation == self.config.incarnation);
        match lease {
            None => Err(refusal(ResultCode::Expired, now)),
            Some(lease) if epoch != lease.epoch => Err(refusal(ResultCode::StaleEpoch, now)),
            Some(lease) if now >= lease.expires => Err(refusal(ResultCode::Expired, now)),
            Some(_) => Ok(()),
        }
    }

    /// Records runs whose leases have expired as lost. Returns the runs lost since the last call,
    /// whose processes have to be ended immediately.
    pub fn tick(&mut self, now: time::WorkerTimeMs) -> Vec<task::RunId> {
        self.expire_leases(now);
        std::mem::take(&mut self.lapsed)
    }

    /// Records the end of a run; it is reported to the lease holder until acknowledged. Ends of
    /// runs that are not in progress are ignored.
    pub fn run_ended(&mut self, run: &task::RunId, outcome: task::RunOutcome) {
        if self.is_running(run) {
            self.running.remove(&run.task);
            self.ended.insert(run.clone(), outcome);
        }
    }

    /// Sets whether the worker is leaving; a leaving worker accepts no new runs.
    pub const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Returns the incarnation of this worker.
    #[must_use]
    pub const fn incarnation(&self) -> id::Incarnation {
        self.config.incarnation
    }

    /// Whether this run, of this attempt, is in progress.
    #[must_use]
    pub fn is_running(&self, run: &task::RunId) -> bool {
        self.running
            .get(&run.task)
            .is_some_and(|running| running.attempt == run.attempt)
    }

    /// Returns all runs in progress.
    #[must_use]
    pub fn running(&self) -> Vec<message::RunningTask> {
        let runs = self.running.iter();
        runs.map(|(task, running)| running.to_message(task))
            .collect()
    }

    /// Returns when the next run lease expires, `None` if there are no runs.
    #[must_use]
    pub fn next_lapse(&self) -> Option<time::WorkerTimeMs> {
        let runs = self.running.values().map(|running| running.lease_expires);
        runs.min()
    }

    /// Returns the resources that runs occupy now.
    #[must_use]
    pub fn occupied(&self) -> resources::Resources {
        let needs = self.running.values().map(|running| running.need);
        needs.fold(resources::Resources::ZERO, |sum, need| sum + need)
    }

    fn grant(&mut self, now: time::WorkerTimeMs, request: &message::ClaimRequest) -> WorkerLease {
        let holder = Holder {
            leader: request.leader.clone(),
            incarnation: request.leader_incarnation,
        };
        let previous = self.lease.as_ref();
        let epoch = previous.map_or(0, |previous| previous.epoch.0) + 1;
        if let Some(previous) = previous.filter(|previous| previous.holder != holder) {
            self.rival_epoch = previous.epoch;
        }
        let lease = WorkerLease {
            holder,
            epoch: message::Epoch(epoch),
            expires: now + self.config.term,
        };
        self.lease = Some(lease.clone());
        lease
    }

    fn claim_granted(&self, now: time::WorkerTimeMs, lease: &WorkerLease) -> message::ClaimGranted {
        message::ClaimGranted {
            worker_incarnation: self.config.incarnation,
            epoch: lease.epoch,
            rival_epoch: self.rival_epoch,
            worker_time_ms: now,
            lease_expires_ms: lease.expires,
            capacity: self.config.capacity,
            rack: self.config.rack.clone(),
            running: self.running(),
            ended: self.ended_runs(),
            leaving: self.leaving,
            target_address: self.config.target_address.clone(),
        }
    }

    fn extend_leases(&mut self, expires: time::WorkerTimeMs) {
        if let Some(lease) = &mut self.lease {
            lease.expires = lease.expires.max(expires);
        }
        for running in self.running.values_mut() {
            running.lease_expires = running.lease_expires.max(expires);
        }
    }

    /// Whether a start of this run was accepted and its end has not been acknowledged yet.
    fn was_accepted(&self, run: &task::RunId) -> bool {
        self.is_running(run) || self.ended.contains_key(run)
    }

    /// Admits a new run if the worker can take it. Its lease expires when the worker lease does.
    fn admit(&mut self, start: &message::StartRun) -> ResultCode {
        if self.leaving {
            return ResultCode::Leaving;
        }
        if self.barred.contains_key(&start.run) {
            return ResultCode::Expired;
        }
        if self.running.contains_key(&start.run.task) {
            return ResultCode::AlreadyExists;
        }
        let free = self.config.capacity - self.occupied();
        if !start.need.fits_in(&free) {
            return ResultCode::NoCapacity;
        }
        let Some(lease) = &self.lease else {
            return ResultCode::Expired;
        };
        let running = Running {
            attempt: start.run.attempt,
            need: start.need,
            lease_expires: lease.expires,
        };
        self.running.insert(start.run.task.clone(), running);
        ResultCode::Ok
    }

    fn acknowledge(&mut self, now: time::WorkerTimeMs, run: &task::RunId) {
        if self.ended.remove(run).is_some() {
            self.bar_start(now, run);
        }
    }

    /// Prevents a run from starting for one term, because no start-before is further ahead than
    /// that.
    fn bar_start(&mut self, now: time::WorkerTimeMs, run: &task::RunId) {
        self.barred.insert(run.clone(), now + self.config.term);
    }

    fn expire_leases(&mut self, now: time::WorkerTimeMs) {
        let lapsed: Vec<task::RunId> = self
            .running
            .iter()
            .filter(|(_, running)| now >= running.lease_expires)
            .map(|(task, running)| running.run_id(task))
            .collect();
        for run in lapsed {
            self.run_ended(&run, task::RunOutcome::Lost);
            self.lapsed.push(run);
        }
        self.barred.retain(|_, until| now < *until);
    }

    fn ended_runs(&self) -> Vec<message::EndedRun> {
        let ended = self.ended.iter().map(|(run, &outcome)| message::EndedRun {
            run: run.clone(),
            outcome,
        });
        ended.collect()
    }
}

impl Running {
    fn run_id(&self, task: &task::TaskId) -> task::RunId {
        task::RunId {
            task: task.clone(),
            attempt: self.attempt,
        }
    }

    fn to_message(&self, task: &task::TaskId) -> message::RunningTask {
        message::RunningTask {
            run: self.run_id(task),
            need: self.need,
            lease_expires_ms: self.lease_expires,
        }
    }
}

const fn refusal(code: ResultCode, worker_time_ms: time::WorkerTimeMs) -> message::Refusal {
    message::Refusal {
        code,
        worker_time_ms,
    }
}
