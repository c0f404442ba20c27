//! Which entry hosts exist, and which of them should try to lead a pool.
//!
//! All results are *hints*. The workers' leases and the platform's table decide which host may act;
//! a wrong hint only costs a refused message. Entry hosts therefore don't have to agree on the
//! membership.
//!
//! - [`Membership`] combines heartbeats and the lagging host list into a view of the entry hosts.
//! - [`failure_detector`] computes a suspicion level from arrival times of heartbeats.
//! - [`rendezvous`] ranks hosts for a pool, so that few pools move when a host joins or leaves.
//! - [`pause`] detects that this process was paused, before it acts on outdated state.

pub mod failure_detector;
pub mod pause;
pub mod rendezvous;
mod view;

pub use view::{
    ListedHost, ListedState, Membership, MembershipBuilder, PeerChange, PeerState,
    ReceivedHeartbeat,
};
