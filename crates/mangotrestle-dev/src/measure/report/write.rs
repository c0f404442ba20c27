//! Files of a written report.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use serde::Serialize;

use super::html;
use super::number;
use super::{Figure, Report};

/// Name of the page for people.
pub const PAGE: &str = "report.html";

/// Name of the file for programs.
pub const DATA: &str = "report.json";

/// Why a report could not be written.
#[derive(Debug)]
pub struct WriteError {
    path: PathBuf,
    problem: String,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.problem)
    }
}

impl std::error::Error for WriteError {}

/// A figure with its verdict, since a reader of the file should not have to work it out.
#[derive(Serialize)]
struct JudgedFigure<'a> {
    #[serde(flatten)]
    figure: &'a Figure,
    verdict: &'static str,
}

#[derive(Serialize)]
struct JudgedReport<'a> {
    experiment: &'a str,
    seed: u64,
    figures: Vec<JudgedFigure<'a>>,
    plots: &'a [super::Plot],
}

fn judge(report: &Report) -> JudgedReport<'_> {
    let figures = report.figures.iter().map(|figure| JudgedFigure {
        figure,
        verdict: number::verdict_word(figure.verdict()),
    });
    JudgedReport {
        experiment: &report.experiment,
        seed: report.seed,
        figures: figures.collect(),
        plots: &report.plots,
    }
}

/// The reports as JSON, with the verdict of each figure.
///
/// # Errors
///
/// The library's message.
pub fn to_json(reports: &[Report]) -> Result<String, serde_json::Error> {
    let judged: Vec<JudgedReport<'_>> = reports.iter().map(judge).collect();
    serde_json::to_string_pretty(&judged)
}

/// Writes [`PAGE`] and [`DATA`] into a directory, which is made if need be.
///
/// # Errors
///
/// [`WriteError`] with the path at fault.
pub fn write_all(directory: &Path, reports: &[Report]) -> Result<(), WriteError> {
    let failed = |path: &Path, problem: &dyn fmt::Display| WriteError {
        path: path.to_owned(),
        problem: problem.to_string(),
    };
    fs::create_dir_all(directory).map_err(|error| failed(directory, &error))?;
    let page_path = directory.join(PAGE);
    let page = html::render(reports).map_err(|error| failed(&page_path, &error))?;
    fs::write(&page_path, page).map_err(|error| failed(&page_path, &error))?;
    let data_path = directory.join(DATA);
    let data = to_json(reports).map_err(|error| failed(&data_path, &error))?;
    fs::write(&data_path, data).map_err(|error| failed(&data_path, &error))
}
