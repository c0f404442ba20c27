//! The `mangotrestle` binary; see [`mangotrestle::command`].

use std::env;
use std::ffi;
use std::process;

use mangotrestle::command;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args_os().skip(1).map(|text| lossy(&text)).collect();
    let environment: Vec<(String, String)> = env::vars_os()
        .map(|(name, value)| (lossy(&name), lossy(&value)))
        .collect();
    command::main(&arguments, &environment).into()
}

/// Text that is no UTF-8 becomes text that no check accepts.
fn lossy(text: &ffi::OsStr) -> String {
    text.to_string_lossy().into_owned()
}
