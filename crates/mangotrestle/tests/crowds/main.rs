//! Tests of hosts whose callers, peers and observers send more than a process can hold.
//!
//! A host gets a machine with little memory and few descriptors, so that a crowd of some hundred
//! connections would exceed both. Each test checks that the process lives, that its memory and its
//! descriptors stay within those of the machine, and that an ordinary job is accepted while the crowd
//! is still connected. The tests run one at a time.

#[path = "../host/platform.rs"]
mod platform;
#[path = "../host/proxy.rs"]
#[allow(dead_code, reason = "these tests use only a part of the proxy")]
mod proxy;

mod crowd;
mod entry_hosts;
mod footprint;
mod jobs;
mod listeners;
mod machine;
mod requests;
mod single_requests;
