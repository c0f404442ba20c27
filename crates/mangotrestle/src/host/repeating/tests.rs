//! Tests of what the sender of a repeated call learns of both calls.

use std::time::Duration;

use tokio::time::Instant;

use super::{Call, OtherCall, Outcomes, REPEAT_DELAY, call};

/// Outcome that decides; any other does not.
const DECIDES: &str = "done";

/// Returns an outcome after a time.
async fn after(delay_ms: u64, outcome: &'static str) -> &'static str {
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    outcome
}

/// Makes a call that ends after a time, and a second one that ends so long after it was made.
async fn call_twice(
    first: (u64, &'static str),
    second: (u64, &'static str),
) -> Outcomes<&'static str> {
    call(
        after(first.0, first.1),
        REPEAT_DELAY,
        || true,
        || after(second.0, second.1),
        |outcome| *outcome == DECIDES,
    )
    .await
}

#[tokio::test(start_paused = true)]
async fn a_call_that_is_answered_in_time_is_not_repeated() {
    let outcomes = call_twice((100, DECIDES), (0, "unused")).await;

    assert_eq!((outcomes.call, outcomes.deciding), (Call::First, DECIDES));
    assert_eq!(outcomes.other, OtherCall::NotMade);
}

#[tokio::test(start_paused = true)]
async fn a_late_host_repeats_nothing() {
    let first = after(300, "refused");
    let outcomes = call(
        first,
        REPEAT_DELAY,
        || false,
        || after(0, DECIDES),
        |_| true,
    )
    .await;

    assert_eq!((outcomes.call, outcomes.deciding), (Call::First, "refused"));
    assert_eq!(outcomes.other, OtherCall::NotMade);
}

// Guards against a refusal that is taken for the outcome of both calls while the other one is out.
#[tokio::test(start_paused = true)]
async fn a_refusal_does_not_hide_that_the_repeated_call_was_carried_out() {
    let outcomes = call_twice((200, "refused"), (300, DECIDES)).await;

    assert_eq!(
        (outcomes.call, outcomes.deciding),
        (Call::Repeated, DECIDES)
    );
    assert_eq!(outcomes.other, OtherCall::Ended("refused"));
}

// Guards against a first call that is dropped, and settled by the refusal of the second one.
#[tokio::test(start_paused = true)]
async fn a_refusal_of_the_repeated_call_does_not_hide_the_first_one() {
    let outcomes = call_twice((400, "unanswered"), (50, "refused")).await;

    assert_eq!(
        (outcomes.call, outcomes.deciding),
        (Call::First, "unanswered")
    );
    assert_eq!(outcomes.other, OtherCall::Ended("refused"));
}

#[tokio::test(start_paused = true)]
async fn both_outcomes_are_known_if_neither_decides() {
    let began = Instant::now();
    let outcomes = call_twice((400, "not sent"), (350, "unanswered")).await;

    assert_eq!(
        (outcomes.call, outcomes.deciding),
        (Call::First, "not sent")
    );
    assert_eq!(outcomes.other, OtherCall::Ended("unanswered"));
    assert!(began.elapsed() <= Duration::from_millis(501));
}

#[tokio::test(start_paused = true)]
async fn a_call_is_open_if_the_other_one_decides() {
    let first_decides = call_twice((250, DECIDES), (200, "unused")).await;
    let second_decides = call_twice((250, "unused"), (20, DECIDES)).await;

    assert_eq!(first_decides.call, Call::First);
    assert_eq!(first_decides.other, OtherCall::Open);
    assert_eq!(second_decides.call, Call::Repeated);
    assert_eq!(second_decides.other, OtherCall::Open);
}
