//! Log events and metrics of a host: its start and stop, its answers to callers, and the decisions
//! and observations of the pools that it leads.

use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::resources::Resources;
use mangotrestle_core::time::SpanMs;
use mangotrestle_core::workflow::admission::{Admission, ExpectedTime};
use mangotrestle_core::workflow::catalog::Queue;
use mangotrestle_core::workflow::environment::HostSettings;
use mangotrestle_core::workflow::feed_timing::FeedTiming;
use mangotrestle_core::workflow::job::OccurrenceDelay;
use mangotrestle_core::workflow::leadership::PoolSummary;
use mangotrestle_core::workflow::pool::{BlockedStep, Note, TicketLoad, UnsettledRun};
use mangotrestle_core::workflow::queue_home::HomeRow;
use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::teams::shares::{Parts, ShareRow};
use mangotrestle_http::body::BodyError;
use mangotrestle_peer::cell::Acceptance;
use mangotrestle_users_platform::store::{RowName, Value};
use mangotrestle_users_platform::transport::CallError;
use mangotrestle_users_platform::worker::{OrderResult, StartOrder};

use super::load::{LoadReport, Work};
use super::memory::Memory;
use super::repeating::{Call, OtherCall, Outcomes};

/// Lag from which a leader logs it, and a host that leads no pool logs its load.
const MIN_LOGGED_LAG: Duration = Duration::from_millis(100);

/// Logs that the process starts.
pub(super) fn started(log: &slog::Logger, settings: &HostSettings) {
    slog::info!(log, "host.started"; "zone" => &settings.zone, "front" => %settings.front,
        "peer" => %settings.peer, "store" => %settings.store, "memory_mib" => settings.memory_mib);
}

/// Logs that a planned stop begins.
pub(super) fn stopping(log: &slog::Logger) {
    slog::info!(log, "host.stopping");
}

/// Logs the end of the process, and whether all callers were answered.
pub(super) fn stopped(log: &slog::Logger, all_answered: bool) {
    slog::info!(log, "host.stopped"; "all_answered" => all_answered);
}

/// Logs a request that was refused because a newer configuration may be in force.
pub(super) fn configuration_outdated(log: &slog::Logger, version: u64, path: &str) {
    metrics::counter!("mangotrestle_configuration_outdated_total").increment(1);
    slog::info!(log, "configuration.outdated"; "version" => version, "path" => path);
}

/// Logs a connection to the store that gave no answer to a read which another path answered.
pub(super) fn store_connection_silent(
    log: &slog::Logger,
    table: &str,
    answered_by: &'static str,
    waited: SpanMs,
) {
    metrics::counter!("mangotrestle_store_reads_resent_total", "answered_by" => answered_by)
        .increment(1);
    slog::info!(log, "store.connection_silent"; "table" => table, "answered_by" => answered_by,
        "waited_ms" => waited.0);
}

/// Records the time for which a read waited for this host's share of the store's rate.
pub(super) fn store_read_delayed(waited: Duration) {
    metrics::histogram!("mangotrestle_store_read_delay_seconds").record(waited.as_secs_f64());
}

/// Records how old a feed's rows were when they were confirmed, and logs it if they could no longer
/// be relied on.
pub(super) fn feed_confirmed(
    log: &slog::Logger,
    feed: &'static str,
    age: SpanMs,
    timing: FeedTiming,
) {
    metrics::histogram!("mangotrestle_feed_age_seconds", "feed" => feed)
        .record(age.as_duration().as_secs_f64());
    if age >= timing.max_age {
        slog::warn!(log, "feed.late"; "feed" => feed, "age_ms" => age.0,
            "max_age_ms" => timing.max_age.0);
    }
}

/// Logs that a peer had a newer configuration, and whether this host had it soon after.
pub(super) fn configuration_behind_peer(log: &slog::Logger, version: u64, caught_up: bool) {
    slog::info!(log, "configuration.behind_peer"; "version" => version, "caught_up" => caught_up);
}

