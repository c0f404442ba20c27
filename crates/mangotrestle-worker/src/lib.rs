//! The workers' lease protocol over gRPC: the client that entry hosts use, and the server side
//! that workers and their stand-ins build on.
//!
//! - [`client::WorkerClient`] sends one worker the messages of
//!   [`mangotrestle_core::lease::message`] and tells three failures apart: not sent, refused, and
//!   outcome unknown.
//! - [`service::WorkerService`] is what a worker implements; [`service::server`] makes a gRPC
//!   service of it.
//! - [`convert`] holds the checked conversions: nothing that arrives is trusted to be well-formed
//!   or small.
//!
//! The schema is `proto/worker.proto`; [`generated`] is made from it by `xtask`.

pub mod client;
pub mod convert;
/// Code generated from the schema file.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod generated;
pub mod service;
pub mod size;
