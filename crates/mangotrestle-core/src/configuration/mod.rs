//! The configuration document: what operators decide about teams, pools and requests.
//!
//! Documents are versioned in the platform's table, and the version is their order. A host holds a
//! version upwards only ([`AppliedConfiguration`]), so an accepted document never reverts, however
//! late or often an older one arrives.
//!
//! A daemon of an older release may meet a document with fields that it does not know. It ignores
//! them; only the daemon that *accepts* a document refuses unknown fields, by
//! [`Document::validate`].

mod applied;
mod diff;
mod document;
mod validate;

pub use applied::{AppliedConfiguration, Offer};
pub use diff::{Change, diff};
pub use document::{
    Document, PoolPolicy, RequestLimits, ScoreWeights, TeamPolicy, Unknown, WarmWindow,
};
pub use validate::Fault;
