//! Decision logic of the mangotrestle cluster scheduler, without I/O and without a clock.
//!
//! Everything in this crate is a plain state machine: it takes typed events and a time and returns
//! typed commands. The daemon, the tests and the measurements run the same code, so the code tested
//! under a virtual clock is the code that runs in production. Nothing here depends on an async
//! runtime; other programs can embed any single module.

pub mod collections;
pub mod configuration;
pub mod id;
pub mod intake;
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
