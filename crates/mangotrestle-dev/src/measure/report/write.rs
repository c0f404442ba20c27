//! Writes reports to files.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use serde::Serialize;

use super::html;
use super::number;
use super::{Figure, Report};

/// File name of the HTML report.
pub const HTML_FILE: &str = "report.html";

/// File name of the JSON report.
pub const JSON_FILE: &str = "report.json";

/// Failure to write a report, with the path of the file or directory.
#[derive(Debug)]
pub struct WriteError {
    path: PathBuf,
    message: String,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.message)
    }
}

impl std::error::Error for WriteError {}

/// A figure with its verdict, so that programs that read the file need not compute it.
#[derive(Serialize)]
struct FigureWithVerdict<'a> {
    #[serde(flatten)]
    figure: &'a Figure,
    verdict: &'static str,
}

#[derive(Serialize)]
struct ReportWithVerdicts<'a> {
    experiment: &'a str,
    seed: u64,
    figures: Vec<FigureWithVerdict<'a>>,
    plots: &'a [super::Plot],
}

fn with_verdicts(report: &Report) -> ReportWithVerdicts<'_> {
    let figures = report.figures.iter().map(|figure| FigureWithVerdict {
        figure,
        verdict: number::verdict_word(figure.verdict()),
    });
    ReportWithVerdicts {
        experiment: &report.experiment,
        seed: report.seed,
        figures: figures.collect(),
        plots: &report.plots,
    }
}

/// Returns the reports as JSON, with the verdict of each figure.
///
/// # Errors
///
/// If the reports cannot be serialized.
pub fn to_json(reports: &[Report]) -> Result<String, serde_json::Error> {
    let reports_with_verdicts: Vec<ReportWithVerdicts<'_>> =
        reports.iter().map(with_verdicts).collect();
    serde_json::to_string_pretty(&reports_with_verdicts)
}

/// Writes [`HTML_FILE`] and [`JSON_FILE`] into a directory, which is created if it is missing.
///
/// # Errors
///
/// [`WriteError`] if a plot cannot be drawn, or the directory or a file cannot be written.
pub fn write_all(directory: &Path, reports: &[Report]) -> Result<(), WriteError> {
    let write_error = |path: &Path, message: &dyn fmt::Display| WriteError {
        path: path.to_owned(),
        message: message.to_string(),
    };
    fs::create_dir_all(directory).map_err(|error| write_error(directory, &error))?;
    let html_path = directory.join(HTML_FILE);
    let html = html::render(reports).map_err(|error| write_error(&html_path, &error))?;
    fs::write(&html_path, html).map_err(|error| write_error(&html_path, &error))?;
    let json_path = directory.join(JSON_FILE);
    let json = to_json(reports).map_err(|error| write_error(&json_path, &error))?;
    fs::write(&json_path, json).map_err(|error| write_error(&json_path, &error))
}
