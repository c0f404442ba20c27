//! Leases between workers and the leader of their pool.
//!
//! A worker is led by whoever holds its *worker lease*. The worker alone decides who that is: each
//! claim raises the lease's epoch, and a message with a lower epoch is refused. The leader of a
//! pool is whoever holds unlapsed worker leases on a majority of the pool's roster, so that the
//! renewals which running tasks need anyway are also the votes.
//!
//! - [`grantor`] is the worker's side,
//! - [`leadership`] is the leader's side, for one pool in one entry host,
//! - [`roster`] lists the incarnations that vote,
//! - [`clock`] bounds one process's clock by another's,
//! - [`message`] holds what the two sides say to each other.
//!
//! Neither side does I/O or reads a clock. `docs/design/pools-and-leases.md` tells why one copy of
//! a task holds, and what was explored.

pub mod clock;
pub mod grantor;
pub mod leadership;
pub mod message;
pub mod roster;
