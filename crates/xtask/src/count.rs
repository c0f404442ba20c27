//! Counts lines of code by purpose, which it derives from the paths of the files.

use std::fs;
use std::io;
use std::path;

/// Parts of the paths of code for routing, limits, retries, membership and state.
const COORDINATION_PATHS: &[&str] = &[
    "mangotrestle-core/src/lease",
    "mangotrestle-core/src/membership",
    "mangotrestle-core/src/journal",
    "mangotrestle-core/src/configuration",
    "mangotrestle-core/src/routing",
    "mangotrestle-core/src/pool",
    "mangotrestle-caller/src",
    "mangotrestle-platform/src",
    "mangotrestle-peer/src",
    "mangotrestle/src/daemon",
];

/// Number of lines by purpose, including blank lines.
#[derive(Debug, Default)]
pub(crate) struct LineCounts {
    tests: usize,
    coordination: usize,
    other: usize,
}

impl LineCounts {
    fn add(&mut self, file: &str, lines: usize) {
        if is_test(file) {
            self.tests += lines;
        } else if COORDINATION_PATHS.iter().any(|part| file.contains(part)) {
            self.coordination += lines;
        } else {
            self.other += lines;
        }
    }

    /// Returns a table of the counts and their percentages of the total.
    pub(crate) fn table(&self) -> String {
        let total = (self.tests + self.coordination + self.other).max(1);
        let row = |name: &str, lines: usize| {
            format!("{name:<48} {lines:>7} {:>3} %\n", lines * 100 / total)
        };
        row("tests", self.tests)
            + &row(
                "routing, limits, retries, membership, state",
                self.coordination,
            )
            + &row("everything else", self.other)
    }
}

/// Counts the lines of all Rust files below a folder, except generated code.
pub(crate) fn count(root: &path::Path) -> io::Result<LineCounts> {
    let mut counts = LineCounts::default();
    let mut folders = vec![root.to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.is_dir() {
                folders.push(path);
            } else if is_counted_code(&path) {
                let text = fs::read_to_string(&path)?;
                counts.add(&path.to_string_lossy(), text.lines().count());
            }
        }
    }
    Ok(counts)
}

fn is_counted_code(path: &path::Path) -> bool {
    let is_rust = path.extension().is_some_and(|extension| extension == "rs");
    is_rust && path.file_name().is_some_and(|name| name != "generated.rs")
}

fn is_test(file: &str) -> bool {
    file.contains("/tests/") || file.ends_with("/tests.rs")
}
