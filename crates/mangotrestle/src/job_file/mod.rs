//! Parser for job files, in which operators describe a job.
//!
//! A job file is a TOML document with the fields of [`job::JobSpec`]:
//!
//! ```
//! let text = r#"
//!     id = "furan-fit-0412"
//!     team = "spectral"
//!     pool = "gikondo"
//!     kind = "gang"
//!     urgency = "normal"
//!     tasks = 4
//!     run_time_ms = 90_000
//!
//!     [need]
//!     cpu_millicores = 8_000
//!     memory_mib = 16_384
//!     accelerators = 2
//!     slots = 1
//! "#;
//! let spec = mangotrestle::job_file::parse(text).unwrap();
//! assert_eq!(spec.tasks, 4);
//! ```
//!
//! Errors give line, column, field and what was expected. For a syntax error or a value of the
//! wrong type only the first fault is reported; all faults found by validating the parsed job are
//! reported together.

use std::fmt;
use std::fs;
use std::io::Read;
use std::path::Path;

use mangotrestle_core::job;
use toml::de::{DeTable, DeValue};

use crate::position;

/// Maximum size of a job file.
pub const MAX_FILE_BYTES: u64 = 64 * 1024;

/// Maximum length of the TOML library's message in one fault; longer ones are cut off.
const MAX_PROBLEM_BYTES: usize = 512;

/// Fields of the table `need`: the resources that a task can need.
const NEED_FIELDS: [&str; 4] = ["cpu_millicores", "memory_mib", "accelerators", "slots"];

/// Fault in a job file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Line number, starting at one; zero if the position is not known.
    pub line: usize,
    /// Position in the line in characters, starting at one; zero if it is not known.
    pub column: usize,
    /// Path of the field, such as `need.slots`; empty if the fault doesn't concern one field.
    pub field: String,
    /// Error message, with what was expected.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}, column {}: ", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.problem)
    }
}

/// All faults found in a job file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidJobFile {
    /// Faults; never empty.
    pub faults: Vec<Fault>,
}

impl InvalidJobFile {
    fn without_position(problem: String) -> Self {
        let fault = Fault {
            line: 0,
            column: 0,
            field: String::new(),
            problem,
        };
        Self {
            faults: vec![fault],
        }
    }
}

impl fmt::Display for InvalidJobFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let texts: Vec<String> = self.faults.iter().map(ToString::to_string).collect();
        f.write_str(&texts.join("\n"))
    }
}

impl std::error::Error for InvalidJobFile {}

/// Reads and parses a job file.
///
/// # Errors
///
/// [`InvalidJobFile`] if the file cannot be read or its content has faults.
pub fn load(path: &Path) -> Result<job::JobSpec, InvalidJobFile> {
    let read_error = |error: std::io::Error| {
        InvalidJobFile::without_position(format!("the file cannot be read: {error}"))
    };
    let file = fs::File::open(path).map_err(read_error)?;
    let mut text = String::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_string(&mut text)
        .map_err(read_error)?;
    parse(&text)
}

/// Parses the text of a job file.
///
/// # Errors
///
/// [`InvalidJobFile`] with the position of each fault.
pub fn parse(text: &str) -> Result<job::JobSpec, InvalidJobFile> {
    if text.len() as u64 > MAX_FILE_BYTES {
        let problem = format!("the file has more than {MAX_FILE_BYTES} bytes");
        return Err(InvalidJobFile::without_position(problem));
    }
    let spec: job::JobSpec = toml::from_str(text).map_err(|error| InvalidJobFile {
        faults: vec![syntax_fault(text, &error)],
    })?;
    let mut faults = unknown_need_fields(text);
    if let Err(invalid) = spec.validate() {
        let invalid_fields = invalid.iter();
        faults.extend(invalid_fields.map(|fault| validation_fault(text, &fault.to_string())));
    }
    if faults.is_empty() {
        Ok(spec)
    } else {
        Err(InvalidJobFile { faults })
    }
}

/// Returns a fault for each unknown field of the table `need`. Deserialization itself accepts
/// unknown resources, because journals written by a later version may contain them.
fn unknown_need_fields(text: &str) -> Vec<Fault> {
    let Ok(table) = DeTable::parse(text) else {
        return Vec::new();
    };
    let need = table.get_ref().get("need").map(toml::Spanned::get_ref);
    let Some(DeValue::Table(need)) = need else {
        return Vec::new();
    };
    need.keys()
        .filter(|key| !NEED_FIELDS.contains(&key.get_ref().as_ref()))
        .map(|key| {
            unknown_need_field_fault(text, key.span().start, format!("need.{}", key.get_ref()))
        })
        .collect()
}

fn unknown_need_field_fault(text: &str, offset_bytes: usize, field: String) -> Fault {
    Fault {
        line: position::line_at(text, offset_bytes),
        column: position::column_at(text, offset_bytes),
        field,
        problem: format!("unknown field, expected one of {}", NEED_FIELDS.join(", ")),
    }
}

/// Converts an error of the TOML library: a syntax error, or a value that doesn't fit its field.
fn syntax_fault(text: &str, error: &toml::de::Error) -> Fault {
    let offset_bytes = error.span().map(|span| span.start);
    let mut field = String::new();
    if let (Some(offset_bytes), Ok(table)) = (offset_bytes, DeTable::parse(text)) {
        field = path_at(table.get_ref(), offset_bytes);
    }
    let message = error.message();
    let problem = &message[..message.floor_char_boundary(MAX_PROBLEM_BYTES)];
    Fault {
        line: offset_bytes.map_or(0, |offset| position::line_at(text, offset)),
        column: offset_bytes.map_or(0, |offset| position::column_at(text, offset)),
        field,
        problem: problem.to_owned(),
    }
}

/// Converts a message of [`job::JobSpec::validate`], which begins with the field's name.
fn validation_fault(text: &str, message: &str) -> Fault {
    let (field, problem) = message.split_once(": ").unwrap_or(("", message));
    let table = DeTable::parse(text).ok();
    let offset_bytes = table.and_then(|table| {
        let entry = table
            .get_ref()
            .iter()
            .find(|(key, _)| key.get_ref() == field);
        entry.map(|(key, _)| key.span().start)
    });
    Fault {
        line: offset_bytes.map_or(0, |offset| position::line_at(text, offset)),
        column: offset_bytes.map_or(0, |offset| position::column_at(text, offset)),
        field: field.to_owned(),
        problem: problem.to_owned(),
    }
}

/// Returns the path of the innermost field whose key or value contains the byte at `offset_bytes`;
/// empty if there is none.
fn path_at(table: &DeTable<'_>, offset_bytes: usize) -> String {
    for (key, value) in table {
        if key.span().contains(&offset_bytes) {
            return key.get_ref().to_string();
        }
        let DeValue::Table(inner) = value.get_ref() else {
            if value.span().contains(&offset_bytes) {
                return key.get_ref().to_string();
            }
            continue;
        };
        let path = path_at(inner, offset_bytes);
        if !path.is_empty() {
            return format!("{}.{path}", key.get_ref());
        }
        if value.span().contains(&offset_bytes) {
            return key.get_ref().to_string();
        }
    }
    String::new()
}

#[cfg(test)]
mod tests;
