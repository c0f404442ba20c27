//! Sends a call again that is not answered in the usual time.
//!
//! Workers leave some orders and polls unanswered. Those that may be repeated are sent once more beside
//! the first, so that a lost answer costs a fraction of a second and not the call's timeout. A host that
//! is late itself repeats nothing, since its load would only grow.

use std::future::Future;
use std::time::Duration;

use super::cell::Cell;

/// Time beyond a call's usual duration after which it is sent again.
pub(super) const REPEAT_DELAY: Duration = Duration::from_millis(150);
/// Lag of a host from which it is late, and repeats no calls.
const MAX_LAG_MS: u64 = 60;

/// Whether this host is so late with its own work that more calls would only make it later.
pub(super) fn is_late(cell: &Cell) -> bool {
    cell.load.lag_ms() >= MAX_LAG_MS
}

/// Answer to a call that may have been repeated.
pub(super) struct Answered<T> {
    /// The answer.
    pub(super) answer: T,
    /// Whether it is the answer to the repeated call, and there is none to the first.
    pub(super) first_is_open: bool,
}

/// Makes a call, and `repeated` beside it if there is no answer after `delay`. Returns the first answer
/// that is one by `is_answer`, otherwise the first call's outcome.
pub(super) async fn call<T, F: Future<Output = T>>(
    cell: &Cell,
    first: impl Future<Output = T>,
    delay: Duration,
    repeated: impl FnOnce() -> F,
    is_answer: impl Fn(&T) -> bool,
) -> Answered<T> {
    let mut first = std::pin::pin!(first);
    let answered = |answer| Answered {
        answer,
        first_is_open: false,
    };
    if let Ok(answer) = tokio::time::timeout(delay, &mut first).await {
        return answered(answer);
    }
    if is_late(cell) {
        return answered(first.await);
    }
    metrics::counter!("mangotrestle_calls_repeated_total").increment(1);
    let repeated = std::pin::pin!(repeated());
    tokio::select! {
        answer = &mut first => answered(answer),
        answer = repeated => {
            if is_answer(&answer) {
                return Answered { answer, first_is_open: true };
            }
            answered(first.await)
        }
    }
}
