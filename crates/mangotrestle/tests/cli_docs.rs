//! Checks that the operators' pages agree with the code: settings, codes, metrics and log events.

mod cli_support;

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use mangotrestle::command::ExitCode;
use mangotrestle::settings;
use mangotrestle_core::result_code::ResultCode;

/// Returns the rows of all tables of a page whose first cell is wanted, with trimmed cells.
fn rows(page: &str, is_wanted: impl Fn(&str) -> bool) -> Vec<Vec<String>> {
    let lines = page.lines().filter(|line| line.starts_with('|'));
    lines
        .map(|line| {
            let cells = line.trim_matches('|').split('|');
            cells.map(|cell| cell.trim().to_owned()).collect()
        })
        .filter(|row: &Vec<String>| is_wanted(&row[0]))
        .collect()
}

/// Returns the wanted first cells of all tables of a page, without backticks.
fn names(page: &str, is_wanted: impl Fn(&str) -> bool) -> BTreeSet<String> {
    let first_cells = rows(page, is_wanted).into_iter().map(|row| row[0].clone());
    first_cells
        .map(|name| name.trim_matches('`').to_owned())
        .collect()
}

fn is_number(cell: &str) -> bool {
    !cell.is_empty() && cell.bytes().all(|byte| byte.is_ascii_digit())
}

/// Returns the source text of all shipped packages, without tests and generated code.
fn sources() -> Vec<String> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut texts = Vec::new();
    for entry in fs::read_dir(crates).unwrap() {
        let package = entry.unwrap().path();
        let is_shipped = !package.ends_with("mangotrestle-dev") && !package.ends_with("xtask");
        if is_shipped {
            read_sources(&package.join("src"), &mut texts);
        }
    }
    texts
}

fn read_sources(directory: &Path, texts: &mut Vec<String>) {
    let mut paths: Vec<PathBuf> = fs::read_dir(directory)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    for path in paths {
        if path.is_dir() {
            if !path.ends_with("tests") {
                read_sources(&path, texts);
            }
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && !path.ends_with("tests.rs")
            && !path.ends_with("generated.rs")
        {
            texts.push(fs::read_to_string(path).unwrap());
        }
    }
}

/// Returns the first string literal in each use of one of the macros.
fn first_literals(text: &str, macros: &[&str]) -> Vec<String> {
    let mut found = Vec::new();
    for name in macros {
        for (offset, _) in text.match_indices(name) {
            let mut parts = text[offset + name.len()..].splitn(3, '"');
            let before = parts.next().unwrap_or_default();
            let literal = parts.next().unwrap_or_default();
            if !before.contains(';') && !before.contains('}') {
                found.push(literal.to_owned());
            }
        }
    }
    found
}

/// Returns the string literals of the form `word.word`, such as kinds of events.
fn dotted_literals(text: &str) -> Vec<String> {
    let is_word = |word: &str| {
        !word.is_empty()
            && word
                .bytes()
                .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
    };
    let literals = text.split('"').skip(1).step_by(2);
    literals
        .filter(|literal| literal.split('.').count() == 2 && literal.split('.').all(is_word))
        .map(str::to_owned)
        .collect()
}

#[test]
fn settings_page_matches_the_settings_table() {
    let page = cli_support::page("docs/operators/install-and-settings.md");

    let documented = rows(&page, |first| {
        first.starts_with("`--") && first != "`--print-settings`"
    });

    let expected: Vec<Vec<String>> = settings::TABLE
        .iter()
        .map(|declaration| {
            let range = declaration.range.as_ref();
            let range = range.map(|range| format!("{} to {}", range.start(), range.end()));
            let default = match declaration.default {
                None => "required".to_owned(),
                Some("") => String::new(),
                Some(text) => format!("`{text}`"),
            };
            vec![
                format!("`{}`", declaration.flag()),
                format!("`{}`", declaration.variable()),
                declaration.unit.to_owned(),
                range.unwrap_or_default(),
                default,
                declaration.help().to_owned(),
            ]
        })
        .collect();
    let expected_lines: Vec<String> = expected
        .iter()
        .map(|row| format!("| {} |", row.join(" | ")))
        .collect();
    assert_eq!(
        documented,
        expected,
        "the table should be:\n{}",
        expected_lines.join("\n")
    );
}

#[test]
fn result_code_page_lists_every_code() {
    let page = cli_support::page("docs/RESULT-CODES.md");

    let documented: Vec<(String, String)> = rows(&page, is_number)
        .into_iter()
        .map(|row| (row[0].clone(), row[1].clone()))
        .collect();

    let expected: Vec<(String, String)> = ResultCode::ALL
        .iter()
        .map(|code| (code.number().to_string(), format!("`{}`", code.slug())))
        .collect();
    assert_eq!(documented, expected);
}

#[test]
fn result_code_page_gives_exit_code_meaning_and_remedy() {
    let page = cli_support::page("docs/RESULT-CODES.md");

    for row in rows(&page, is_number) {
        let code = ResultCode::from_number(row[0].parse().unwrap()).unwrap();
        assert_eq!(row[2], ExitCode::of(code).number().to_string(), "{row:?}");
        assert!(!row[3].is_empty() && !row[4].is_empty(), "{row:?}");
    }
}

#[test]
fn command_line_page_lists_every_exit_code() {
    let page = cli_support::page("docs/operators/command-line.md");

    let documented: Vec<String> = rows(&page, is_number)
        .into_iter()
        .map(|row| row[0].clone())
        .collect();

    let expected: Vec<String> = ExitCode::ALL
        .iter()
        .map(|code| code.number().to_string())
        .collect();
    assert_eq!(documented, expected);
}

#[test]
fn metrics_page_lists_the_metrics_of_the_code() {
    let page = cli_support::page("docs/operators/metrics.md");
    let macros = ["counter!(", "gauge!(", "histogram!("];

    let documented = names(&page, |first| first.starts_with("`mangotrestle_"));

    let used: BTreeSet<String> = sources()
        .iter()
        .flat_map(|text| first_literals(text, &macros))
        .collect();
    assert_eq!(documented, used);
}

#[test]
fn log_page_lists_the_events_of_the_code() {
    let page = cli_support::page("docs/operators/log-events.md");
    let macros = ["info!(", "warn!(", "error!(", "crit!(", "debug!("];

    let documented = names(&page, |first| first.starts_with('`'));

    let mut daemon_sources = Vec::new();
    read_sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src/daemon"),
        &mut daemon_sources,
    );
    let mut used: BTreeSet<String> = sources()
        .iter()
        .flat_map(|text| first_literals(text, &macros))
        .filter(|event| event != "{}")
        .collect();
    used.extend(daemon_sources.iter().flat_map(|text| dotted_literals(text)));
    assert_eq!(documented, used);
}
