//! A retry budget that keeps a client's retries from adding load during an outage.
//!
//! The first server answers every second request, the second none. The first budget allows a retry
//! for each failed request; the second bounds the number of sends during a total outage.
//!
//! ```text
//! cargo run -p mangotrestle-core --example retry_budget
//! ```

use mangotrestle_core::routing::retry;
use mangotrestle_core::time;

/// Number of requests in each part of the example, one per millisecond.
const REQUESTS: u64 = 1_000;

/// Counts of one part of the example.
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

/// Sends the requests. Each is retried at most once, if the budget allows it. `answers` returns
/// whether the server answers the send with the given number.
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

fn show(scenario: &str, counts: &Counts) {
    println!(
        "{scenario}: {REQUESTS} requests, {} sends, {} answered",
        counts.sends, counts.answered
    );
}
