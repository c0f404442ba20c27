//! Small stand-ins for the systems outside of mangotrestle, each with faults that tests can inject.

pub mod host_list;
pub mod object_store;
pub mod service;
pub mod table;
pub mod worker;
