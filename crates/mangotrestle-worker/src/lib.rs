//! The lease protocol of workers over gRPC: the client for entry hosts, and the server for workers
//! and for test stand-ins of workers.
//!
//! - [`client::WorkerClient`] sends the messages of [`mangotrestle_core::lease::message`] to one
//!   worker and distinguishes three failures: not sent, refused, and outcome unknown.
//! - [`service::WorkerService`] is the trait that a worker implements; [`service::server`] turns an
//!   implementation into a gRPC service.
//! - [`convert`] validates and converts received messages, including their size.
//!
//! The schema is `proto/worker.proto`; `xtask` generates [`generated`] from it.

pub mod client;
pub mod convert;
/// Code generated from the schema file.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod generated;
pub mod service;
pub mod size;
