//! Leases between workers and the leader of their pool.
//!
//! A worker is led by whoever holds its *worker lease*. The worker alone decides who that is: each
//! claim raises the lease's epoch, and a message with a lower epoch is refused. The leader of a
//! pool is whoever holds unlapsed worker leases on a majority of the pool's roster, so two leaders
//! can never both act.

pub mod message;
