//! Job files: a job as an operator writes it down.
//!
//! A job file is TOML with the fields of [`job::JobSpec`]:
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
//! A file that cannot be used is reported with line, column, field and what was expected. Faults
//! that show only when the fields are compared are all reported at once.

use std::fmt;
use std::fs;
use std::io::Read;
use std::path::Path;

use mangotrestle_core::job;
use toml::de::{DeTable, DeValue};

use crate::position;

/// Greatest size of a job file, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 * 1024;

/// Greatest length of the text of one fault, in bytes.
const MAX_PROBLEM_BYTES: usize = 512;

/// Names of the resources that a task can need.
const NEEDS: [&str; 4] = ["cpu_millicores", "memory_mib", "accelerators", "slots"];

/// One thing that is wrong with a job file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Number of the line, from one; zero if the fault has no place.
    pub line: usize,
    /// Number of the character in the line, from one.
    pub column: usize,
    /// Path of the field, such as `need.slots`; empty if the fault is in no field.
    pub field: String,
    /// What is wrong and what was expected.
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

/// Everything found wrong with a job file; never empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidJobFile {
    /// The faults.
    pub faults: Vec<Fault>,
}

impl InvalidJobFile {
    fn without_place(problem: String) -> Self {
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

/// Reads a job from a file.
///
/// # Errors
///
/// [`InvalidJobFile`] with the place of each fault.
pub fn load(path: &Path) -> Result<job::JobSpec, InvalidJobFile> {
    let explain = |error: std::io::Error| {
        InvalidJobFile::without_place(format!("the file cannot be read: {error}"))
    };
    let file = fs::File::open(path).map_err(explain)?;
    let mut text = String::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_string(&mut text)
        .map_err(explain)?;
    parse(&text)
}

/// Reads a job from text.
///
/// # Errors
///
/// [`InvalidJobFile`] with the place of each fault.
pub fn parse(text: &str) -> Result<job::JobSpec, InvalidJobFile> {
    if text.len() as u64 > MAX_FILE_BYTES {
        let problem = format!("the file has more than {MAX_FILE_BYTES} bytes");
        return Err(InvalidJobFile::without_place(problem));
    }
    let spec: job::JobSpec = toml::from_str(text).map_err(|error| InvalidJobFile {
        faults: vec![syntax_fault(text, &error)],
    })?;
    let mut faults = unknown_needs(text);
    if let Err(invalid) = spec.validate() {
        let invalid = invalid.iter();
        faults.extend(invalid.map(|fault| field_fault(text, &fault.to_string())));
    }
    if faults.is_empty() {
        Ok(spec)
    } else {
        Err(InvalidJobFile { faults })
    }
}

/// Fields of `need` that name no resource. The type itself lets them pass, because journals of a
/// later version may have more of them.
fn unknown_needs(text: &str) -> Vec<Fault> {
    let Ok(table) = DeTable::parse(text) else {
        return Vec::new();
    };
    let need = table.get_ref().get("need").map(toml::Spanned::get_ref);
    let Some(DeValue::Table(need)) = need else {
        return Vec::new();
    };
    need.keys()
        .filter(|key| !NEEDS.contains(&key.get_ref().as_ref()))
        .map(|key| fault_at(text, key.span().start, format!("need.{}", key.get_ref())))
        .collect()
}

fn fault_at(text: &str, offset_bytes: usize, field: String) -> Fault {
    Fault {
        line: position::line_at(text, offset_bytes),
        column: position::column_at(text, offset_bytes),
        field,
        problem: format!("unknown field, expected one of {}", NEEDS.join(", ")),
    }
}

/// The fault that the TOML library found.
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

/// A fault of the job as a whole; its text begins with the field's name.
fn field_fault(text: &str, message: &str) -> Fault {
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

/// Path of the innermost field whose key or value holds a byte.
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
