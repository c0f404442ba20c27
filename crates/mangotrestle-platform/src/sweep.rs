//! Deletes rows whose time is over, slowly.
//!
//! Rows of transactions, answers of commands, the audit log and started records would pile up for
//! ever. One entry host of the cell sweeps, a page at a time; that two hosts may sweep at once for
//! a while does no harm.

use std::time::Duration;

use mangotrestle_core::time;

use crate::schema;
use crate::started;
use crate::table;

/// Time for which rows of transactions are kept: far longer than any request is on its way.
const WRITE_LIFETIME: Duration = Duration::from_hours(1);
/// Time for which answers of commands are kept.
const COMMAND_LIFETIME: Duration = Duration::from_hours(7 * 24);
/// Time for which the audit log is kept.
const AUDIT_LIFETIME: Duration = Duration::from_hours(400 * 24);
/// Rows of one page.
const PAGE_ROWS: u32 = 500;

/// Reads a row's wall time.
type Age = fn(&table::Row) -> Option<time::WallTimeMs>;

struct Area {
    prefix: &'static str,
    lifetime: Duration,
    written: Age,
    /// Whether keys rise with time, so that a sweep can stop at the first young row.
    by_time: bool,
}

const AREAS: [Area; 4] = [
    Area {
        prefix: schema::WRITE_PREFIX,
        lifetime: WRITE_LIFETIME,
        written: key_time,
        by_time: true,
    },
    Area {
        prefix: schema::AUDIT_PREFIX,
        lifetime: AUDIT_LIFETIME,
        written: key_time,
        by_time: true,
    },
    Area {
        prefix: schema::COMMAND_PREFIX,
        lifetime: COMMAND_LIFETIME,
        written: command_time,
        by_time: false,
    },
    Area {
        prefix: schema::STARTED_PREFIX,
        lifetime: started::RECORD_RETENTION,
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
    /// Starts with the first area.
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
            .scan(area.prefix, self.after.as_deref(), PAGE_ROWS)
            .await?;
        let old: Vec<_> = page
            .rows
            .iter()
            .filter(|row| is_old(area, row, now))
            .collect();
        let deleted = old.len();
        if deleted > 0 {
            self.table.transact(&deletion(&old)).await?;
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

/// Deletes each row only as it was read: a key may have been used again since.
fn deletion(rows: &[&table::Row]) -> table::Transaction {
    rows.iter().fold(table::Transaction::new(), |t, row| {
        t.at_version(row.key.clone(), row.version)
            .delete(row.key.clone())
    })
}

fn is_old(area: &Area, row: &table::Row, now: time::WallTimeMs) -> bool {
    let lifetime_ms = u64::try_from(area.lifetime.as_millis()).unwrap_or(u64::MAX);
    (area.written)(row).is_some_and(|written| now.since(written).0 > lifetime_ms)
}

/// The wall time with which the last part of a key starts.
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
