//! Names of the system's own tables and rows in the store.
//!
//! | table | part | key | row |
//! |---|---|---|---|
//! | `cell` | empty | `host/NAME` | a host, with the address for its peers |
//! | `cell` | empty | `division/SERVICE` | the division of a service into pools |
//! | `cell` | empty | `home/HASH` | the home services of the queues with one path prefix |
//! | `cell` | pool | `lead` | the pool's leadership |
//! | `cell` | pool | `view` | the summary that the leader publishes to all hosts |
//! | `cell` | pool | `shapes` | the capacities and labels of its workers, as part of the summary |
//! | `inbox` | pool | job | an accepted job |
//! | `inbox` | pool | job and `!` | the request to cancel it |
//! | `assign` | pool | job | the workers to which its tasks are assigned |
//! | `learned` | pool | `runs` | what the leader learned from finished runs |
//! | `shares` | empty | team | the parts of the team's cap that each pool holds |
//! | `ended` | pool | job | the state in which it ended |

use mangotrestle_core::id;
use mangotrestle_core::workflow::queue_home::HomeRow;
use mangotrestle_users_platform::store::RowName;

/// Table of hosts, leaderships and published summaries.
pub(super) const CELL_TABLE: &str = "cell";
/// Table of accepted jobs and cancel requests.
pub(super) const INBOX_TABLE: &str = "inbox";
/// Table of assignments.
pub(super) const ASSIGN_TABLE: &str = "assign";
/// Table of ended jobs.
pub(super) const ENDED_TABLE: &str = "ended";
/// Table of the parts of teams' caps that pools hold.
pub(super) const SHARES_TABLE: &str = "shares";
/// Table of what leaders learned from finished runs.
pub(super) const LEARNED_TABLE: &str = "learned";
/// Key of a pool's leadership row.
pub(super) const LEAD_KEY: &str = "lead";
/// Key of the summary that a pool's leader publishes.
pub(super) const SUMMARY_KEY: &str = "view";
/// Key of the row with the capacities and labels of a pool's workers.
pub(super) const SHAPES_KEY: &str = "shapes";
/// Prefix of the keys of hosts.
pub(super) const HOST_PREFIX: &str = "host/";
/// Prefix of the keys of divisions of services.
pub(super) const DIVISION_PREFIX: &str = "division/";
/// Prefix of the keys of queues' home services.
pub(super) const HOME_PREFIX: &str = "home/";
/// Suffix of the key of a cancel request.
const CANCEL_SUFFIX: char = '!';

/// Name of the row of an accepted job.
pub(super) fn inbox_row(pool: &str, job: &id::JobId) -> RowName {
    RowName::new(INBOX_TABLE, pool, job.as_str())
}

/// Name of the row of a cancel request.
pub(super) fn cancel_row(pool: &str, job: &id::JobId) -> RowName {
    RowName::new(INBOX_TABLE, pool, &format!("{job}{CANCEL_SUFFIX}"))
}

/// Name of the row of a job's assignments.
pub(super) fn assign_row(pool: &str, job: &id::JobId) -> RowName {
    RowName::new(ASSIGN_TABLE, pool, job.as_str())
}

/// Name of the row of an ended job.
pub(super) fn ended_row(pool: &str, job: &id::JobId) -> RowName {
    RowName::new(ENDED_TABLE, pool, job.as_str())
}

/// Name of the row with the division of a service.
pub(super) fn division_row(service: &str) -> RowName {
    RowName::new(CELL_TABLE, "", &format!("{DIVISION_PREFIX}{service}"))
}

/// Name of the row with the home services of the queues with a path prefix.
pub(super) fn home_row(path_prefix: &str) -> RowName {
    let key = HomeRow::key(path_prefix);
    RowName::new(CELL_TABLE, "", &format!("{HOME_PREFIX}{key}"))
}

/// Name of the row with the parts of a team's cap that pools hold.
pub(super) fn share_row(team: &str) -> RowName {
    RowName::new(SHARES_TABLE, "", team)
}

/// Name of the row with what a pool's leader learned from finished runs.
pub(super) fn learned_row(pool: &str) -> RowName {
    RowName::new(LEARNED_TABLE, pool, "runs")
}

/// Name of a pool's leadership row.
pub(super) fn lead_row(pool: &str) -> RowName {
    RowName::new(CELL_TABLE, pool, LEAD_KEY)
}

/// Name of the row with the summary that a pool's leader publishes.
pub(super) fn summary_row(pool: &str) -> RowName {
    RowName::new(CELL_TABLE, pool, SUMMARY_KEY)
}

/// Name of the row with the capacities and labels of a pool's workers.
pub(super) fn shapes_row(pool: &str) -> RowName {
    RowName::new(CELL_TABLE, pool, SHAPES_KEY)
}

/// A decoded key of the inbox.
pub(super) enum InboxKey {
    /// An accepted job.
    Job(id::JobId),
    /// A request to cancel a job.
    Cancel(id::JobId),
}

/// Decodes a key of the inbox; `None` if it names no job.
pub(super) fn parse_inbox_key(key: &str) -> Option<InboxKey> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(job) => id::JobId::new(job).ok().map(InboxKey::Cancel),
        None => id::JobId::new(key).ok().map(InboxKey::Job),
    }
}

/// Returns a key that sorts after all rows of a job in any table: the exclusive end of a range
/// read.
pub(super) fn job_rows_end(job: &id::JobId) -> String {
    // The suffix of a cancel request sorts before the tilde.
    format!("{job}~")
}
