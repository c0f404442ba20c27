//! Tests of start orders that are sent in two calls: whatever becomes of the calls, no task has two runs
//! at a time, and every job ends.

use mangotrestle_core::workflow::message::OrderAnswer;
use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::start_calls::{StartCalls, StartOutcome};

use super::world::start_script::{Fate, StartScript};
use super::world::{Network, Violations, World, job, record, step, worker};

/// Time that a run takes: a run that was left behind is still there when the next one begins.
const WORK_MS: u64 = 3_000;
/// Time within which the job has ended, whatever became of its first starts.
const TIMEOUT_MS: u64 = 40_000;

/// Time within which late calls are carried out.
const MAX_LATE_MS: u64 = 12_000;

/// What else happens while the start order is out.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Nothing,
    /// No message reaches the worker for a while.
    Silence,
    /// Another leader takes over before the outcome is known.
    EarlyTakeover,
    /// Another leader takes over after the outcome was known.
    LateTakeover,
    /// The job is cancelled before the outcome is known.
    Cancel,
    /// Other orders get no answer, or are carried out late.
    LostAnswers,
}

/// Plays a job of one task whose first two start orders have these fates. Returns what is wrong.
fn play(scripts: [&StartScript; 2], trouble: Trouble) -> Option<String> {
    let mut world = World::new(90, 2);
    world.run_for(100);
    world.start_script = scripts.into_iter().cloned().collect();
    world.submit(&job(1), &record(0, vec![step(1, 1_000, WORK_MS, &[])]));
    world.run_for(200);
    match trouble {
        Trouble::Nothing => {}
        Trouble::Silence => {
            for name in ["w-0", "w-1"] {
                world.set_reachable(&worker(name), false);
            }
            world.run_for(1_000);
            for name in ["w-0", "w-1"] {
                world.set_reachable(&worker(name), true);
            }
        }
        Trouble::EarlyTakeover => world.change_leader(),
        Trouble::LateTakeover => {
            world.run_for(400);
            world.change_leader();
        }
        Trouble::Cancel => world.cancel(&job(1)),
        Trouble::LostAnswers => {
            world.network.lost_answers_per_mille = 200;
            world.network.late_orders_per_mille = 200;
            world.run_for(5_000);
            world.network = Network::default();
        }
    }
    let end = match trouble {
        Trouble::Cancel => JobState::Cancelled,
        _ => JobState::Completed,
    };
    let deadline = world.now + TIMEOUT_MS;
    while world.end_of(&job(1)).is_none() && world.now < deadline {
        world.run_for(100);
    }
    world.run_for(MAX_LATE_MS);
    let is_right = world.violations == Violations::default() && world.end_of(&job(1)) == Some(end);
    (!is_right).then(|| {
        let (violations, end) = (&world.violations, world.end_of(&job(1)));
        format!("{scripts:?}, {trouble:?}: {violations:?}, {end:?}")
    })
}

/// Plays everything that may become of a start order and of the one after it; returns the first plays
/// that went wrong.
fn explore(trouble: Trouble) -> Vec<String> {
    let first_scripts = StartScript::all();
    let second_scripts: Vec<StartScript> = Fate::with_outcome()
        .into_iter()
        .map(StartScript::once)
        .collect();
    let plays = first_scripts
        .iter()
        .flat_map(|first| second_scripts.iter().map(move |second| [first, second]));
    let wrong = plays.filter_map(|scripts| play(scripts, trouble));
    wrong.take(3).collect()
}

// Guards against a second run of a task while a call of the first one's start may still be carried out:
// after a refusal, after a connection that could not be opened, and after a call that was dropped.
#[test]
fn no_outcome_of_two_calls_lets_a_task_run_twice() {
    let wrong = explore(Trouble::Nothing);

    assert_eq!(wrong, Vec::<String>::new());
}

// Guards against a run that is taken from a silent worker although a call of its start is open.
#[test]
fn no_outcome_of_two_calls_lets_a_task_run_twice_beside_a_silent_worker() {
    let wrong = explore(Trouble::Silence);

    assert_eq!(wrong, Vec::<String>::new());
}

// Guards against a new leader that takes an earlier leader's start for settled.
#[test]
fn no_outcome_of_two_calls_lets_a_task_run_twice_if_the_leader_changes() {
    let early = explore(Trouble::EarlyTakeover);
    let late = explore(Trouble::LateTakeover);

    assert_eq!(early, Vec::<String>::new());
    assert_eq!(late, Vec::<String>::new());
}

// Guards against a cancelled run that begins since a call of its start was forgotten.
#[test]
fn no_outcome_of_two_calls_leaves_a_run_of_a_cancelled_job() {
    let wrong = explore(Trouble::Cancel);

    assert_eq!(wrong, Vec::<String>::new());
}

// Guards against a run that is settled by an order which was not answered or is carried out later.
#[test]
fn no_outcome_of_two_calls_lets_a_task_run_twice_beside_lost_answers() {
    let wrong = explore(Trouble::LostAnswers);

    assert_eq!(wrong, Vec::<String>::new());
}

// Guards against an outcome of one call that hides the other call.
#[test]
fn a_call_is_open_until_its_own_outcome_closes_it() {
    let twice = || {
        let mut calls = StartCalls::default();
        calls.add_call();
        calls.add_call();
        calls
    };
    let open_after = |outcome: StartOutcome| {
        let mut calls = twice();
        calls.record_outcome(&outcome);
        calls.open()
    };

    assert_eq!(open_after(StartOutcome::of_call(OrderAnswer::Done)), 1);
    assert_eq!(open_after(StartOutcome::of_call(OrderAnswer::Unhealthy)), 1);
    assert_eq!(open_after(StartOutcome::of_call(OrderAnswer::NotSent)), 1);
    assert_eq!(open_after(StartOutcome::of_call(OrderAnswer::Unknown)), 2);
    let refused = [OrderAnswer::Unhealthy, OrderAnswer::NotSent];
    assert_eq!(open_after(StartOutcome::of_calls(refused)), 0);
    let unanswered = [OrderAnswer::NotSent, OrderAnswer::Unknown];
    assert_eq!(open_after(StartOutcome::of_calls(unanswered)), 1);
}

// Guards against an order that counts as not sent, since one of its calls was not.
#[test]
fn the_answer_that_says_most_of_the_run_counts() {
    let answer_of = |answers| StartOutcome::of_calls(answers).answer().clone();

    let shown = answer_of([OrderAnswer::Unhealthy, OrderAnswer::Done]);
    let refused = answer_of([OrderAnswer::Unknown, OrderAnswer::NoRoom]);
    let unanswered = answer_of([OrderAnswer::NotSent, OrderAnswer::Unknown]);

    assert_eq!(shown, OrderAnswer::Done);
    assert_eq!(refused, OrderAnswer::NoRoom);
    assert_eq!(unanswered, OrderAnswer::Unknown);
}
