//! Runs a whole cell until the process is interrupted.

use std::process;

use argh::FromArgs;

use crate::cell;
use crate::profile;

/// Runs a whole cell until interrupted and prints its addresses.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "up")]
pub struct UpArguments {
    /// deployment: authority or laboratory (default: authority)
    #[argh(option, default = "String::from(\"authority\")")]
    pub profile: String,
    /// number of entry hosts (default: the deployment's)
    #[argh(option)]
    pub entry_hosts: Option<u32>,
    /// seed of all random numbers (default: 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// write the entry hosts' log to stderr
    #[argh(switch)]
    pub verbose: bool,
}

/// Runs a cell until the process is interrupted.
#[must_use]
pub fn run(arguments: &UpArguments) -> process::ExitCode {
    let Some(profile) = profile::Profile::by_name(&arguments.profile) else {
        eprintln!(
            "unknown profile {:?}: expected authority or laboratory",
            arguments.profile
        );
        return process::ExitCode::from(2);
    };
    let result = tokio::runtime::Runtime::new()
        .map_err(|error| error.to_string())
        .and_then(|runtime| runtime.block_on(run_until_interrupted(profile, arguments)));
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("cannot run the cell: {problem}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run_until_interrupted(
    profile: &profile::Profile,
    arguments: &UpArguments,
) -> Result<(), String> {
    let entry_hosts = arguments.entry_hosts.unwrap_or(profile.entry_hosts);
    let (log, _guard) = cell::logger(arguments.verbose);
    let cell = cell::Cell::builder(profile)
        .log(log)
        .entry_hosts(entry_hosts)
        .seed(arguments.seed)
        .start()
        .await?;
    print_addresses(&cell);
    tokio::signal::ctrl_c()
        .await
        .map_err(|error| error.to_string())?;
    cell.stop().await
}

fn print_addresses(cell: &cell::Cell) {
    println!("{}", cell.profile().title);
    println!("table service  {}", cell.platform.table_address);
    println!("object store   {}", cell.platform.objects_address);
    println!("host list      {}", cell.platform.hosts_address);
    for host in &cell.entry_hosts {
        println!(
            "{:<20} operators {}  callers {}  health {}",
            host.id, host.addresses.operators, host.addresses.callers, host.addresses.health
        );
    }
    if let Some(host) = cell.entry_hosts.first() {
        let endpoint = host.addresses.operators;
        println!("\ntry:");
        println!("  cargo run -p mangotrestle -- status --endpoint {endpoint}");
        println!("  cargo run -p mangotrestle -- worker list --endpoint {endpoint}");
    }
    println!("\ninterrupt to stop");
}
