//! Messages between entry hosts, as JSON-RPC over HTTP.
//!
//! Peers exchange only hints and copies: which peers are alive, which configuration version exists,
//! which targets a pool has, what a leader has not yet made durable. State that needs agreement or
//! durability goes through the platform's table, so a lost, late, repeated or reordered message
//! only causes a delay.
//!
//! Two releases may run in one zone. Readers ignore unknown fields, every field that was added
//! later has a default, and the heartbeat contains the [protocol
//! version](message::PROTOCOL_VERSION) of the sender.
//!
//! A daemon implements [`PeerBackend`], serves it with [`PeerServer::serve`] and calls its peers
//! with [`PeerClient`].

pub mod cell;
mod cell_rpc;
mod client;
pub mod message;
mod rpc_server;
mod server;

pub use client::{PeerClient, PeerError};
pub use server::{PeerBackend, PeerServer};
