//! Tests of teams that share a deployment.

mod caps;
mod exploration;
mod flood;
mod identity;
mod store;
mod turns;
