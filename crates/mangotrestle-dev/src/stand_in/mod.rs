//! Small stand-ins for the outside systems, each able to misbehave on command.

pub mod host_list;
pub mod object_store;
pub mod service;
pub mod table;
pub mod worker;
