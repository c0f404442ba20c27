//! Figures as people read them.

use super::{Figure, Target, Verdict};

/// Significant digits of a figure.
const SIGNIFICANT_DIGITS: i32 = 4;

/// From this magnitude on, and below its inverse, a figure is shown with a power of ten.
const LARGE: f64 = 1e9;

/// A number with four significant digits, without a trailing fraction of zeros.
#[must_use]
pub fn format_value(value: f64) -> String {
    if !value.is_finite() {
        return value.to_string();
    }
    let magnitude = value.abs();
    if magnitude >= LARGE || (magnitude > 0.0 && magnitude < 1.0 / LARGE) {
        return format!("{value:.3e}");
    }
    // The logarithm of a number in this range is small, so that nothing is cut off.
    #[allow(clippy::cast_possible_truncation)]
    let exponent = if magnitude == 0.0 {
        0
    } else {
        magnitude.log10().floor() as i32
    };
    let decimals = usize::try_from(SIGNIFICANT_DIGITS - 1 - exponent).unwrap_or(0);
    let text = format!("{value:.decimals$}");
    if text.contains('.') {
        return text.trim_end_matches('0').trim_end_matches('.').to_owned();
    }
    text
}

/// The target, or `-` if there is none.
#[must_use]
pub fn format_target(figure: &Figure) -> String {
    match figure.target {
        None => "-".to_owned(),
        Some(Target::AtMost(bound)) => format!("<= {}", format_value(bound)),
        Some(Target::AtLeast(bound)) => format!(">= {}", format_value(bound)),
    }
}

/// The naive version's value, or `-` if there is none.
#[must_use]
pub fn format_naive(figure: &Figure) -> String {
    figure.naive.map_or_else(|| "-".to_owned(), format_value)
}

/// The word that says whether the target is met; `-` without a target.
#[must_use]
pub const fn verdict_word(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Pass => "pass",
        Verdict::Short => "short",
        Verdict::Info => "-",
    }
}
