//! Counts lines of code by purpose, from the paths of the files.

use std::fs;
use std::io;
use std::path;

/// Parts of paths whose code routes, limits, retries, or keeps membership and state.
const COORDINATION: &[&str] = &[
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

/// Lines by purpose; blank lines count as well.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    tests: usize,
    coordination: usize,
    other: usize,
}

impl Lines {
    fn add(&mut self, file: &str, lines: usize) {
        if is_test(file) {
            self.tests += lines;
        } else if COORDINATION.iter().any(|part| file.contains(part)) {
            self.coordination += lines;
        } else {
            self.other += lines;
        }
    }

    /// A table of the counts with their shares.
    pub(crate) fn table(&self) -> String {
        let all = (self.tests + self.coordination + self.other).max(1);
        let row = |name: &str, lines: usize| {
            format!("{name:<48} {lines:>7} {:>3} %\n", lines * 100 / all)
        };
        row("tests", self.tests)
            + &row(
                "routing, limits, retries, membership, state",
                self.coordination,
            )
            + &row("everything else", self.other)
    }
}

/// Counts all code below a folder, except generated code.
pub(crate) fn count(root: &path::Path) -> io::Result<Lines> {
    let mut lines = Lines::default();
    let mut folders = vec![root.to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.is_dir() {
                folders.push(path);
            } else if is_code(&path) {
                let text = fs::read_to_string(&path)?;
                lines.add(&path.to_string_lossy(), text.lines().count());
            }
        }
    }
    Ok(lines)
}

fn is_code(path: &path::Path) -> bool {
    let rust = path.extension().is_some_and(|extension| extension == "rs");
    rust && path.file_name().is_some_and(|name| name != "generated.rs")
}

fn is_test(file: &str) -> bool {
    file.contains("/tests/") || file.ends_with("/tests.rs")
}
