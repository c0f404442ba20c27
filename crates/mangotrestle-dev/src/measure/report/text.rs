//! Renders reports as text for a terminal.

use super::number;
use super::{Figure, Report};

const HEADER: [&str; 6] = ["FIGURE", "VALUE", "UNIT", "TARGET", "NAIVE", ""];

/// Renders the figures of a report as a table with one line per figure.
#[must_use]
pub fn render(report: &Report) -> String {
    let header = HEADER.map(str::to_owned);
    let mut rows = vec![header];
    rows.extend(report.figures.iter().map(cells));
    let widths = widths(&rows);
    let mut text = format!("{} (seed {})\n", report.experiment, report.seed);
    for row in &rows {
        text.push_str(&line(row, &widths));
    }
    text
}

fn cells(figure: &Figure) -> [String; 6] {
    [
        figure.name.clone(),
        number::format_value(figure.value),
        figure.unit.clone(),
        number::format_target(figure),
        number::format_naive(figure),
        number::verdict_word(figure.verdict()).to_owned(),
    ]
}

fn widths(rows: &[[String; 6]]) -> [usize; 6] {
    let mut widths = [0; 6];
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    widths
}

fn line(row: &[String; 6], widths: &[usize; 6]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("  {}\n", cells.join("  ").trim_end())
}
