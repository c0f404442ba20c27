//! Experiments that measure the system and compare the results with targets and with naive
//! implementations.

pub mod command;
pub mod control;
pub mod lease;
pub mod node;
pub mod place;
pub mod recover;
pub mod report;
pub mod route;
