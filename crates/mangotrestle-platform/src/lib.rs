//! Clients of the platform: table service, object store and host list.
//!
//! Entry hosts have no durable storage of their own, so all durable state goes through these
//! clients. They cope with a store that is slow, is down for an hour, or loses an answer after the
//! write took effect:
//!
//! - [`table`] executes conditional transactions and settles a lost answer by reading the row that
//!   records the transaction;
//! - [`object_store`] stores immutable objects with a checksum;
//! - [`host_list`] reads the lagging list of hosts;
//! - [`group_commit`] combines many small writes into few transactions within a write budget;
//! - [`schema`] defines the keys and types of all rows;
//! - [`pool_store`] loads and writes the journal and the snapshot of a pool;
//! - [`sweep`] deletes rows that have expired;
//! - [`command_log`], [`configuration_store`] and [`started`] store commands, configuration
//!   versions and started records of requests that are not idempotent.

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