/// Logs a call with no key, or with one that the configuration does not know. The key is not logged.
pub(super) fn key_unknown(log: &slog::Logger, queue: &Queue, version: u64, has_key: bool) {
    metrics::counter!("mangotrestle_keys_unknown_total").increment(1);
    slog::info!(log, "key.unknown"; "queue" => &queue.policy.queue, "has_key" => has_key,
        "configuration" => version);
}

/// Logs a submitted job that cannot be decoded or is not valid.
pub(super) fn job_malformed(log: &slog::Logger, job: &id::JobId, error: &str) {
    metrics::counter!("mangotrestle_jobs_malformed_total").increment(1);
    slog::info!(log, "job.malformed"; "job" => job.as_str(), "error" => error);
}

/// Logs a submitted job whose body was too large, late or cut off, or for which there was no room.
pub(super) fn body_missing(log: &slog::Logger, job: &id::JobId, error: BodyError) {
    let reason = match error {
        BodyError::TooLarge { .. } => "too-large",
        BodyError::Timeout => "timeout",
        BodyError::NoRoom => "no-room",
        BodyError::CutOff => "cut-off",
    };
    metrics::counter!("mangotrestle_bodies_missing_total", "reason" => reason).increment(1);
    slog::info!(log, "job.body_missing"; "job" => job.as_str(), "reason" => reason);
}

/// Logs a job that its leader refuses since it has no memory for it.
pub(super) fn job_without_memory(log: &slog::Logger, pool: &str, job: &id::JobId, memory: &Memory) {
    metrics::counter!("mangotrestle_jobs_without_memory_total").increment(1);
    slog::info!(log, "job.without_memory"; "pool" => pool, "job" => job.as_str(),
        "used_bytes" => memory.last_used_bytes());
}

/// Records what a host did since the last report, and logs it if the host leads pools or is late.
pub(super) fn host_load(log: &slog::Logger, pools_led: usize, report: &LoadReport) {
    metrics::histogram!("mangotrestle_host_lag_seconds").record(report.max_lag.as_secs_f64());
    for (work, spent) in Work::ALL.iter().zip(report.spent) {
        metrics::counter!("mangotrestle_work_microseconds_total", "work" => work.name())
            .increment(u64::try_from(spent.as_micros()).unwrap_or(u64::MAX));
    }
    if pools_led == 0 && report.max_lag < MIN_LOGGED_LAG {
        return;
    }
    let spent = Work::ALL.iter().zip(report.spent).map(|(work, spent)| {
        let share = report.per_mille(spent);
        format!("{}:{share}", work.name())
    });
    let spent: Vec<String> = spent.collect();
    slog::info!(log, "host.load"; "pools_led" => pools_led,
        "busy_per_mille" => report.per_mille(report.busy), "work_per_mille" => spent.join(","),
        "lag_ms" => report.lag_ms, "max_lag_ms" => millis(report.max_lag));
}

/// Records how late a leader is, and logs it if it is late.
pub(super) fn pool_lag(log: &slog::Logger, pool: &str, summary: &PoolSummary, host_lag_ms: u64) {
    let lag = Duration::from_millis(summary.lag_ms);
    metrics::histogram!("mangotrestle_leader_lag_seconds").record(lag.as_secs_f64());
    if lag >= MIN_LOGGED_LAG {
        slog::info!(log, "leader.late"; "pool" => pool, "lag_ms" => summary.lag_ms,
            "ticket_lag_ms" => summary.ticket_lag_ms, "host_lag_ms" => host_lag_ms,
            "wait_ms" => ?summary.wait_ms);
    }
}

/// Records what limits the ticket requests of a pool, and logs it if steps wait for a first request.
pub(super) fn ticket_load(log: &slog::Logger, pool: &str, load: &TicketLoad) {
    let in_flight = [
        ("short", load.short_in_flight),
        ("long", load.long_in_flight),
    ];
    for (size, requests) in in_flight {
        metrics::gauge!("mangotrestle_ticket_requests_in_flight", "pool" => pool.to_owned(),
            "size" => size)
        .set(f64::from(requests));
    }
    metrics::gauge!("mangotrestle_steps_without_request", "pool" => pool.to_owned())
        .set(f64::from(load.steps_without_request));
    if load.steps_without_request == 0 {
        return;
    }
    slog::info!(log, "tickets.behind"; "pool" => pool,
        "short_in_flight" => load.short_in_flight, "max_short" => load.max_short_in_flight,
        "long_in_flight" => load.long_in_flight, "max_long" => load.max_long_in_flight,
        "waiting_steps" => load.waiting_steps,
        "without_request" => load.steps_without_request,
        "longest_ms" => load.longest_without_request.0);
}

