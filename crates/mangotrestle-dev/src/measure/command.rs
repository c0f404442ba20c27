//! `mangotrestle-dev measure`: runs experiments and shows what they found.
//!
//! The exit code is zero whether figures pass or fall short; it is one if the report could not be
//! written, and two if there is no such experiment. An experiment that cannot run panics, which
//! ends the program with a code other than zero as well.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use super::control;
use super::recover;
use super::report::Report;
use super::report::text;
use super::report::write;
use super::route;

/// Name that stands for every experiment.
const ALL: &str = "all";

/// Runs an experiment, or all of them, and shows each figure with its target.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "measure")]
pub struct MeasureArguments {
    /// name of the experiment, or all
    #[argh(positional)]
    pub experiment: String,

    /// seed of random choices (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,

    /// directory for report.html and report.json
    #[argh(option)]
    pub report: Option<PathBuf>,
}

/// An experiment that can be run by its name.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// What it measures, in a few words.
    pub about: &'static str,
    /// Runs it with a seed.
    pub run: fn(u64) -> Report,
}

/// Every experiment, in the order of `measure all`.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "route",
        about: "requests: goodput, latency, retries and outcomes",
        run: route::run,
    },
    Experiment {
        name: "recover",
        about: "take-over of pools, store outages, configuration",
        run: recover::run,
    },
    Experiment {
        name: "control",
        about: "standing cost of control and its slopes",
        run: control::run,
    },
];

/// Runs the command with the experiments of this program.
#[must_use]
pub fn run(arguments: &MeasureArguments) -> ExitCode {
    ExitCode::from(run_with(EXPERIMENTS, arguments))
}

/// Runs the command with other experiments; returns the number of the exit code.
#[must_use]
pub fn run_with(experiments: &[Experiment], arguments: &MeasureArguments) -> u8 {
    let chosen = choose(experiments, &arguments.experiment);
    if chosen.is_empty() {
        eprintln!("{}", unknown(experiments, &arguments.experiment));
        return 2;
    }
    let reports = run_each(&chosen, arguments.seed);
    let Some(directory) = &arguments.report else {
        return 0;
    };
    match write::write_all(directory, &reports) {
        Ok(()) => {
            println!("report: {}", directory.join(write::PAGE).display());
            0
        }
        Err(error) => {
            eprintln!("the report cannot be written: {error}");
            1
        }
    }
}

fn choose<'a>(experiments: &'a [Experiment], name: &str) -> Vec<&'a Experiment> {
    let wanted = |experiment: &&Experiment| name == ALL || experiment.name == name;
    experiments.iter().filter(wanted).collect()
}

/// Runs experiments one after the other, and shows each report as soon as it is there.
fn run_each(experiments: &[&Experiment], seed: u64) -> Vec<Report> {
    let run = |experiment: &&Experiment| {
        let report = (experiment.run)(seed);
        println!("{}", text::render(&report));
        report
    };
    experiments.iter().map(run).collect()
}

fn unknown(experiments: &[Experiment], name: &str) -> String {
    let mut lines = vec![format!("there is no experiment {name:?}, expected one of:")];
    for experiment in experiments {
        lines.push(format!("  {:<10} {}", experiment.name, experiment.about));
    }
    lines.push(format!("  {ALL:<10} every experiment above"));
    lines.join("\n")
}
