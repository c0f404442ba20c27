//! Retries of a client that must not make an outage worse.
//!
//! A server answers every second request for a while and then nothing at all. The budget lets the
//! client retry as long as that helps, and holds it back in the outage.
//!
//! ```text
//! cargo run -p mangotrestle-core --example retry_budget
//! ```

use mangotrestle_core::routing::retry;
use mangotrestle_core::time;

/// Requests in each part of the example, one in each millisecond.
const REQUESTS: u64 = 1_000;

/// What one part came to.
#[derive(Default)]
struct Counts {
    answered: u64,
    sends: u64,
}

fn main() {
    let mut budget = retry::Budget::builder()
        .ratio_percent(100)
        .min_per_s(1)
        .burst(10)
        .build(time::TimeMs(0));
    let flaky = run(&mut budget, 0, |send| send % 2 == 0);
    show("every second request fails", &flaky);

    let mut budget = retry::Budget::builder()
        .ratio_percent(10)
        .min_per_s(1)
        .burst(10)
        .build(time::TimeMs(0));
    let outage = run(&mut budget, 0, |_| false);
    show("total outage", &outage);
}

/// Sends the requests; each may be sent again once, if the budget allows it.
fn run(budget: &mut retry::Budget, from_ms: u64, answers: impl Fn(u64) -> bool) -> Counts {
    let mut counts = Counts::default();
    for number in 0..REQUESTS {
        let now = time::TimeMs(from_ms + number);
        budget.first_attempt();
        counts.sends += 1;
        let mut answered = answers(counts.sends);
        if !answered && budget.try_retry(now) {
            counts.sends += 1;
            answered = answers(counts.sends);
        }
        counts.answered += u64::from(answered);
    }
    counts
}

fn show(what: &str, counts: &Counts) {
    println!(
        "{what}: {REQUESTS} requests, {} sends, {} answered",
        counts.sends, counts.answered
    );
}
