//! The `mangotrestle` binary; [`mangotrestle::command`] implements it.

use std::env;
use std::ffi;
use std::process;

use mangotrestle::command;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args_os()
        .skip(1)
        .map(|text| to_utf8_lossy(&text))
        .collect();
    let environment: Vec<(String, String)> = env::vars_os()
        .map(|(name, value)| (to_utf8_lossy(&name), to_utf8_lossy(&value)))
        .collect();
    command::main(&arguments, &environment).into()
}

/// Replaces invalid UTF-8 with U+FFFD, which parsers of identifiers, numbers and addresses refuse.
fn to_utf8_lossy(text: &ffi::OsStr) -> String {
    text.to_string_lossy().into_owned()
}
