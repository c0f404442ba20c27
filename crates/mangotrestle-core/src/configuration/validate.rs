//! Checks of a document before it is accepted.

use std::fmt;

use displaydoc::Display;

use super::document::{
    Document, PoolPolicy, RequestLimits, ScoreWeights, TeamPolicy, Unknown, WarmWindow,
};

/// Greatest weight of a team or a score.
const MAX_WEIGHT: u32 = 1_000;
/// Greatest number of teams in a document.
const MAX_TEAMS: usize = 5_000;
/// Greatest number of pools in a document.
const MAX_POOLS: usize = 1_000;
/// Greatest number of warm windows of a pool.
const MAX_WARM_WINDOWS: usize = 1_000;
/// Minutes of a day.
const DAY_MINUTES: u32 = 24 * 60;
/// Greatest body of a request that may be configured, in bytes.
const BODY_LIMIT_BYTES: u64 = 1 << 30;

/// What is wrong with a document, and where.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Fault {
    /// {path}: unknown field
    UnknownField {
        /// Where, as a dotted path.
        path: String,
    },
    /// {path}: {value} given, expected {least} to {most}
    OutOfRange {
        /// Where, as a dotted path.
        path: String,
        /// The value given.
        value: u64,
        /// Least allowed value.
        least: u64,
        /// Greatest allowed value.
        most: u64,
    },
    /// {path}: {count} entries given, at most {most} are allowed
    TooMany {
        /// Where, as a dotted path.
        path: String,
        /// The number given.
        count: usize,
        /// Greatest allowed number.
        most: usize,
    },
    /// {path}: the window is empty, its start and end are the same
    EmptyWindow {
        /// Where, as a dotted path.
        path: String,
    },
    /// requests.default_deadline_ms: longer than requests.max_deadline_ms
    DefaultAboveMaximum,
}

impl std::error::Error for Fault {}

/// Collects faults under a path.
struct Check<'a> {
    path: String,
    faults: &'a mut Vec<Fault>,
}

impl Check<'_> {
    fn at(&mut self, part: impl fmt::Display) -> Check<'_> {
        Check {
            path: self.join(part),
            faults: self.faults,
        }
    }

    fn join(&self, part: impl fmt::Display) -> String {
        if self.path.is_empty() {
            part.to_string()
        } else {
            format!("{}.{part}", self.path)
        }
    }

    fn unknown(&mut self, unknown: &Unknown) {
        for field in &unknown.0 {
            let path = self.join(field);
            self.faults.push(Fault::UnknownField { path });
        }
    }

    fn range(&mut self, field: &str, value: u64, least: u64, most: u64) {
        if (least..=most).contains(&value) {
            return;
        }
        let path = self.join(field);
        self.faults.push(Fault::OutOfRange {
            path,
            value,
            least,
            most,
        });
    }

    fn count(&mut self, field: &str, count: usize, most: usize) {
        if count <= most {
            return;
        }
        let path = self.join(field);
        self.faults.push(Fault::TooMany { path, count, most });
    }

    fn team(&mut self, team: &TeamPolicy) {
        self.unknown(&team.unknown);
        self.range("weight", team.weight.into(), 1, MAX_WEIGHT.into());
        if let Some(limit) = team.max_requests_in_flight {
            self.range("max_requests_in_flight", limit.into(), 1, u32::MAX.into());
        }
        if let Some(limit) = team.max_requests_per_s {
            self.range("max_requests_per_s", limit.into(), 1, u32::MAX.into());
        }
    }

    fn score(&mut self, score: &ScoreWeights) {
        self.unknown(&score.unknown);
        let most = MAX_WEIGHT.into();
        self.range("waiting", score.waiting.into(), 0, most);
        self.range("packing", score.packing.into(), 0, most);
        self.range("spread", score.spread.into(), 0, most);
        self.range("keep_whole_hosts", score.keep_whole_hosts.into(), 0, most);
    }

    fn pool(&mut self, pool: &PoolPolicy) {
        self.unknown(&pool.unknown);
        if let Some(score) = &pool.score {
            self.at("score").score(score);
        }
        self.range("max_preemptions", pool.max_preemptions.into(), 0, 100);
        self.range("stop_grace_ms", pool.stop_grace_ms.0, 0, 600_000);
        self.count("warm_windows", pool.warm_windows.len(), MAX_WARM_WINDOWS);
        for (index, window) in pool.warm_windows.iter().enumerate() {
            self.at(format_args!("warm_windows.{index}")).window(window);
        }
    }

    fn window(&mut self, window: &WarmWindow) {
        self.unknown(&window.unknown);
        let last = u64::from(DAY_MINUTES - 1);
        self.range("from_minute", window.from_minute.into(), 0, last);
        self.range("to_minute", window.to_minute.into(), 0, last);
        self.range("replicas", window.replicas.into(), 1, 10_000);
        if window.from_minute == window.to_minute {
            let path = self.path.clone();
            self.faults.push(Fault::EmptyWindow { path });
        }
    }

    fn requests(&mut self, requests: &RequestLimits) {
        self.unknown(&requests.unknown);
        self.range(
            "max_body_bytes",
            requests.max_body_bytes,
            1,
            BODY_LIMIT_BYTES,
        );
        self.range(
            "default_deadline_ms",
            requests.default_deadline_ms.0,
            1,
            u64::MAX,
        );
        self.range("max_deadline_ms", requests.max_deadline_ms.0, 1, 3_600_000);
        self.range("max_queue_ms", requests.max_queue_ms.0, 0, 60_000);
        self.range("retry_percent", requests.retry_percent.into(), 0, 100);
        if requests.default_deadline_ms > requests.max_deadline_ms {
            self.faults.push(Fault::DefaultAboveMaximum);
        }
    }
}

impl Document {
    /// Checks the document before it is accepted.
    ///
    /// # Errors
    ///
    /// Every fault found, not just the first, each with its path.
    pub fn validate(&self) -> Result<(), Vec<Fault>> {
        let mut faults = Vec::new();
        let mut check = Check {
            path: String::new(),
            faults: &mut faults,
        };
        check.unknown(&self.unknown);
        check.count("teams", self.teams.len(), MAX_TEAMS);
        check.count("pools", self.pools.len(), MAX_POOLS);
        for (name, team) in &self.teams {
            check.at(format_args!("teams.{name}")).team(team);
        }
        check.at("score").score(&self.score);
        for (name, pool) in &self.pools {
            check.at(format_args!("pools.{name}")).pool(pool);
        }
        check.at("requests").requests(&self.requests);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }
}
