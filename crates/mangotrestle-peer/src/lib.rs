//! Messages between entry hosts, by JSON-RPC over HTTP.
//!
//! Peers exchange hints and copies only: who is there, which configuration version exists, which
//! targets a pool has, what a leader has not yet made durable. What must be agreed or kept goes
//! through the platform's table; a lost, late, repeated or reordered message here costs time and
//! nothing else.
//!
//! Two releases may run in one zone. Readers ignore fields that they do not know, every field that
//! was added later has a default, and [`message::PROTOCOL`] in the heartbeat says what the sender
//! understands.
//!
//! A daemon implements [`PeerBackend`], serves it by [`PeerServer::serve`] and calls others by
//! [`PeerClient`].

pub mod cell;
mod cell_rpc;
mod client;
pub mod message;
mod server;

pub use client::{PeerClient, PeerError};
pub use server::{PeerBackend, PeerServer};
