//! Target selection, limits and retries for callers' requests.
//!
//! Every policy here is a plain value that takes the time and a random number generator as
//! arguments, so each can be used alone and tested under a virtual clock.
//!
//! | module | question it answers | use it alone when |
//! | --- | --- | --- |
//! | [`token_bucket`] | may one more request start at this rate? | anything has a rate |
//! | [`retry`] | may this attempt be repeated, and when? | calling anything that fails |
//! | [`latency`] | how long does an answer usually take? | an estimate must cost O(1) |
//! | [`limit`] | how many requests at the same time? | a server's capacity is not known |
//! | [`outlier`] | should this replica be ejected? | one of several replicas may be faulty |
//! | [`choice`] | which replica? | loads differ and are known locally |
//! | [`wait_queue`] | who is next, and how long may it wait? | long waits are useless |
//! | [`slot_share`] | how much of a server may each client use? | clients share a server |
//! | [`router`] | all of it together | routing requests to services |
//!
//! [`snapshot`] holds the routes that the control thread publishes for the traffic threads.

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
