//! Placeholder.

/// Code generated from the schema file.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod generated;
