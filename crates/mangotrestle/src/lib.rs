//! The parts of the `mangotrestle` binary, as a library, so that tests and developers' tools can
//! run them in their own process.

pub mod access;
pub mod command;
pub mod daemon;
pub mod host;
pub mod job_file;
pub mod logging;
pub mod position;
pub mod settings;
pub mod telemetry;
pub mod timestamp;
pub mod tls;
pub mod tokens;