/// Logs that this host gives up a pool so that another one leads it; `reason` is the task that failed, or
/// the load.
pub(super) fn leadership_given_up(
    log: &slog::Logger,
    pool: &str,
    term: u64,
    reason: &'static str,
    error: &str,
) {
    metrics::counter!("mangotrestle_leaderships_given_up_total", "reason" => reason).increment(1);
    slog::warn!(log, "leadership.given_up"; "pool" => pool, "term" => term, "reason" => reason,
        "error" => error);
}

/// Logs a task of the host that ended by a panic and is not followed by the end of a leadership.
pub(super) fn task_failed(log: &slog::Logger, task: &'static str, pool: &str) {
    metrics::counter!("mangotrestle_host_tasks_failed_total", "task" => task).increment(1);
    slog::error!(log, "host.task_failed"; "task" => task, "pool" => pool);
}

/// Logs a job that admission refused, with the expectation that made it refuse.
pub(super) fn job_refused(
    log: &slog::Logger,
    job: &id::JobId,
    queue: &Queue,
    team: Option<&str>,
    (admission, expected): (&Admission, ExpectedTime),
    configuration_version: u64,
) {
    let reason = match admission {
        Admission::Accept => "none",
        Admission::NeverFits { .. } => "never-fits",
        Admission::BeyondCap { .. } => "beyond-cap",
        Admission::Busy { .. } if expected.excess_ms() == 0 => "late-leader",
        Admission::Busy { .. } => expected.largest_delay(),
    };
    metrics::counter!("mangotrestle_jobs_refused_total", "reason" => reason).increment(1);
    slog::info!(log, "job.refused"; "job" => job.as_str(), "queue" => &queue.policy.queue,
        "team" => team, "decision" => ?admission, "reason" => reason,
        "configuration" => configuration_version, "priority" => queue.policy.priority, "wait_ms" => expected.wait_ms,
        "path_ms" => expected.path_ms, "lag_ms" => expected.lag_ms,
        "ticket_ms" => expected.ticket_ms, "useful_ms" => expected.useful_ms);
}

/// Logs the answer to a submitted job.
pub(super) fn job_answered(
    log: &slog::Logger,
    job: &id::JobId,
    (queue, home): (&Queue, &str),
    acceptance: &Acceptance,
    configuration_version: u64,
    took: Duration,
) {
    let outcome = match acceptance {
        Acceptance::Accepted { .. } => "accepted",
        Acceptance::Known => "known",
        Acceptance::NotAccepted(_) | Acceptance::NotLeading => "not-accepted",
        Acceptance::Unknown(_) => "unknown",
    };
    metrics::histogram!("mangotrestle_acceptance_seconds", "outcome" => outcome)
        .record(took.as_secs_f64());
    slog::info!(log, "job.answered"; "job" => job.as_str(), "queue" => &queue.policy.queue,
        "home" => home, "outcome" => ?acceptance, "configuration" => configuration_version,
        "took_ms" => millis(took));
}

/// Logs where the jobs of a queue have their identities from now on, as this host has written it.
pub(super) fn home_known(log: &slog::Logger, row: &HomeRow, version: u64) {
    slog::info!(log, "queue.home"; "row" => ?row, "row_version" => version);
}

/// Logs that the home services of queues could not be written. Jobs are not accepted for them meanwhile.
pub(super) fn homes_not_written(log: &slog::Logger, queues: usize, reason: &str) {
    metrics::counter!("mangotrestle_homes_not_written_total").increment(1);
    slog::warn!(log, "queue.home_not_written"; "queues" => queues, "why" => reason);
}

