//! Leases between workers and the leader of their pool.
//!
//! A worker accepts commands from the holder of its *worker lease*. The worker alone decides who
//! that is: each claim increments the lease's epoch, and a message with a lower epoch is refused.
//! The leader of a pool is the entry host that holds unexpired worker leases on a majority of the
//! pool's roster. Running tasks need renewals in any case, so the renewals also serve as votes.
//!
//! - [`grantor`]: the worker's side,
//! - [`leadership`]: the leader's side, for one pool in one entry host,
//! - [`roster`]: the worker incarnations that vote,
//! - [`clock`]: bounds on a clock of another process,
//! - [`message`]: messages between the two sides.
//!
//! Neither side does I/O or reads a clock. `docs/design/pools-and-leases.md` explains why a task
//! never has two copies running at once, and which states the tests explore.

pub mod clock;
pub mod grantor;
pub mod leadership;
pub mod message;
pub mod roster;
