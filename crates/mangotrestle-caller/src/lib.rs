//! The callers' HTTP front: takes requests, chooses a target, passes the answer back.
//!
//! Every request ends in one of three ways, and the caller is told which: answered whole by a
//! target, *not run*, or *unknown*. [`front::Front`] is the server; it reads routes from a
//! [`snapshot_cell::SnapshotCell`] that the control thread publishes to, and reports counts back
//! over a bounded channel ([`traffic`]). Requests that must not run twice go through [`started`]
//! records. [`refusal`] lists the statuses and headers that callers see, [`request_head`] those
//! that they may send.

mod answer_body;
mod connection;
mod dispatcher;
mod exchange;
mod forward;
pub mod front;
mod headers;
mod payload;
mod record;
pub mod refusal;
pub mod request_head;
pub mod snapshot_cell;
pub mod started;
pub mod traffic;
