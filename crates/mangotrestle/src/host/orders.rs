//! Sends a pool's orders to workers and the advice service, and passes the answers back to the
//! pool.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::time::{SpanMs, WorkerTimeMs};
use mangotrestle_core::workflow::advice_hosts::RequestSize;
use mangotrestle_core::workflow::feed_timing::FeedTiming;
use mangotrestle_core::workflow::job::{MemberKey, StepKey};
use mangotrestle_core::workflow::leadership;
use mangotrestle_core::workflow::message::{OrderAnswer, WorkerReport};
use mangotrestle_core::workflow::pool::{Order, PollFailure};
use mangotrestle_core::workflow::start_calls::StartOutcome;
use mangotrestle_peer::cell::{Acceptance, AdviceRequest};
use mangotrestle_users_platform::worker::{HoldRequest, OrderResult, StartOrder};

use super::cell::{Cell, lock};
use super::events;
use super::jobs;
use super::leader::Leader;
use super::load::Work;
use super::peers;
use super::repeating::{self, OtherCall, REPEAT_DELAY};

/// Timeout for an order; answers come within milliseconds, from slow machines later.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for handing a job over to another pool.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time added to the wait that a poll requests, to get the poll's timeout.
const HOLD_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Time added to the duration of an advice request that the queue's policy states, to get the
/// request's timeout; added once more if a peer sends the request.
const ADVICE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);

/// Result of a poll of a worker.
type PollResult = Result<WorkerReport, PollFailure>;

/// Sends the orders that are due, each in its own task, and logs the pool's notes.
pub(super) fn execute_orders(cell: &Arc<Cell>, leader: &Arc<Leader>) {
    let (orders, notes) = {
        let mut state = lock(&leader.state);
        (state.take_orders(), state.take_notes())
    };
    for note in &notes {
        events::log_note(&cell.log, &leader.pool, leader.term, note);
    }
    for order in orders {
        let running = RunningOrder::new(cell, leader, order);
        tokio::spawn(async move { running.execute().await });
    }
}

/// An order whose task is running. If the task ends by a panic, the pool is told that there was no
/// answer: it would wait for it for ever.
pub(super) struct RunningOrder {
    cell: Arc<Cell>,
    leader: Arc<Leader>,
    order: Order,
}

impl RunningOrder {
    pub(super) fn new(cell: &Arc<Cell>, leader: &Arc<Leader>, order: Order) -> Self {
        Self {
            cell: Arc::clone(cell),
            leader: Arc::clone(leader),
            order,
        }
    }

    async fn execute(&self) {
        execute_order(&self.cell, &self.leader, &self.order).await;
    }
}

impl Drop for RunningOrder {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        events::task_failed(
            &self.cell.log,
            kind_of(&self.order).name(),
            &self.leader.pool,
        );
        // A state that is half changed ends the leadership.
        if !self.leader.state.is_poisoned() {
            answer_with_nothing(&self.cell, &self.leader, &self.order);
            self.leader.wake.notify_one();
        }
    }
}

/// Tells the pool that an order got no answer.
fn answer_with_nothing(cell: &Cell, leader: &Leader, order: &Order) {
    let now = cell.clock.now();
    let unknown = OrderAnswer::Unknown;
    let no_outcome = StartOutcome::of_call(OrderAnswer::Unknown);
    let mut state = lock(&leader.state);
    match order {
        Order::Start {
            worker,
            member,
            run,
            ..
        } => state.start_answered(now, worker, member, *run, &no_outcome, None),
        Order::Stop {
            worker, task, run, ..
        } => state.stop_answered(now, worker, task, *run, &unknown, None),
        Order::Hold { worker, .. } => {
            state.hold_answered(now, worker, Err(PollFailure::NoAnswer));
        }
        Order::Pace {
            member,
            run,
            percent,
            ..
        } => state.pace_answered(member, *run, *percent, false),
        Order::RequestTickets { step, workers, .. } => {
            state.advice_answered(now, step, workers, None);
        }
        Order::HandOver { pool, job, .. } => state.handed_over(now, job, pool, false),
        Order::CancelElsewhere { pool, job } => state.cancelled_elsewhere(now, job, pool, false),
        Order::QueryElsewhere { pool, jobs } => {
            let unknown: Vec<_> = jobs.iter().map(|job| (job.clone(), None)).collect();
            state.states_elsewhere(now, pool, &unknown);
        }
    }
}

