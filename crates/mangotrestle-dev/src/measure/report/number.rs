//! Formats figures for people.

use super::{Figure, Target, Verdict};

/// Number of significant digits to which fractions are rounded.
const SIGNIFICANT_DIGITS: i32 = 4;

/// Values of at least this magnitude, or below its inverse, are formatted in scientific notation.
const SCIENTIFIC_MAGNITUDE: f64 = 1e9;

/// Formats a number with four significant digits, without trailing zeros in the fraction. All
/// digits of the integer part are kept, unless the notation is scientific.
#[must_use]
pub fn format_value(value: f64) -> String {
    if !value.is_finite() {
        return value.to_string();
    }
    let magnitude = value.abs();
    if magnitude >= SCIENTIFIC_MAGNITUDE
        || (magnitude > 0.0 && magnitude < 1.0 / SCIENTIFIC_MAGNITUDE)
    {
        return format!("{value:.3e}");
    }
    // The logarithm of a number in this range fits into `i32`.
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

/// Formats the target, or returns `-` if there is none.
#[must_use]
pub fn format_target(figure: &Figure) -> String {
    match figure.target {
        None => "-".to_owned(),
        Some(Target::AtMost(bound)) => format!("<= {}", format_value(bound)),
        Some(Target::AtLeast(bound)) => format!(">= {}", format_value(bound)),
    }
}

/// Formats the naive version's value, or returns `-` if there is none.
#[must_use]
pub fn format_naive(figure: &Figure) -> String {
    figure.naive.map_or_else(|| "-".to_owned(), format_value)
}

/// Returns the word that reports show for a verdict: `pass`, `short`, or `-` without a target.
#[must_use]
pub const fn verdict_word(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Pass => "pass",
        Verdict::Short => "short",
        Verdict::Info => "-",
    }
}
