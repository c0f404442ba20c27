//! Which entry hosts are there, and who should try to lead a pool.
//!
//! Everything here is a *hint*. Who may act is decided by the workers' leases and by the
//! platform's table; a wrong hint costs a refused message and nothing else. That is why no group
//! of entry hosts has to agree on the membership.
//!
//! - [`Membership`] folds heartbeats and the lagging host list into a view of the entry hosts.
//! - [`failure_detector`] turns arrival times of heartbeats into a suspicion level.
//! - [`rendezvous`] ranks hosts for a pool, so that a join or a leave moves few pools.
//! - [`pause`] notices that this process stood still, before it acts on what it knew.

pub mod failure_detector;
pub mod pause;
pub mod rendezvous;
mod view;

pub use view::{
    ListedHost, ListedState, Membership, MembershipBuilder, PeerChange, PeerState,
    ReceivedHeartbeat,
};
