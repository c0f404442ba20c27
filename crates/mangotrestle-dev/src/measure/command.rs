//! The `mangotrestle-dev measure` command: runs experiments and prints their results.
//!
//! Exit codes: 0 if all experiments ran, even if figures miss their targets; 1 if an experiment
//! could not run or the report could not be written; 2 if there is no experiment of the given name.

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

/// Argument that selects every experiment.
const ALL_EXPERIMENTS: &str = "all";

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
    /// Summary of what it measures, shown when the name on the command line is unknown.
    pub about: &'static str,
    /// Runs it with a seed. The error is the reason why it could not run.
    pub run: fn(u64) -> Result<Report, String>,
}

/// All experiments, in the order in which `measure all` runs them.
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

/// Runs the command with [`EXPERIMENTS`].
#[must_use]
pub fn run(arguments: &MeasureArguments) -> ExitCode {
    ExitCode::from(run_with(EXPERIMENTS, arguments))
}

/// Runs the command with the given experiments and returns the exit code.
#[must_use]
pub fn run_with(experiments: &[Experiment], arguments: &MeasureArguments) -> u8 {
    let selected = select(experiments, &arguments.experiment);
    if selected.is_empty() {
        eprintln!(
            "{}",
            unknown_experiment_message(experiments, &arguments.experiment)
        );
        return 2;
    }
    let (reports, mut failed) = run_each(&selected, arguments.seed);
    if let Some(directory) = &arguments.report {
        match write::write_all(directory, &reports) {
            Ok(()) => println!("report: {}", directory.join(write::HTML_FILE).display()),
            Err(error) => {
                eprintln!("cannot write the report: {error}");
                failed = true;
            }
        }
    }
    u8::from(failed)
}

fn select<'a>(experiments: &'a [Experiment], name: &str) -> Vec<&'a Experiment> {
    let matches_name =
        |experiment: &&Experiment| name == ALL_EXPERIMENTS || experiment.name == name;
    experiments.iter().filter(matches_name).collect()
}

/// Runs experiments one after the other and returns their reports and whether any could not run.
/// The others still run if one fails.
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

fn unknown_experiment_message(experiments: &[Experiment], name: &str) -> String {
    let mut lines = vec![format!("there is no experiment {name:?}, expected one of:")];
    for experiment in experiments {
        lines.push(format!("  {:<10} {}", experiment.name, experiment.about));
    }
    lines.push(format!("  {ALL_EXPERIMENTS:<10} every experiment above"));
    lines.join("\n")
}
