//! Runs the rounds of a leader: it takes the outcome of the last commit, lets the pool decide, begins
//! the next commit and sends orders.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use mangotrestle_core::id;
use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::advice_hosts::Senders;
use mangotrestle_core::workflow::leadership;
use mangotrestle_peer::cell::Acceptance;
use tokio::task::JoinSet;

use super::Leader;
use super::committing::{CommitExtras, CommitOutcome, begin_commit};
use super::releasing::notify_successor;
use super::shares::ShareKeeper;
use super::supervising::Failure;
use crate::host::cell::{Cell, lock};
use crate::host::load::Work;
use crate::host::pacing::{self, Pacing};
use crate::host::{events, orders, repeating};

/// Minimum interval between two commits with changes, in which more changes accumulate.
const MIN_COMMIT_INTERVAL: SpanMs = SpanMs(12);
/// Minimum interval between two writes of the summary.
const MIN_SUMMARY_INTERVAL: SpanMs = SpanMs(500);
/// Interval between two writes of what was learned from finished runs.
const LEARNED_INTERVAL: SpanMs = SpanMs(5_000);
/// Interval between checks whether another host should lead a pool.
const PASS_ON_CHECK_INTERVAL: SpanMs = SpanMs(1_000);
/// Number of consecutive checks after which a late leader passes its pool on.
const MIN_PASS_ON_CHECKS: u32 = 3;
/// Time without a round after which the process counts as stalled.
const STALL_THRESHOLD: SpanMs = SpanMs(1_000);

/// Runs the rounds of a leader until another host leads the pool or this one has released it.
///
/// # Errors
///
/// [`Failure`] if a commit failed, or a task failed while it changed the pool's state.
pub(super) async fn run_leader(cell: Arc<Cell>, leader: Arc<Leader>) -> Result<(), Failure> {
    // At most one at a time. It ends with the rounds: later it could claim a row that was released.
    let mut commit: JoinSet<CommitOutcome> = JoinSet::new();
    let mut commit_began_at = cell.clock.now();
    let mut summary_written_at = TimeMs(0);
    let mut learned_written_at = cell.clock.now();
    let mut last_round = cell.clock.now();
    let mut pacing = Pacing::default();
    let mut share_keeper = ShareKeeper::default();
    let mut passing_on = PassingOn::new(cell.clock.now());
    loop {
        // After the timeout the round runs without a notification.
        let _ = tokio::time::timeout(pacing::MAX_ROUND_INTERVAL, leader.wake.notified()).await;
        pacing.wait_for_round().await;
        if leader.state.is_poisoned() {
            return Err(Failure {
                task: "state",
                error: "a task failed while it changed the pool's state".to_owned(),
            });
        }
        cell.count_suspension();
        let now = cell.clock.now();
        if now.since(last_round) > STALL_THRESHOLD {
            slog::warn!(cell.log, "leader.held_up"; "pool" => &leader.pool,
                "for_ms" => now.since(last_round).0);
            // Starts, stops and polls are withheld until a commit shows that this host still leads.
            leader.fenced.store(true, Ordering::Relaxed);
            commit_began_at = TimeMs(0);
        }
        last_round = now;
        if let Some(outcome) = commit.try_join_next() {
            let outcome = outcome.map_err(|error| Failure {
                task: "commit",
                error: error.to_string(),
            })?;
            if !settle_commit(&cell, &leader, now, outcome) {
                return Ok(());
            }
            if leader.release_begun.load(Ordering::Relaxed) {
                return Ok(());
            }
        }
        if cell.store_is_silent() {
            refuse_unwritten_submissions(&leader, now);
        }
        share_keeper.step(&cell, &leader, now);
        {
            let mut state = lock(&leader.state);
            state.set_advice_senders(Senders {
                hosts: cell.host_count(),
                leaders: cell.pools().len(),
                leader_is_late: repeating::is_late(&cell),
            });
            state.set_row_format(cell.row_format());
            state.tick(now);
        }
        if passing_on.is_due(&cell, &leader, now) {
            slog::warn!(cell.log, "leadership.passed_on"; "pool" => &leader.pool,
                "term" => leader.term, "lag_ms" => cell.load.lag_ms(),
                "busy_per_mille" => cell.load.busy_per_mille());
            leader.releasing.store(true, Ordering::Relaxed);
            tokio::spawn(notify_successor(Arc::clone(&cell), Arc::clone(&leader)));
        }
        if commit.is_empty() {
            let releasing = leader.releasing.load(Ordering::Relaxed);
            let changed = lock(&leader.state).has_changes();
            let due = (changed && now.since(commit_began_at) >= MIN_COMMIT_INTERVAL)
                || now.since(commit_began_at) >= leadership::MAX_COMMIT_INTERVAL
                || releasing;
            if due {
                commit_began_at = now;
                let with_summary = now.since(summary_written_at) >= MIN_SUMMARY_INTERVAL;
                if with_summary {
                    summary_written_at = now;
                }
                let with_learned = now.since(learned_written_at) >= LEARNED_INTERVAL || releasing;
                if with_learned {
                    learned_written_at = now;
                }
                leader.release_begun.store(releasing, Ordering::Relaxed);
                let with = CommitExtras {
                    summary: with_summary,
                    learned: with_learned,
                    releasing,
                };
                commit.spawn(begin_commit(&cell, &leader, now, with));
            }
        }
        orders::execute_orders(&cell, &leader);
        cell.load.add(Work::Round, pacing.end_round());
    }
}