/// Logs a request about a job that could not be answered.
pub(super) fn job_unknown(log: &slog::Logger, job: &id::JobId, queue: &Queue, reason: &str) {
    metrics::counter!("mangotrestle_jobs_unknown_total").increment(1);
    slog::warn!(log, "job.unknown"; "job" => job.as_str(), "queue" => &queue.policy.queue,
        "why" => reason);
}

/// Logs the answer to a request for a job's state.
pub(super) fn job_shown(log: &slog::Logger, job: &id::JobId, home: &str, state: Option<JobState>) {
    slog::debug!(log, "job.shown"; "job" => job.as_str(), "home" => home, "state" => ?state);
}

/// Logs the answer to a cancel request.
pub(super) fn job_cancelled(
    log: &slog::Logger,
    job: &id::JobId,
    (queue, home): (&Queue, &str),
    state: Option<JobState>,
) {
    slog::info!(log, "job.cancelled"; "job" => job.as_str(), "queue" => &queue.policy.queue,
        "home" => home, "state" => ?state);
}

/// Logs a commit that had no effect: the store refused it for the given reason, or jobs that it
/// would have accepted had been accepted earlier.
pub(super) fn commit_undone(
    log: &slog::Logger,
    pool: &str,
    term: u64,
    duplicates: usize,
    reason: Option<&str>,
) {
    metrics::counter!("mangotrestle_commits_undone_total").increment(1);
    slog::info!(log, "commit.undone"; "pool" => pool, "term" => term,
        "duplicates" => duplicates, "refused" => reason);
}

/// Logs a commit that the store keeps refusing, with its largest row.
pub(super) fn commit_refused(
    log: &slog::Logger,
    pool: &str,
    term: u64,
    error: &CallError,
    largest: Option<&(RowName, Value)>,
) {
    metrics::counter!("mangotrestle_commits_refused_total").increment(1);
    let (table, key) = largest.map_or(("", ""), |(name, _)| (&name.table, &name.key));
    let bytes = largest.map_or(0, |(_, value)| value.0.len());
    slog::warn!(log, "commit.refused"; "pool" => pool, "term" => term, "error" => %error,
        "largest_table" => table, "largest_key" => key, "largest_bytes" => bytes);
}

/// Logs what a pool holds of a team's cap from now on.
pub(super) fn share_written(log: &slog::Logger, pool: &str, team: &str, row: &ShareRow) {
    metrics::counter!("mangotrestle_shares_written_total").increment(1);
    if let Some(holding) = row.pools.get(pool) {
        let (turn, start) = holding
            .turn
            .map_or((0, Parts::NONE), |turn| (turn.order, turn.start));
        slog::info!(log, "team.share"; "team" => team, "pool" => pool,
            "held" => ?holding.held.0, "need" => ?holding.need.0, "turn" => turn,
            "start" => ?start.0, "next" => row.next_in_turn(), "term" => holding.term);
    }
}

/// Logs what became of both calls of a start order that was sent twice.
pub(super) fn start_repeated(
    log: &slog::Logger,
    start: &StartOrder<'_>,
    worker: &id::WorkerId,
    outcomes: &Outcomes<OrderResult>,
) {
    let other = match &outcomes.other {
        OtherCall::NotMade => return,
        OtherCall::Open => "open".to_owned(),
        OtherCall::Ended((answer, _)) => format!("{answer:?}"),
    };
    let (answer, _) = &outcomes.deciding;
    let (first, repeated) = match outcomes.call {
        Call::First => (format!("{answer:?}"), other),
        Call::Repeated => (other, format!("{answer:?}")),
    };
    metrics::counter!("mangotrestle_starts_repeated_total",
        "first" => first.clone(), "repeated" => repeated.clone())
    .increment(1);
    slog::info!(log, "run.start_repeated"; "task" => %start.task, "run" => start.run,
        "worker" => worker.as_str(), "first" => first, "repeated" => repeated);
}

