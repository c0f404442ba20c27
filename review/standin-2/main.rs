//! Stand-ins for the users' platform, and the scripts of review cases that play them against real hosts.
//!
//! The program starts `target/release/mangotrestle host` as separate processes. Store, machine list,
//! workers and clients are threads of this program; each has addresses of its own on loopback. Only the
//! standard library is used.
//!
//! Usage: `standin SCENARIO RECORD TROUBLE`. Exit status: 1 the rule was broken, 0 it held, 2 the case
//! could not run.

mod case_ends;
mod case_lasting;
mod case_memory;
mod case_rack;
mod json;
mod net;
mod platform;
mod record;
mod worker;

use std::path::Path;
use std::time::Duration;

/// Time after which a script gives up.
const TIME_LIMIT: Duration = Duration::from_secs(112);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: standin SCENARIO RECORD TROUBLE");
        std::process::exit(2);
    };
    let with_trouble = trouble != "0";
    let record = record::Record::create(Path::new(record));
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        watched.line("script", "time limit reached");
        watched.kill_children();
        std::process::exit(2);
    });
    let result = match scenario.as_str() {
        "ends" => case_ends::run(&record, with_trouble),
        "lasting" => case_lasting::run(&record, with_trouble),
        "memory" => case_memory::run(&record, with_trouble),
        "rack" => case_rack::run(&record, with_trouble),
        _ => Err(format!("no scenario {scenario}")),
    };
    record.kill_children();
    let status = match result {
        Ok(None) => {
            record.line("verdict", "the rule held");
            0
        }
        Ok(Some(broken)) => {
            record.line("verdict", &format!("broken: {broken}"));
            1
        }
        Err(reason) => {
            record.line("verdict", &format!("could not run: {reason}"));
            2
        }
    };
    record.flush();
    std::process::exit(status);
}
