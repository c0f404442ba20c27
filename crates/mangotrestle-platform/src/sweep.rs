//! Deletes rows whose retention time has passed, at a low rate.
//!
//! Rows of transactions, answers of commands, the audit log and started records would
//! accumulate without limit. One entry host of the cell sweeps, one page at a time; two hosts
//! sweeping at once for a while do no harm.

use std::time::Duration;

use mangotrestle_core::time;

use crate::schema;
use crate::started;
use crate::table;

/// Retention of rows that record transactions: far longer than any request is in flight.
const WRITE_RETENTION: Duration = Duration::from_hours(1);
/// Retention of answers to commands.
const COMMAND_RETENTION: Duration = Duration::from_hours(7 * 24);
/// Retention of the audit log.
const AUDIT_RETENTION: Duration = Duration::from_hours(400 * 24);
/// Maximum number of rows that one step reads.
const MAX_PAGE_ROWS: u32 = 500;

/// Returns the wall time at which a row was written, or `None` if it cannot be decoded.
type WrittenAt = fn(&table::Row) -> Option<time::WallTimeMs>;

/// Rows with a common key prefix and the same retention.
struct Area {
    prefix: &'static str,
    retention: Duration,
    written: WrittenAt,
    /// Whether keys ascend with time, so that a sweep can stop at the first row that is kept.
    by_time: bool,
}

const AREAS: [Area; 4] = [
    Area {
        prefix: schema::WRITE_PREFIX,
        retention: WRITE_RETENTION,
        written: key_time,
        by_time: true,
    },
    Area {
        prefix: schema::AUDIT_PREFIX,
        retention: AUDIT_RETENTION,
        written: key_time,
        by_time: true,
    },
    Area {
        prefix: schema::COMMAND_PREFIX,
        retention: COMMAND_RETENTION,
        written: command_time,
        by_time: false,
    },
    Area {
        prefix: schema::STARTED_PREFIX,
        retention: started::RECORD_RETENTION,
        written: started_time,
        by_time: false,
    },
];

/// Sweeps the table page by page.
pub struct Sweeper {
    table: table::TableClient,
    area: usize,
    after: Option<String>,
}

impl Sweeper {
    /// Creates a sweeper that starts with the first area.
    #[must_use]
    pub const fn new(table: table::TableClient) -> Self {
        Self {
            table,
            area: 0,
            after: None,
        }
    }

    /// Sweeps one page and returns how many rows were deleted. Call it at a steady, slow rate.
    ///
    /// # Errors
    ///
    /// Those of the table; the page is swept again next time.
    pub async fn step(&mut self, now: time::WallTimeMs) -> Result<usize, table::TableError> {
        let area = &AREAS[self.area];
        let page = self
            .table
            .scan(area.prefix, self.after.as_deref(), MAX_PAGE_ROWS)
            .await?;
        let expired: Vec<_> = page
            .rows
            .iter()
            .filter(|row| is_expired(area, row, now))
            .collect();
        let deleted = expired.len();
        if deleted > 0 {
            self.table.transact(&deletion(&expired)).await?;
        }
        let last = page.rows.last().map(|row| row.key.clone());
        if page.more && (deleted == page.rows.len() || !area.by_time) {
            self.after = last;
        } else {
            self.after = None;
            self.area = (self.area + 1) % AREAS.len();
        }
        Ok(deleted)
    }
}

/// Returns the transaction that deletes the rows, on the condition that each still has the version
/// that was read: a key may have been reused since.
fn deletion(rows: &[&table::Row]) -> table::Transaction {
    rows.iter().fold(table::Transaction::new(), |t, row| {
        t.at_version(row.key.clone(), row.version)
            .delete(row.key.clone())
    })
}

fn is_expired(area: &Area, row: &table::Row, now: time::WallTimeMs) -> bool {
    let retention_ms = u64::try_from(area.retention.as_millis()).unwrap_or(u64::MAX);
    (area.written)(row).is_some_and(|written| now.since(written).0 > retention_ms)
}

/// Returns the wall time in hexadecimal at the start of the last part of a key.
fn key_time(row: &table::Row) -> Option<time::WallTimeMs> {
    let last = row.key.rsplit('/').next()?;
    let number = last.split('-').next()?;
    u64::from_str_radix(number, 16).ok().map(time::WallTimeMs)
}

fn command_time(row: &table::Row) -> Option<time::WallTimeMs> {
    row.decode::<schema::CommandRow>()
        .ok()
        .map(|row| row.wall_ms)
}

fn started_time(row: &table::Row) -> Option<time::WallTimeMs> {
    row.decode::<schema::StartedRow>()
        .ok()
        .map(|row| row.wall_ms)
}
