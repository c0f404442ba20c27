//! Experiments, each of which gives figures beside their targets and a naive version's figures.

pub mod command;
pub mod control;
pub mod lease;
pub mod node;
pub mod place;
pub mod recover;
pub mod report;
pub mod route;
