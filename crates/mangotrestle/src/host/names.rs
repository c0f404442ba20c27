//! Tables and rows of the system's own in the store.
//!
//! | table | part | key | row |
//! |---|---|---|---|
//! | `cell` | empty | `host/NAME` | where a host's peers reach it |
//! | `cell` | pool | `lead` | the pool's leadership |
//! | `cell` | pool | `view` | what the leader tells all hosts |
//! | `inbox` | pool | job | an accepted job |
//! | `inbox` | pool | job and `!` | its cancel |
//! | `assign` | pool | job | where its tasks may run |
//! | `ended` | pool | job | how it ended |

use mangotrestle_core::id;
use mangotrestle_users_platform::store::RowName;

/// Hosts and leaderships.
pub(super) const CELL: &str = "cell";
/// Accepted jobs and cancels.
pub(super) const INBOX: &str = "inbox";
/// Assignments.
pub(super) const ASSIGN: &str = "assign";
/// Ends.
pub(super) const ENDED: &str = "ended";
/// Key of a pool's leadership.
pub(super) const LEAD_KEY: &str = "lead";
/// Key of what a pool's leader tells all hosts.
pub(super) const VIEW_KEY: &str = "view";
/// Start of the keys of hosts.
pub(super) const HOST_PREFIX: &str = "host/";
/// Ends the key of a cancel.
const CANCEL_SUFFIX: char = '!';

/// The row of an accepted job.
pub(super) fn inbox(pool: &str, job: &id::JobId) -> RowName {
    RowName::new(INBOX, pool, job.as_str())
}

/// The row of a cancel.
pub(super) fn cancel(pool: &str, job: &id::JobId) -> RowName {
    RowName::new(INBOX, pool, &format!("{job}{CANCEL_SUFFIX}"))
}

/// The row of a job's assignments.
pub(super) fn assign(pool: &str, job: &id::JobId) -> RowName {
    RowName::new(ASSIGN, pool, job.as_str())
}

/// The row of a job's end.
pub(super) fn ended(pool: &str, job: &id::JobId) -> RowName {
    RowName::new(ENDED, pool, job.as_str())
}

/// The row of a pool's leadership.
pub(super) fn lead(pool: &str) -> RowName {
    RowName::new(CELL, pool, LEAD_KEY)
}

/// The row of what a pool's leader tells all hosts.
pub(super) fn view(pool: &str) -> RowName {
    RowName::new(CELL, pool, VIEW_KEY)
}

/// What a key of the inbox names.
pub(super) enum InboxKey {
    /// An accepted job.
    Job(id::JobId),
    /// A cancel.
    Cancel(id::JobId),
}

/// Reads a key of the inbox; `None` if it names no job.
pub(super) fn inbox_key(key: &str) -> Option<InboxKey> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(job) => id::JobId::new(job).ok().map(InboxKey::Cancel),
        None => id::JobId::new(key).ok().map(InboxKey::Job),
    }
}

/// First key after all rows of a job in the inbox.
pub(super) fn after_job(job: &id::JobId) -> String {
    // The suffix of a cancel comes before the tilde.
    format!("{job}~")
}