/// Returns the kind of work that an order is.
const fn kind_of(order: &Order) -> Work {
    match order {
        Order::RequestTickets { .. } => Work::Ticket,
        Order::Hold { .. } => Work::Poll,
        Order::Start { .. } | Order::Stop { .. } | Order::Pace { .. } => Work::Order,
        Order::HandOver { .. } | Order::CancelElsewhere { .. } | Order::QueryElsewhere { .. } => {
            Work::HandOver
        }
    }
}

async fn execute_order(cell: &Arc<Cell>, leader: &Arc<Leader>, order: &Order) {
    let load = &cell.load;
    let kind = kind_of(order);
    match order {
        Order::RequestTickets {
            step,
            workers,
            expected_delay,
        } => {
            let request = request_tickets(cell, leader, step, workers, *expected_delay);
            load.measure(kind, request).await;
        }
        Order::Hold { .. } => {
            load.measure(kind, poll_worker(cell, leader, order)).await;
        }
        Order::Start { .. } | Order::Stop { .. } | Order::Pace { .. } => {
            load.measure(kind, send_order(cell, leader, order)).await;
        }
        Order::HandOver { .. } | Order::CancelElsewhere { .. } | Order::QueryElsewhere { .. } => {
            load.measure(kind, call_other_pool(cell, leader, order))
                .await;
        }
    }
    leader.wake.notify_one();
}

/// Whether starts, stops and polls may be sent to workers: they are not withheld, and the
/// leadership has not ended. Pace orders are sent regardless.
fn may_send_orders(leader: &Leader) -> bool {
    !leader.fenced.load(Ordering::Relaxed) && !leader.has_ended()
}

/// Returns the timeout for a start: the worker may have begun to drain since its list was read.
fn start_timeout(cell: &Cell) -> Duration {
    let drain_time = cell.settings.bounds.drain_time.as_duration();
    let max_list_age = FeedTiming::workers(cell.settings.bounds.drain_time).max_age;
    ORDER_TIMEOUT.min(drain_time.saturating_sub(max_list_age.as_duration()))
}

/// Records that a worker has seen a higher fencing token. If the order was for its present life, the
/// token is that of a later leader.
fn record_fenced(cell: &Cell, leader: &Leader, worker: &id::WorkerId, life: u32) {
    if !lock(&leader.state).is_present_life(worker, life) {
        return;
    }
    if !leader.fenced.swap(true, Ordering::Relaxed) {
        slog::warn!(cell.log, "leader.fenced"; "pool" => &leader.pool, "term" => leader.term,
            "worker" => worker.as_str());
    }
}

