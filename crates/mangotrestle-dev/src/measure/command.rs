//! `mangotrestle-dev measure`: runs experiments and shows what they found.
//!
//! The exit code is zero whether figures pass or fall short; it is one if an experiment could not
//! run or its report could not be written, and two if there is no such experiment.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use super::control;
use super::lease;
use super::node;
use super::place;
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
    /// Runs it with a seed; the error says why it could not run.
    pub run: fn(u64) -> Result<Report, String>,
}

/// Every experiment, in the order of `measure all`.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "place",
        about: "placement: cost of a decision, urgent starts, waiting and packing, memory",
        run: |seed| Ok(place::run(seed)),
    },
    Experiment {
        name: "lease",
        about: "cost of renewing workers' leases",
        run: |seed| Ok(lease::run(seed)),
    },
    Experiment {
        name: "route",
        about: "requests: overload, bad targets, retries, slot shares, at most once",
        run: |seed| Ok(route::run(seed)),
    },
    Experiment {
        name: "recover",
        about: "store outages, recovery of a pool's state, configuration in force",
        run: |seed| Ok(recover::run(seed)),
    },
    Experiment {
        name: "control",
        about: "cost of heartbeats, membership, configuration and journal, part by part",
        run: |seed| Ok(control::run(seed)),
    },
    Experiment {
        name: "node",
        about: "standing cost of a whole entry host that leads a pool",
        run: node::run,
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
    let (reports, mut failed) = run_each(&chosen, arguments.seed);
    if let Some(directory) = &arguments.report {
        match write::write_all(directory, &reports) {
            Ok(()) => println!("report: {}", directory.join(write::PAGE).display()),
            Err(error) => {
                eprintln!("the report cannot be written: {error}");
                failed = true;
            }
        }
    }
    u8::from(failed)
}

fn choose<'a>(experiments: &'a [Experiment], name: &str) -> Vec<&'a Experiment> {
    let wanted = |experiment: &&Experiment| name == ALL || experiment.name == name;
    experiments.iter().filter(wanted).collect()
}

/// Runs experiments one after the other; one that cannot run does not stop the others.
fn run_each(experiments: &[&Experiment], seed: u64) -> (Vec<Report>, bool) {
    let mut reports = Vec::new();
    let mut failed = false;
    for experiment in experiments {
        match (experiment.run)(seed) {
            Ok(report) => {
                println!("{}", text::render(&report));
                reports.push(report);
            }
            Err(problem) => {
                eprintln!("{} could not run: {problem}", experiment.name);
                failed = true;
            }
        }
    }
    (reports, failed)
}

fn unknown(experiments: &[Experiment], name: &str) -> String {
    let mut lines = vec![format!("there is no experiment {name:?}, expected one of:")];
    for experiment in experiments {
        lines.push(format!("  {:<10} {}", experiment.name, experiment.about));
    }
    lines.push(format!("  {ALL:<10} every experiment above"));
    lines.join("\n")
}
