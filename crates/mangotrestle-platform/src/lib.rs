//! Clients of the platform: table service, object store and host list.
//!
//! Entry hosts keep nothing, so whatever must last goes through these clients. They are built for
//! a store that is slow, down for an hour, or loses an answer after the write took effect:
//!
//! - [`table`] sends conditional transactions and settles a lost answer by reading the write's own
//!   row back;
//! - [`object_store`] keeps immutable objects with a checksum;
//! - [`host_list`] reads the lagging list of hosts;
//! - [`group_commit`] turns many small writes into few transactions within a write budget;
//! - [`schema`] names every row and its type;
//! - [`pool_store`] loads and writes the journal and the snapshot of a pool;
//! - [`sweep`] deletes what need not be kept any longer;
//! - [`command_log`], [`configuration_store`] and [`started`] hold commands, configuration versions
//!   and started records of requests that are not idempotent.

pub mod backoff;
pub mod budget;
pub mod circuit;
pub mod command_log;
pub mod configuration_store;
pub mod group_commit;
pub mod host_list;
pub mod object_store;
pub mod pool_store;
pub mod schema;
pub mod started;
pub mod sweep;
pub mod table;
pub mod transaction_sink;
pub mod transport;
