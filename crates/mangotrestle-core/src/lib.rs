//! Decisions of the mangotrestle cluster scheduler, without I/O and without a clock.
//!
//! Everything in this crate is a plain state machine: typed events and a time go in, typed
//! commands come out. The daemon, the tests and the measurements all drive the same code, so what
//! is proved under a virtual clock is what runs in production. Nothing here depends on an async
//! runtime; other programs can embed any single module.

pub mod collections;
pub mod configuration;
pub mod id;
pub mod job;
pub mod journal;
pub mod lease;
pub mod membership;
pub mod pool;
pub mod resources;
pub mod result_code;
pub mod routing;
pub mod scheduler;
pub mod task;
pub mod time;
pub mod workflow;
