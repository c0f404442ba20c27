//! The `mangotrestle-dev` program: runs a demonstration, a local cell or measurements.

use std::process;

use argh::FromArgs;
use mangotrestle_dev::demo;
use mangotrestle_dev::measure::command;
use mangotrestle_dev::up;

/// Tools for developers of mangotrestle.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(demo::DemoArguments),
    Measure(command::MeasureArguments),
    Up(up::UpArguments),
}

fn main() -> process::ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Measure(arguments) => command::run(&arguments),
        Command::Up(arguments) => up::run(&arguments),
    }
}
