//! Choice of targets for callers' requests, limits and retries.
//!
//! Every policy here is a plain value: the time and the random numbers are arguments, so each can
//! be embedded alone and tested under a virtual clock. [`snapshot`] is what the control thread
//! publishes for the traffic threads.

pub mod snapshot;
