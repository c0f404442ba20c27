//! Sends a call again that is not answered in the usual time.
//!
//! Workers leave some orders and polls unanswered. Those that may be repeated are sent once more beside
//! the first, so that a lost answer costs a fraction of a second and not the call's timeout. A host that
//! is late itself repeats nothing, since its load would only grow.

use std::future::Future;
use std::time::Duration;

use super::cell::Cell;

#[cfg(test)]
mod tests;

/// Time beyond a call's usual duration after which it is sent again.
pub(super) const REPEAT_DELAY: Duration = Duration::from_millis(150);
/// Lag of a host from which it is late, and repeats no calls.
const MAX_LAG_MS: u64 = 60;

/// Whether this host is so late with its own work that more calls would only make it later.
pub(super) fn is_late(cell: &Cell) -> bool {
    cell.load.lag_ms() >= MAX_LAG_MS
}

/// One of the two calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Call {
    /// The first one.
    First,
    /// The repeated one.
    Repeated,
}

/// What became of the call whose outcome does not count.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OtherCall<T> {
    /// It was not made.
    NotMade,
    /// It was dropped without an outcome, and may still be carried out.
    Open,
    /// It ended.
    Ended(T),
}

/// Outcomes of a call that may have been repeated.
#[derive(Debug)]
pub(super) struct Outcomes<T> {
    /// The outcome that counts.
    pub(super) deciding: T,
    /// The call that it is of.
    pub(super) call: Call,
    /// The other call.
    pub(super) other: OtherCall<T>,
}

/// Makes a call, and `repeated` beside it if there is no answer after `delay` and it may be repeated.
/// Returns the first outcome for which `decides` holds, and drops the other call. If neither decides, the
/// first call's outcome counts and both calls have ended.
pub(super) async fn call<T, F: Future<Output = T>>(
    first: impl Future<Output = T>,
    delay: Duration,
    may_repeat: impl FnOnce() -> bool,
    repeated: impl FnOnce() -> F,
    decides: impl Fn(&T) -> bool,
) -> Outcomes<T> {
    let mut first = std::pin::pin!(first);
    let outcomes = |call, deciding, other| Outcomes {
        deciding,
        call,
        other,
    };
    if let Ok(outcome) = tokio::time::timeout(delay, &mut first).await {
        return outcomes(Call::First, outcome, OtherCall::NotMade);
    }
    if !may_repeat() {
        return outcomes(Call::First, first.await, OtherCall::NotMade);
    }
    metrics::counter!("mangotrestle_calls_repeated_total").increment(1);
    let mut repeated = std::pin::pin!(repeated());
    let (ended, outcome) = tokio::select! {
        outcome = &mut first => (Call::First, outcome),
        outcome = &mut repeated => (Call::Repeated, outcome),
    };
    if decides(&outcome) {
        return outcomes(ended, outcome, OtherCall::Open);
    }
    let (first, second) = match ended {
        Call::First => (outcome, repeated.await),
        Call::Repeated => (first.await, outcome),
    };
    if decides(&second) {
        outcomes(Call::Repeated, second, OtherCall::Ended(first))
    } else {
        outcomes(Call::First, first, OtherCall::Ended(second))
    }
}
