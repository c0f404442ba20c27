//! Jobs of several steps on workers that take orders directly: what lasts, who may start what, and
//! where.
//!
//! Every assignment of a run to a worker is *bound*, written to the pool's part of the store under
//! the leader's row, before the order is sent. A deposed leader can bind nothing more, and whoever
//! leads next reads every order that can exist. The pieces:
//!
//! - [`environment`] and [`catalog`] hold a host's settings and the operator's configuration;
//! - [`admission`] decides whether a job is taken;
//! - [`spec`] describes a job as its caller submitted it;
//! - [`job`] is a job in the leader's memory, [`record`] holds the rows that last;
//! - [`message`] names what workers are told and what they answer;
//! - [`worker`] is one life of a worker as the leader sees it;
//! - [`estimate`] corrects callers' estimates by the runs that ended;
//! - [`rank`] says which waiting work is served first;
//! - [`tickets`] remembers which workers a queue's policy allows for a step;
//! - [`leadership`] is the leadership of a pool and its chain of conditional commits;
//! - [`pool`] decides: events in, orders and rows out, without I/O and without a clock.

pub mod admission;
pub mod catalog;
pub mod environment;
pub mod estimate;
pub mod job;
pub mod leadership;
pub mod message;
pub mod pool;
pub mod rank;
pub mod record;
pub mod spec;
pub mod tickets;
pub mod worker;
