//! HTTP front end for callers: accepts requests, chooses a target and forwards its answer.
//!
//! Every request has one of three outcomes, and the answer says which: a complete answer of a
//! target, *not run*, or *unknown*. [`front::Front`] is the server. It reads routes from a
//! [`snapshot_cell::SnapshotCell`] that the control thread publishes to, and reports counts to the
//! control thread over a bounded channel ([`traffic`]). Requests that must not run twice are
//! recorded first, see [`started`]. [`refusal`] lists the statuses and headers of answers,
//! [`request_head`] the headers of requests.

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
