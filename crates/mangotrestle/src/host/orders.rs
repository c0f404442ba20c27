//! Carries out what a pool orders, and hands the answers back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::time::SpanMs;
use mangotrestle_core::workflow::job::StepKey;
use mangotrestle_core::workflow::leadership;
use mangotrestle_core::workflow::message::OrderAnswer;
use mangotrestle_core::workflow::pool::{Order, PollFailure};
use mangotrestle_peer::cell::AdviceRequest;
use mangotrestle_users_platform::worker::{HoldRequest, StartOrder};

use super::cell::{Cell, lock};
use super::events;
use super::leader::Leader;
use super::peers;

/// Time for the answer to an order; answers come within milliseconds, slow hosts need more.
const ORDER: Duration = Duration::from_millis(500);
/// Time for a report beyond the wait asked for.
const HOLD_MARGIN: Duration = Duration::from_millis(700);
/// Time for an answer about tickets beyond what the queue's policy says.
const ADVICE_MARGIN: Duration = Duration::from_millis(1_500);

/// Carries out the orders that are due, and logs what was decided.
pub(super) fn carry_out(cell: &Arc<Cell>, leader: &Arc<Leader>) {
    let (orders, notes) = {
        let mut state = lock(&leader.state);
        (state.take_orders(), state.take_notes())
    };
    for note in &notes {
        events::note(&cell.log, &leader.pool, leader.term, note);
    }
    for order in orders {
        let cell = Arc::clone(cell);
        let leader = Arc::clone(leader);
        tokio::spawn(async move { carry_out_one(&cell, &leader, order).await });
    }
}

async fn carry_out_one(cell: &Arc<Cell>, leader: &Arc<Leader>, order: Order) {
    match order {
        Order::RequestTickets {
            step,
            workers,
            expected_delay,
        } => ask(cell, leader, &step, workers, expected_delay).await,
        Order::Hold { .. } => hold(cell, leader, order).await,
        Order::Start { .. } | Order::Stop { .. } | Order::Pace { .. } => {
            order_worker(cell, leader, order).await;
        }
    }
    leader.wake.notify_one();
}

/// Whether orders may leave: no worker has seen a higher term.
fn may_order(leader: &Leader) -> bool {
    !leader.fenced.load(Ordering::Relaxed) && !leader.is_over()
}

fn note_fence(cell: &Cell, leader: &Leader, worker: &id::WorkerId) {
    if !leader.fenced.swap(true, Ordering::Relaxed) {
        slog::warn!(cell.log, "leader.fenced"; "pool" => &leader.pool, "term" => leader.term,
            "worker" => worker.as_str());
    }
}

async fn order_worker(cell: &Arc<Cell>, leader: &Arc<Leader>, order: Order) {
    match order {
        Order::Start {
            worker,
            address,
            member,
            run,
            payload,
            deadline,
            checkpoint,
            ticket,
        } => {
            let task = member.task_name();
            let start = StartOrder {
                task: &task,
                run,
                payload: &payload,
                deadline,
                term: leader.term,
                checkpoint: &checkpoint,
                ticket: ticket.as_deref(),
            };
            let (answer, clock) = if may_order(leader) {
                cell.workers.start(&worker, &address, &start, ORDER).await
            } else {
                (OrderAnswer::NotSent, None)
            };
            if answer == OrderAnswer::Fenced {
                note_fence(cell, leader, &worker);
            }
            metrics::counter!("mangotrestle_starts_total").increment(1);
            let now = cell.clock.now();
            lock(&leader.state).start_answered(now, &worker, &member, run, &answer, clock);
        }
        Order::Stop {
            worker,
            address,
            task,
            run,
        } => {
            let (answer, clock) = if may_order(leader) {
                let term = leader.term;
                cell.workers
                    .stop(&worker, &address, &task, run, term, ORDER)
                    .await
            } else {
                (OrderAnswer::NotSent, None)
            };
            if answer == OrderAnswer::Fenced {
                note_fence(cell, leader, &worker);
            }
            slog::info!(cell.log, "run.stop_answered"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "answer" => ?answer);
            let now = cell.clock.now();
            lock(&leader.state).stop_answered(now, &worker, &task, run, &answer, clock);
        }
        Order::Pace {
            worker,
            address,
            member,
            run,
            percent,
        } => {
            let task = member.task_name();
            let term = leader.term;
            let (answer, _) = cell
                .workers
                .pace(&worker, &address, &task, run, percent, term, ORDER)
                .await;
            if answer == OrderAnswer::Fenced {
                note_fence(cell, leader, &worker);
            }
            slog::info!(cell.log, "run.paced"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "percent" => percent, "answer" => ?answer);
            let done = answer == OrderAnswer::Done;
            lock(&leader.state).pace_answered(&member, run, percent, done);
        }
        Order::RequestTickets { .. } | Order::Hold { .. } => {}
    }
}

async fn hold(cell: &Arc<Cell>, leader: &Arc<Leader>, order: Order) {
    let Order::Hold {
        worker,
        address,
        deadline,
        last_seen,
        wait,
    } = order
    else {
        return;
    };
    let unconfirmed =
        cell.clock.now().since(leader.confirmed_at()) > leadership::MAX_LEASING_WITHOUT_COMMIT;
    let result = if may_order(leader) && !unconfirmed {
        let hold = HoldRequest {
            deadline,
            term: leader.term,
            last_seen,
            wait_ms: wait.0,
        };
        let within = wait.as_duration() + HOLD_MARGIN;
        metrics::counter!("mangotrestle_looks_total").increment(1);
        cell.workers.hold(&worker, &address, hold, within).await
    } else {
        Err(PollFailure::NoAnswer)
    };
    if matches!(result, Err(PollFailure::Fenced)) {
        note_fence(cell, leader, &worker);
    }
    let now = cell.clock.now();
    lock(&leader.state).hold_answered(now, &worker, result);
}

async fn ask(
    cell: &Arc<Cell>,
    leader: &Arc<Leader>,
    step: &StepKey,
    workers: Vec<id::WorkerId>,
    expected_delay: SpanMs,
) {
    let within = expected_delay.as_duration() + ADVICE_MARGIN;
    let question = AdviceRequest {
        step: step.to_string(),
        workers,
        within_ms: u64::try_from(within.as_millis()).unwrap_or(u64::MAX),
    };
    let own = leader.own_questions.load(Ordering::Relaxed);
    let answer = if let Some((host, peer)) = cell.take_asker(own) {
        let asked = tokio::time::timeout(within + ADVICE_MARGIN, peer.ask(question.clone())).await;
        cell.give_asker_back(&host);
        if let Ok(Ok(answer)) = asked {
            answer
        } else {
            cell.note_peer_failure(&host);
            None
        }
    } else {
        leader.own_questions.fetch_add(1, Ordering::Relaxed);
        let answer = peers::ask(cell, &question).await;
        leader.own_questions.fetch_sub(1, Ordering::Relaxed);
        answer
    };
    let answer = answer.map(|advice| (advice.good, SpanMs(advice.valid_ms)));
    let now = cell.clock.now();
    lock(&leader.state).advice_answered(now, step, &question.workers, answer);
}
