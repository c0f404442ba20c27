//! The configuration document: operators' settings for teams, pools and requests.
//!
//! Documents are versioned in the platform's table. A host only ever replaces its document by one
//! with a higher version ([`AppliedConfiguration`]), so an older document that arrives late or
//! repeatedly never replaces a newer one.
//!
//! A daemon of an older release may receive a document with fields that it does not know. It
//! ignores them; only the daemon that *accepts* a document refuses unknown fields, with
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