async fn send_order(cell: &Arc<Cell>, leader: &Arc<Leader>, order: &Order) {
    match order {
        Order::Start {
            worker,
            life,
            address,
            member,
            run,
            payload,
            deadline,
            checkpoint,
            ticket,
        } => {
            let (run, life) = (*run, *life);
            let task = member.task_name();
            let start = StartOrder {
                task: &task,
                run,
                payload,
                deadline: *deadline,
                token: leadership::fencing_token(leader.term, life),
                checkpoint,
                ticket: ticket.as_deref(),
            };
            let (outcome, clock) = if may_send_orders(leader) {
                send_start(cell, leader, worker, address, &start, member).await
            } else {
                (StartOutcome::of_call(OrderAnswer::NotSent), None)
            };
            if *outcome.answer() == OrderAnswer::Fenced {
                record_fenced(cell, leader, worker, life);
            }
            metrics::counter!("mangotrestle_starts_total").increment(1);
            let now = cell.clock.now();
            lock(&leader.state).start_answered(now, worker, member, run, &outcome, clock);
        }
        Order::Stop {
            worker,
            life,
            address,
            task,
            run,
        } => {
            let (run, life) = (*run, *life);
            let (answer, clock) = if may_send_orders(leader) {
                let token = leadership::fencing_token(leader.term, life);
                cell.workers
                    .stop(worker, address, task, run, token, ORDER_TIMEOUT)
                    .await
            } else {
                (OrderAnswer::NotSent, None)
            };
            if answer == OrderAnswer::Fenced {
                record_fenced(cell, leader, worker, life);
            }
            slog::info!(cell.log, "run.stop_answered"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "answer" => ?answer);
            let now = cell.clock.now();
            lock(&leader.state).stop_answered(now, worker, task, run, &answer, clock);
        }
        Order::Pace {
            worker,
            life,
            address,
            member,
            run,
            percent,
        } => {
            let (run, life, percent) = (*run, *life, *percent);
            let task = member.task_name();
            let token = leadership::fencing_token(leader.term, life);
            let (answer, _) = cell
                .workers
                .pace(worker, address, &task, run, percent, token, ORDER_TIMEOUT)
                .await;
            if answer == OrderAnswer::Fenced {
                record_fenced(cell, leader, worker, life);
            }
            slog::info!(cell.log, "run.paced"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "percent" => percent, "answer" => ?answer);
            let done = answer == OrderAnswer::Done;
            lock(&leader.state).pace_answered(member, run, percent, done);
        }
        _ => {}
    }
}

/// Sends a start, and once more if there is no answer in the usual time: a worker carries out a run
/// once. A refusal in one call doesn't decide, since the worker may carry out the other.
async fn send_start(
    cell: &Arc<Cell>,
    leader: &Leader,
    worker: &id::WorkerId,
    address: &str,
    start: &StartOrder<'_>,
    member: &MemberKey,
) -> (StartOutcome, Option<WorkerTimeMs>) {
    let timeout = start_timeout(cell);
    let send = |timeout| cell.workers.start(worker, address, start, timeout);
    let repeat = || async {
        let is_wanted = lock(&leader.state).start_repeated(member, start.run);
        if is_wanted && may_send_orders(leader) {
            send(timeout.saturating_sub(REPEAT_DELAY)).await
        } else {
            (OrderAnswer::NotSent, None)
        }
    };
    let decides = |(answer, _): &OrderResult| answer.settles_run();
    let first = send(timeout);
    let may_repeat = || !repeating::is_late(cell);
    let outcomes = repeating::call(first, REPEAT_DELAY, may_repeat, repeat, decides).await;
    events::start_repeated(&cell.log, start, worker, &outcomes);
    let (answer, clock) = outcomes.deciding;
    match outcomes.other {
        OtherCall::NotMade | OtherCall::Open => (StartOutcome::of_call(answer), clock),
        OtherCall::Ended((other, other_clock)) => {
            let outcome = StartOutcome::of_calls([answer, other]);
            (outcome, clock.or(other_clock))
        }
    }
}

/// Carries out an order to the leader of another pool.
async fn call_other_pool(cell: &Arc<Cell>, leader: &Arc<Leader>, order: &Order) {
    match order {
        Order::HandOver { pool, job, record } => {
            let acceptance = jobs::accept(cell, pool, job, record, HAND_OVER_TIMEOUT).await;
            slog::info!(cell.log, "job.handed_over"; "job" => job.as_str(),
                "home" => &leader.pool, "pool" => pool, "outcome" => ?acceptance);
            let accepted = matches!(acceptance, Acceptance::Accepted { .. } | Acceptance::Known);
            let now = cell.clock.now();
            lock(&leader.state).handed_over(now, job, pool, accepted);
        }
        Order::CancelElsewhere { pool, job } => {
            let result = jobs::cancel(cell, pool, job, None).await;
            slog::info!(cell.log, "job.cancelled_elsewhere"; "job" => job.as_str(),
                "home" => &leader.pool, "pool" => pool, "result" => ?result);
            let cancelled = matches!(result, Ok(Some(_)));
            let now = cell.clock.now();
            lock(&leader.state).cancelled_elsewhere(now, job, pool, cancelled);
        }
        Order::QueryElsewhere { pool, jobs } => {
            let states = jobs::states_in(cell, pool, jobs.clone()).await;
            let now = cell.clock.now();
            lock(&leader.state).states_elsewhere(now, pool, &states);
        }
        _ => {}
    }
}