/// Logs a decision or observation of a pool.
pub(super) fn log_note(log: &slog::Logger, pool: &str, term: u64, note: &Note) {
    match note {
        Note::Bound {
            task,
            run,
            worker,
            waited,
        } => {
            metrics::histogram!("mangotrestle_bound_seconds")
                .record(waited.as_duration().as_secs_f64());
            slog::info!(log, "run.bound"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "waited_ms" => waited.0, "pool" => pool,
                "term" => term);
        }
        Note::Advised {
            step,
            asked,
            allowed,
            after,
        } => {
            metrics::histogram!("mangotrestle_advice_seconds")
                .record(after.as_duration().as_secs_f64());
            slog::info!(log, "step.advised"; "step" => %step, "asked" => asked, "good" => ?allowed,
                "took_ms" => after.0, "pool" => pool);
        }
        Note::StepBlocked(blocked) => step_blocked(log, pool, term, blocked),
        Note::RunUnsettled(unsettled) => run_unsettled(log, term, unsettled),
        Note::OrderFailed {
            task,
            run,
            worker,
            answer,
            open_calls,
        } => {
            metrics::counter!("mangotrestle_orders_failed_total").increment(1);
            slog::info!(log, "order.failed"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "answer" => ?answer, "open_calls" => open_calls,
                "term" => term);
        }
        Note::RunEnded {
            task,
            run,
            worker,
            end,
            phase,
            since,
        } => {
            metrics::counter!("mangotrestle_runs_ended_total").increment(1);
            slog::info!(log, "run.ended"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "end" => ?end, "phase" => ?phase,
                "since_ms" => since.0);
        }
        Note::RowTooLarge { .. } | Note::OccurrencesDelayed { .. } => {
            log_held_back_job(log, pool, term, note);
        }
        Note::JobEnded { job, state, after } => {
            slog::info!(log, "job.ended"; "job" => job.as_str(), "state" => ?state,
                "after_ms" => after.0, "pool" => pool, "term" => term);
        }
        Note::TeamAtLimit { team, usage } => {
            let at_limit = usage.blocked.total != Resources::ZERO;
            metrics::counter!("mangotrestle_teams_at_limit_total").increment(u64::from(at_limit));
            slog::info!(log, "team.at_limit"; "team" => team.as_ref(), "pool" => pool,
                "at_limit" => at_limit, "used" => ?usage.used, "limit" => ?usage.limit,
                "blocked" => ?usage.blocked.total,
                "next_unit" => ?usage.blocked.first, "term" => term);
        }
        Note::TaskSuspected {
            task,
            run,
            worker,
            suspicion,
            given_up,
        } => {
            metrics::counter!("mangotrestle_tasks_suspected_total").increment(1);
            slog::warn!(log, "task.suspected"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "suspicion" => ?suspicion, "given_up" => given_up,
                "pool" => pool, "term" => term);
        }
        Note::Moved { .. }
        | Note::Preempted { .. }
        | Note::UnexpectedRun { .. }
        | Note::RunMissing { .. } => log_withdrawn_run(log, term, note),
        Note::WorkerUnresponsive { .. }
        | Note::EndsCut { .. }
        | Note::WorkerRestarted { .. }
        | Note::WorkerLapsed { .. }
        | Note::WorkerQuarantined { .. }
        | Note::WorkerGone { .. }
        | Note::WorkerDraining { .. } => log_worker_note(log, note),
    }
}

/// Logs a job of which nothing more begins for now.
fn log_held_back_job(log: &slog::Logger, pool: &str, term: u64, note: &Note) {
    match note {
        Note::RowTooLarge {
            job,
            bytes,
            max_bytes,
        } => {
            metrics::counter!("mangotrestle_rows_too_large_total").increment(1);
            slog::warn!(log, "assignment.too_large"; "job" => job.as_str(), "bytes" => bytes,
                "max_bytes" => max_bytes, "pool" => pool, "term" => term);
        }
        Note::OccurrencesDelayed {
            job,
            occurrence,
            late,
            open,
            delay,
        } => {
            metrics::counter!("mangotrestle_occurrences_delayed_total",
                "reason" => delay_reason(*delay))
            .increment(1);
            slog::info!(log, "occurrence.delayed"; "job" => job.as_str(),
                "occurrence" => occurrence, "late_ms" => late.0, "open" => open,
                "reason" => delay_reason(*delay), "pool" => pool, "term" => term);
        }
        _ => {}
    }
}

