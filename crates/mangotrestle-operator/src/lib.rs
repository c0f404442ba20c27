//! Operators' interface: gRPC server over a backend trait, and the matching client.
//!
//! The schema is `proto/operator.proto`; [`generated`] holds the code made from it. Everything
//! else in this crate keeps generated types at the edge: a request is checked and converted once
//! ([`convert`]), and both the backend and the users of the client see the types of [`message`].
//!
//! # When to use
//!
//! A daemon implements [`backend::OperatorBackend`] and hands it to [`server::OperatorServer`].
//! A program that drives a cluster uses [`client::OperatorClient`], which tries several entry hosts
//! in turn and resends a command with the same identifier, so that an unclear answer never turns
//! into a second effect.

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