/// Handles the outcome of a commit. Returns whether this host still leads the pool.
fn settle_commit(cell: &Cell, leader: &Leader, now: TimeMs, outcome: CommitOutcome) -> bool {
    match outcome {
        CommitOutcome::Durable { version, accepted } => {
            lock(&leader.state).committed(now);
            leader.confirmed_at_ms.store(now.0, Ordering::Relaxed);
            leader.fenced.store(false, Ordering::Relaxed);
            for job in accepted {
                leader.answer_waiters(&job, &Acceptance::Accepted { version });
            }
        }
        CommitOutcome::Duplicates(jobs) => {
            events::commit_undone(&cell.log, &leader.pool, leader.term, jobs.len(), None);
            lock(&leader.state).commit_undone();
            drop_submissions(leader, now, &jobs, &Acceptance::Known);
        }
        CommitOutcome::Refused { submitted, reason } => {
            let log = &cell.log;
            events::commit_undone(log, &leader.pool, leader.term, 0, Some(&reason));
            lock(&leader.state).commit_undone();
            drop_submissions(leader, now, &submitted, &Acceptance::NotAccepted(reason));
        }
        CommitOutcome::Deposed => return false,
    }
    true
}

/// Ends a leadership on this host, so that its callers are answered.
pub(super) fn end_leadership(cell: &Cell, leader: &Leader) {
    cell.remove_leader(&leader.pool);
    {
        // Dropping the senders answers the callers that the outcome is unknown.
        let mut waiters = lock(&leader.waiters);
        leader.ended.store(true, Ordering::Relaxed);
        waiters.clear();
    }
    slog::info!(cell.log, "leadership.ended"; "pool" => &leader.pool, "term" => leader.term,
        "released" => leader.releasing.load(Ordering::Relaxed));
}

/// Finds out when a leader should pass its pool on.
struct PassingOn {
    checked_at: TimeMs,
    /// Number of consecutive checks in which another host was better.
    checks: u32,
}

impl PassingOn {
    fn new(now: TimeMs) -> Self {
        Self {
            checked_at: now,
            checks: 0,
        }
    }

    fn is_due(&mut self, cell: &Cell, leader: &Leader, now: TimeMs) -> bool {
        let is_releasing = leader.releasing.load(Ordering::Relaxed);
        if is_releasing || now.since(self.checked_at) < PASS_ON_CHECK_INTERVAL {
            return false;
        }
        self.checked_at = now;
        self.checks = if cell.passes_on(&leader.pool) {
            self.checks + 1
        } else {
            0
        };
        self.checks >= MIN_PASS_ON_CHECKS
    }
}

/// Refuses submitted jobs that no commit has tried to write, while the store is unreachable.
fn refuse_unwritten_submissions(leader: &Leader, now: TimeMs) {
    let jobs = lock(&leader.state).unwritten_submissions();
    let refusal = Acceptance::NotAccepted("the store is unreachable".to_owned());
    drop_submissions(leader, now, &jobs, &refusal);
}

fn drop_submissions(leader: &Leader, now: TimeMs, jobs: &[id::JobId], acceptance: &Acceptance) {
    for job in jobs {
        lock(&leader.state).drop_submission(now, job);
        leader.answer_waiters(job, acceptance);
    }
}