const fn delay_reason(delay: OccurrenceDelay) -> &'static str {
    match delay {
        OccurrenceDelay::Placement => "placement",
        OccurrenceDelay::Row => "row",
    }
}

/// Logs a run that is stopped before it has ended.
fn log_withdrawn_run(log: &slog::Logger, term: u64, note: &Note) {
    match note {
        Note::Moved {
            task,
            run,
            worker,
            percent,
            after,
        } => {
            metrics::counter!("mangotrestle_runs_moved_total").increment(1);
            slog::info!(log, "run.moved"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "percent" => percent, "after_ms" => after.0);
        }
        Note::Preempted {
            task,
            run,
            worker,
            wanted_by,
        } => {
            metrics::counter!("mangotrestle_runs_preempted_total").increment(1);
            slog::info!(log, "run.preempted"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "wanted_by" => %wanted_by);
        }
        Note::UnexpectedRun { task, run, worker } => {
            metrics::counter!("mangotrestle_stray_runs_total").increment(1);
            slog::warn!(log, "run.stray"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "term" => term);
        }
        Note::RunMissing {
            task,
            run,
            worker,
            received_end,
        } => {
            metrics::counter!("mangotrestle_runs_missing_total").increment(1);
            slog::warn!(log, "run.missing"; "task" => %task, "run" => run,
                "worker" => worker.as_str(), "received_end" => received_end, "term" => term);
        }
        _ => {}
    }
}

fn log_worker_note(log: &slog::Logger, note: &Note) {
    match note {
        Note::WorkerRestarted {
            worker,
            born_ms,
            runs,
            received_end,
        } => {
            metrics::counter!("mangotrestle_workers_restarted_total").increment(1);
            slog::warn!(log, "worker.restarted"; "worker" => worker.as_str(),
                "born_ms" => born_ms, "runs" => runs, "received_end" => received_end);
        }
        Note::EndsCut {
            worker,
            listed,
            received_end,
            durable_end,
        } => {
            metrics::counter!("mangotrestle_cut_reports_total").increment(1);
            slog::info!(log, "worker.ends_cut"; "worker" => worker.as_str(), "listed" => listed,
                "received_end" => received_end, "durable_end" => durable_end);
        }
        Note::WorkerUnresponsive { worker, runs } => {
            slog::warn!(log, "worker.silent"; "worker" => worker.as_str(), "runs" => runs);
        }
        Note::WorkerLapsed {
            worker,
            runs,
            ended,
        } => {
            slog::warn!(log, "worker.lapsed"; "worker" => worker.as_str(), "runs" => runs,
                "over" => ended);
        }
        Note::WorkerQuarantined { worker } => {
            slog::warn!(log, "worker.quarantined"; "worker" => worker.as_str());
        }
        Note::WorkerGone { worker } => {
            slog::info!(log, "worker.gone"; "worker" => worker.as_str());
        }
        Note::WorkerDraining { worker } => {
            slog::info!(log, "worker.draining"; "worker" => worker.as_str());
        }
        _ => {}
    }
}

fn step_blocked(log: &slog::Logger, pool: &str, term: u64, blocked: &BlockedStep) {
    metrics::counter!("mangotrestle_blocked_steps_total").increment(1);
    let room = &blocked.room;
    slog::info!(log, "step.blocked"; "step" => %blocked.step,
        "blocked_ms" => blocked.blocked_for.0, "together" => blocked.unit_size,
        "permitted" => room.permitted, "ticketed" => room.ticketed,
        "unreserved" => room.unreserved,
        "request_ms" => ?blocked.request_age.map(|age| age.0), "pool" => pool, "term" => term);
}

fn run_unsettled(log: &slog::Logger, term: u64, unsettled: &UnsettledRun) {
    slog::info!(log, "run.unsettled"; "task" => %unsettled.task, "run" => unsettled.run,
        "worker" => unsettled.worker.as_str(), "phase" => ?unsettled.phase,
        "since_ms" => unsettled.since.0, "term" => term);
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
