//! Operator interface: a gRPC server over a backend trait, and the matching client.
//!
//! The schema is `proto/operator.proto`; [`generated`] is the code generated from it. Generated
//! types are used only for transport: [`convert`] validates and converts each request once, and
//! both backends and users of the client work with the types of [`message`].
//!
//! # When to use
//!
//! A daemon implements [`backend::OperatorBackend`] and passes it to [`server::OperatorServer`]. A
//! program that controls a cluster uses [`client::OperatorClient`], which tries several entry hosts
//! in turn. It resends a command with the same identifier, so that a command whose answer was lost
//! takes effect only once.

pub mod auth;
pub mod backend;
pub mod client;
pub mod convert;
pub mod message;
pub mod server;

/// Code generated from the schema file.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod generated;
