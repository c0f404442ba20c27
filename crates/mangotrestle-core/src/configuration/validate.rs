//! Validation of a document before it is accepted.

use std::fmt;

use displaydoc::Display;

use super::document::{
    Document, PoolPolicy, RequestLimits, ScoreWeights, TeamPolicy, Unknown, WarmWindow,
};

/// Maximum weight of a team or of a score criterion.
const MAX_WEIGHT: u32 = 1_000;
/// Maximum number of teams in a document.
const MAX_TEAMS: usize = 5_000;
/// Maximum number of pools in a document.
const MAX_POOLS: usize = 1_000;
/// Maximum number of warm windows of a pool.
const MAX_WARM_WINDOWS: usize = 1_000;
const MINUTES_PER_DAY: u32 = 24 * 60;
/// Maximum value of `requests.max_body_bytes`.
const MAX_CONFIGURABLE_BODY_BYTES: u64 = 1 << 30;

/// A fault of a document, with its path.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Fault {
    /// {path}: unknown field
    UnknownField {
        /// Dotted path of the setting.
        path: String,
    },
    /// {path}: {value} given, expected {min} to {max}
    OutOfRange {
        /// Dotted path of the setting.
        path: String,
        /// The value given.
        value: u64,
        /// Minimum allowed value.
        min: u64,
        /// Maximum allowed value.
        max: u64,
    },
    /// {path}: {count} entries given, at most {max} are allowed
    TooMany {
        /// Dotted path of the setting.
        path: String,
        /// The number of entries given.
        count: usize,
        /// Maximum allowed number of entries.
        max: usize,
    },
    /// {path}: the window is empty, its start and end are the same
    EmptyWindow {
        /// Dotted path of the setting.
        path: String,
    },
    /// requests.default_deadline_ms: longer than requests.max_deadline_ms
    DefaultAboveMaximum,
}

impl std::error::Error for Fault {}

/// Checks one part of a document and collects its faults under the part's path.
struct Checker<'a> {
    path: String,
    faults: &'a mut Vec<Fault>,
}

impl Checker<'_> {
    fn nested(&mut self, part: impl fmt::Display) -> Checker<'_> {
        Checker {
            path: self.join_path(part),
            faults: self.faults,
        }
    }

    fn join_path(&self, part: impl fmt::Display) -> String {
        if self.path.is_empty() {
            part.to_string()
        } else {
            format!("{}.{part}", self.path)
        }
    }

    fn check_unknown(&mut self, unknown: &Unknown) {
        for field in &unknown.0 {
            let path = self.join_path(field);
            self.faults.push(Fault::UnknownField { path });
        }
    }

    fn check_range(&mut self, field: &str, value: u64, min: u64, max: u64) {
        if (min..=max).contains(&value) {
            return;
        }
        let path = self.join_path(field);
        self.faults.push(Fault::OutOfRange {
            path,
            value,
            min,
            max,
        });
    }

    fn check_count(&mut self, field: &str, count: usize, max: usize) {
        if count <= max {
            return;
        }
        let path = self.join_path(field);
        self.faults.push(Fault::TooMany { path, count, max });
    }

    fn check_team(&mut self, team: &TeamPolicy) {
        self.check_unknown(&team.unknown);
        self.check_range("weight", team.weight.into(), 1, MAX_WEIGHT.into());
        if let Some(limit) = team.max_requests_in_flight {
            self.check_range("max_requests_in_flight", limit.into(), 1, u32::MAX.into());
        }
        if let Some(limit) = team.max_requests_per_s {
            self.check_range("max_requests_per_s", limit.into(), 1, u32::MAX.into());
        }
    }

    fn check_score(&mut self, score: &ScoreWeights) {
        self.check_unknown(&score.unknown);
        let max = MAX_WEIGHT.into();
        self.check_range("waiting", score.waiting.into(), 0, max);
        self.check_range("packing", score.packing.into(), 0, max);
        self.check_range("spread", score.spread.into(), 0, max);
        self.check_range("keep_whole_hosts", score.keep_whole_hosts.into(), 0, max);
    }

    fn check_pool(&mut self, pool: &PoolPolicy) {
        self.check_unknown(&pool.unknown);
        if let Some(score) = &pool.score {
            self.nested("score").check_score(score);
        }
        self.check_range("max_preemptions", pool.max_preemptions.into(), 0, 100);
        self.check_range("stop_grace_ms", pool.stop_grace_ms.0, 0, 600_000);
        self.check_count("warm_windows", pool.warm_windows.len(), MAX_WARM_WINDOWS);
        for (index, window) in pool.warm_windows.iter().enumerate() {
            self.nested(format_args!("warm_windows.{index}"))
                .check_window(window);
        }
    }

    fn check_window(&mut self, window: &WarmWindow) {
        self.check_unknown(&window.unknown);
        let last_minute = u64::from(MINUTES_PER_DAY - 1);
        self.check_range("from_minute", window.from_minute.into(), 0, last_minute);
        self.check_range("to_minute", window.to_minute.into(), 0, last_minute);
        self.check_range("replicas", window.replicas.into(), 1, 10_000);
        if window.from_minute == window.to_minute {
            let path = self.path.clone();
            self.faults.push(Fault::EmptyWindow { path });
        }
    }

    fn check_requests(&mut self, requests: &RequestLimits) {
        self.check_unknown(&requests.unknown);
        self.check_range(
            "max_body_bytes",
            requests.max_body_bytes,
            1,
            MAX_CONFIGURABLE_BODY_BYTES,
        );
        self.check_range(
            "default_deadline_ms",
            requests.default_deadline_ms.0,
            1,
            u64::MAX,
        );
        self.check_range("max_deadline_ms", requests.max_deadline_ms.0, 1, 3_600_000);
        self.check_range("max_queue_ms", requests.max_queue_ms.0, 0, 60_000);
        self.check_range("retry_percent", requests.retry_percent.into(), 0, 100);
        if requests.default_deadline_ms > requests.max_deadline_ms {
            self.faults.push(Fault::DefaultAboveMaximum);
        }
    }
}

impl Document {
    /// Validates the document before it is accepted.
    ///
    /// # Errors
    ///
    /// Returns all faults, not just the first, each with its path.
    pub fn validate(&self) -> Result<(), Vec<Fault>> {
        let mut faults = Vec::new();
        let mut checker = Checker {
            path: String::new(),
            faults: &mut faults,
        };
        checker.check_unknown(&self.unknown);
        checker.check_count("teams", self.teams.len(), MAX_TEAMS);
        checker.check_count("pools", self.pools.len(), MAX_POOLS);
        for (name, team) in &self.teams {
            checker
                .nested(format_args!("teams.{name}"))
                .check_team(team);
        }
        checker.nested("score").check_score(&self.score);
        for (name, pool) in &self.pools {
            checker
                .nested(format_args!("pools.{name}"))
                .check_pool(pool);
        }
        checker.nested("requests").check_requests(&self.requests);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }
}
