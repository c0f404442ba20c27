//! Jobs of several steps on workers that take orders directly: the stored rows, the leadership
//! of pools, and placement.
//!
//! Every assignment of a run to a worker is *bound*: it is written to the store, in a commit that
//! is conditional on the pool's leadership row, before the order is sent. A deposed leader cannot
//! bind any more, and its successor finds a row for every order that may have been sent. The
//! modules:
//!
//! - [`environment`] and [`catalog`] hold a host's settings and the operator's configuration;
//! - [`division`] divides a large service into pools, and chooses the pools that run a job;
//! - [`queue_home`] names the service whose pools hold the identities of a queue's jobs;
//! - [`admission`] decides whether a job is accepted;
//! - [`spec`] describes a job as its caller submitted it;
//! - [`intake_shares`] are the parts of a host's memory that its clients may take, [`job_memory`] admits
//!   jobs by it;
//! - [`job`] is a job in the leader's memory, [`record`] holds its stored rows;
//! - [`range_set`] holds the numbers of what has ended;
//! - [`start_calls`] counts the calls of a start order that may still be carried out;
//! - [`message`] defines orders to workers and their answers;
//! - [`worker`] is one incarnation of a worker as the leader sees it;
//! - [`estimate`] corrects callers' estimates by the run times observed so far;
//! - [`worker_speed`] learns the speed of a worker from its runs;
//! - [`rank`] orders waiting work;
//! - [`crash_evidence`] tells tasks that crash their workers from those beside them;
//! - [`advice_hosts`] chooses the host that sends a ticket request;
//! - [`teams`] are the teams that share a deployment: their keys, caps and promised rates;
//! - [`tickets`] remembers which workers a queue's policy allows for a step;
//! - [`feed_timing`] derives from users' bounds when feeds are read and how old they may be;
//! - [`lag`] measures how late a leader is;
//! - [`leadership`] is the leadership of a pool and its chain of conditional commits;
//! - [`pool`] makes the decisions: it takes events and returns orders and rows, without I/O and
//!   without a clock.

pub mod admission;
pub mod advice_hosts;
pub mod catalog;
pub mod crash_evidence;
pub mod division;
pub mod environment;
pub mod estimate;
pub mod feed_timing;
pub mod intake_shares;
pub mod job;
pub mod job_memory;
pub mod lag;
pub mod leadership;
pub mod message;
pub mod pool;
pub mod queue_home;
pub mod range_set;
pub mod rank;
pub mod record;
pub mod spec;
pub mod start_calls;
pub mod teams;
pub mod tickets;
pub mod worker;
pub mod worker_speed;