async fn poll_worker(cell: &Arc<Cell>, leader: &Arc<Leader>, order: &Order) {
    let Order::Hold {
        worker,
        life,
        address,
        deadline,
        last_seen,
        wait,
    } = order
    else {
        return;
    };
    let (life, wait) = (*life, *wait);
    let unconfirmed =
        cell.clock.now().since(leader.confirmed_at()) > leadership::MAX_LEASING_WITHOUT_COMMIT;
    let result = if may_send_orders(leader) && !unconfirmed {
        let request = HoldRequest {
            deadline: *deadline,
            token: leadership::fencing_token(leader.term, life),
            last_seen: *last_seen,
            wait_ms: wait.0,
        };
        let timeout = wait.as_duration() + HOLD_TIMEOUT_MARGIN;
        metrics::counter!("mangotrestle_looks_total").increment(1);
        let poll = cell.workers.hold(worker, address, request, timeout);
        let repeated = || {
            lock(&leader.state).poll_repeated(worker);
            // The worker may have started again since its last answer, so nothing is acknowledged.
            let request = HoldRequest {
                last_seen: 0,
                wait_ms: 0,
                ..request
            };
            cell.workers.hold(worker, address, request, ORDER_TIMEOUT)
        };
        let delay = wait.as_duration() + REPEAT_DELAY;
        // Any answer shows the worker's state; without one, the other call may still get it.
        let decides = |result: &PollResult| !matches!(result, Err(PollFailure::NoAnswer));
        let may_repeat = || !repeating::is_late(cell);
        let outcomes = repeating::call(poll, delay, may_repeat, repeated, decides).await;
        outcomes.deciding
    } else {
        Err(PollFailure::NoAnswer)
    };
    if matches!(result, Err(PollFailure::Fenced)) {
        record_fenced(cell, leader, worker, life);
    }
    let now = cell.clock.now();
    lock(&leader.state).hold_answered(now, worker, result);
}

async fn request_tickets(
    cell: &Arc<Cell>,
    leader: &Arc<Leader>,
    step: &StepKey,
    workers: &[id::WorkerId],
    expected_delay: SpanMs,
) {
    let timeout = expected_delay.as_duration() + ADVICE_TIMEOUT_MARGIN;
    let request = AdviceRequest {
        step: step.to_string(),
        workers: workers.to_vec(),
        within_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
    };
    let size = RequestSize::of(expected_delay);
    let answer = if let Some((host, peer)) = cell.reserve_advice_peer(&leader.pool, size) {
        let reserved = ReservedPeer {
            cell,
            host: host.clone(),
        };
        let result = tokio::time::timeout(timeout + ADVICE_TIMEOUT_MARGIN, peer.ask(request)).await;
        drop(reserved);
        if let Ok(Ok(answer)) = result {
            answer
        } else {
            cell.record_peer_failure(&host);
            None
        }
    } else {
        peers::request_advice(cell, &request).await
    };
    let answer = answer.map(|advice| (advice.good, SpanMs(advice.valid_ms)));
    let now = cell.clock.now();
    lock(&leader.state).advice_answered(now, step, workers, answer);
}

/// An advice request that a peer is handling, until this is dropped.
struct ReservedPeer<'a> {
    cell: &'a Cell,
    host: id::EntryHostId,
}

impl Drop for ReservedPeer<'_> {
    fn drop(&mut self) {
        self.cell.release_advice_peer(&self.host);
    }
}
