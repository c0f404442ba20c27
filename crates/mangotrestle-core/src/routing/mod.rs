//! Choice of targets for callers' requests, limits and retries.
//!
//! Every policy here is a plain value: the time and the random numbers are arguments, so each can
//! be embedded alone and tested under a virtual clock.
//!
//! | module | question it answers | use it alone when |
//! | --- | --- | --- |
//! | [`token_bucket`] | is there room for one more in this second? | anything has a rate |
//! | [`retry`] | may this attempt be repeated, and when? | calling anything that fails |
//! | [`latency`] | how long does it usually take? | an estimate must cost O(1) |
//! | [`limit`] | how many at the same time? | a server's capacity is not known |
//! | [`outlier`] | should this replica be left out? | one of several replicas may be bad |
//! | [`choice`] | which replica? | loads differ and are known locally |
//! | [`wait_queue`] | who waits, and how long? | waiting longer than a bound is useless |
//! | [`slot_share`] | who may use how much of a shared capacity? | several clients share a server |
//! | [`router`] | all of it together | routing requests to services |
//!
//! [`snapshot`] is what the control thread publishes for the traffic threads.

pub mod choice;
pub mod latency;
pub mod limit;
pub mod outlier;
pub mod retry;
pub mod router;
pub mod slot_share;
pub mod snapshot;
pub mod token_bucket;
pub mod wait_queue;
