//! Settings of `mangotrestle serve`, from flags and environment variables.
//!
//! [`TABLE`] declares every setting once. A flag takes precedence over the environment variable of
//! the same name, which takes precedence over the default. All faults are reported together, each
//! with the setting, the given text, its source and what was expected, so that a daemon that does
//! not start names all of them on the first attempt.
//!
//! No setting holds a secret: for tokens and keys it holds the path of their file, and the content
//! of those files is never shown.
//!
//! ```
//! use mangotrestle::settings::Settings;
//! use mangotrestle_core::id;
//!
//! let settings = Settings::builder()
//!     .entry_host(id::EntryHostId::new("gikondo-1").unwrap())
//!     .availability_zone(id::AvailabilityZoneId::new("gikondo").unwrap())
//!     .table_address("127.0.0.1:7500".parse().unwrap())
//!     .object_store_address("127.0.0.1:7501".parse().unwrap())
//!     .host_list_address("127.0.0.1:7502".parse().unwrap())
//!     .build()
//!     .unwrap();
//! assert_eq!(settings.leadable_pools()[0].as_str(), "gikondo");
//! ```

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use mangotrestle_core::id;
use mangotrestle_core::time;

mod check;
mod declare;
mod value;

pub use value::LogLevel;
pub use value::LogOutput;
pub use value::SettingValue;

/// Prefix of every environment variable.
pub const VARIABLE_PREFIX: &str = "MANGOTRESTLE_";

/// Environment variables of operators' commands; they are not in [`TABLE`].
pub const COMMAND_VARIABLES: &[&str] = &[
    "MANGOTRESTLE_ENDPOINT",
    "MANGOTRESTLE_TOKEN_FILE",
    "MANGOTRESTLE_AUTHORITY_FILE",
    "MANGOTRESTLE_OPERATOR",
];

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const MIB: u64 = 1024 * 1024;

declare::settings! {
    /// name of this entry host, unique in the system
    entry_host: id::EntryHostId, "", None, None;
    /// availability zone of this entry host
    availability_zone: id::AvailabilityZoneId, "", None, None;
    /// pools that this entry host may lead; empty means the pool named like its zone
    pools: Vec<id::PoolId>, "", None, Some("");
    /// address for operators' gRPC
    operator_listen: SocketAddr, "", None, Some("127.0.0.1:7400");
    /// address for callers' HTTP requests
    caller_listen: SocketAddr, "", None, Some("127.0.0.1:7401");
    /// address for other entry hosts
    peer_listen: SocketAddr, "", None, Some("127.0.0.1:7402");
    /// address for metrics and health checks
    health_listen: SocketAddr, "", None, Some("127.0.0.1:7403");
    /// address at which other entry hosts reach this one; empty means peer-listen
    peer_advertise: Option<SocketAddr>, "", None, Some("");
    /// other entry hosts to contact at start, to learn of all others
    seed_peers: Vec<SocketAddr>, "", None, Some("");
    /// address of the platform's table service
    table_address: SocketAddr, "", None, None;
    /// address of the platform's object store
    object_store_address: SocketAddr, "", None, None;
    /// address of the platform's host list
    host_list_address: SocketAddr, "", None, None;
    /// term of a worker's lease
    lease_term_ms: time::SpanMs, "ms", Some(500..=10 * MINUTE_MS), Some("10000");
    /// interval at which a worker's lease is renewed, at most a third of its term
    lease_renew_interval_ms: time::SpanMs, "ms", Some(50..=3 * MINUTE_MS), Some("3000");
    /// interval of heartbeats between entry hosts
    heartbeat_interval_ms: time::SpanMs, "ms", Some(50..=MINUTE_MS), Some("1000");
    /// interval at which the configuration's version is polled
    config_poll_interval_ms: time::SpanMs, "ms", Some(50..=MINUTE_MS), Some("3000");
    /// interval at which the host list is polled
    host_list_poll_interval_ms: time::SpanMs, "ms", Some(50..=10 * MINUTE_MS), Some("2000");
    /// maximum time between the request to stop and the end of the process
    shutdown_bound_ms: time::SpanMs, "ms", Some(0..=HOUR_MS), Some("30000");
    /// this entry host's share of the table's writes
    table_writes_per_s: u32, "1/s", Some(1..=100_000), Some("40");
    /// this entry host's share of the table's reads
    table_reads_per_s: u32, "1/s", Some(1..=100_000), Some("200");
    /// maximum size of the body of a caller's request
    max_request_body_bytes: u64, "bytes", Some(0..=64 * MIB), Some("1048576");
    /// memory that the connections of callers may take
    client_memory_mib: u64, "MiB", Some(4..=1024 * 1024), Some("1536");
    /// maximum time that a request waits for a target
    max_queue_time_ms: time::SpanMs, "ms", Some(0..=10 * MINUTE_MS), Some("2000");
    /// deadline of a request that sets none
    default_deadline_ms: time::SpanMs, "ms", Some(1..=HOUR_MS), Some("10000");
    /// threads for callers' requests
    traffic_threads: usize, "threads", Some(1..=1_024), Some("2");
    /// certificate chain (PEM) for callers; empty means no TLS
    caller_tls_certificate: Option<PathBuf>, "", None, Some("");
    /// private key (PEM) for callers
    caller_tls_key: Option<PathBuf>, "", None, Some("");
    /// certificate chain (PEM) for operators; empty means no TLS
    operator_tls_certificate: Option<PathBuf>, "", None, Some("");
    /// private key (PEM) for operators
    operator_tls_key: Option<PathBuf>, "", None, Some("");
    /// interval at which certificate and token files are checked for renewal
    tls_reload_interval_ms: time::SpanMs, "ms", Some(100..=HOUR_MS), Some("10000");
    /// file of operators' tokens (TOML); empty accepts everyone, on loopback only
    operator_token_file: Option<PathBuf>, "", None, Some("");
    /// minimum severity of log lines: error, warning, info, debug or trace
    log_level: LogLevel, "", None, Some("info");
    /// where log lines go: stdout or stderr
    log_output: LogOutput, "", None, Some("stdout");
    /// seed of random choices; 0 means a new random seed at each start
    seed: u64, "", None, Some("0");
}

/// Declaration of one setting.
#[derive(Clone, Debug)]
pub struct Declaration {
    /// Name, such as `lease_term_ms`.
    pub name: &'static str,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// Allowed range, for a number.
    pub range: Option<RangeInclusive<u64>>,
    /// Default, in the form of a flag's value; `None` if the setting is required.
    pub default: Option<&'static str>,
    help: &'static str,
}

impl Declaration {
    /// Returns the flag, such as `--lease-term-ms`.
    #[must_use]
    pub fn flag(&self) -> String {
        format!("--{}", self.name.replace('_', "-"))
    }

    /// Returns the environment variable, such as `MANGOTRESTLE_LEASE_TERM_MS`.
    #[must_use]
    pub fn variable(&self) -> String {
        format!("{VARIABLE_PREFIX}{}", self.name.to_uppercase())
    }

    /// Returns the help text.
    #[must_use]
    pub fn help(&self) -> &'static str {
        self.help.trim()
    }
}

/// Source of a setting's value or of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A flag on the command line.
    Flag,
    /// An environment variable.
    Environment,
    /// The declared default, since the setting was not given.
    Default,
    /// No source, since the setting was not given and has no default.
    Missing,
    /// A call of the builder.
    Builder,
    /// The content of the file that the setting names.
    Content,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Flag => "flag",
            Self::Environment => "environment",
            Self::Default => "default",
            Self::Missing => "missing",
            Self::Builder => "builder",
            Self::Content => "its content",
        })
    }
}

/// Effective text of one setting, after merging flags, environment variables and defaults.
#[derive(Clone, Debug)]
pub struct EffectiveSetting {
    /// Declaration of the setting.
    pub declaration: &'static Declaration,
    /// Text of the value; `None` if the setting was not given and has no default.
    pub text: Option<String>,
    /// Source of the text.
    pub source: Source,
}

/// Fault in one setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Name of the setting, or of an environment variable that is not a setting.
    pub setting: String,
    /// Given text, if any.
    pub given: Option<String>,
    /// Source of the text.
    pub source: Source,
    /// Description of a valid value.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.given {
            Some(given) => write!(
                f,
                "{}: {given:?} given ({}), expected {}",
                self.setting, self.source, self.expected
            ),
            None => write!(
                f,
                "{}: nothing given, expected {}",
                self.setting, self.expected
            ),
        }
    }
}

/// All faults found in the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidSettings {
    /// Faults in the order of [`TABLE`]; those of unknown variables come last.
    pub faults: Vec<Fault>,
}

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} setting(s) are invalid:", self.faults.len())?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for InvalidSettings {}

impl Settings {
    /// Returns a builder without any setting.
    #[must_use]
    pub fn builder() -> SettingsBuilder {
        SettingsBuilder::default()
    }

    /// Merges flags, environment variables and defaults, and checks the result.
    ///
    /// # Errors
    ///
    /// [`InvalidSettings`] with all faults found.
    pub fn resolve(
        arguments: &ServeArguments,
        environment: &[(String, String)],
    ) -> Result<Self, InvalidSettings> {
        let mut faults = unknown_variables(environment);
        let effective = effective(arguments, environment);
        let builder = SettingsBuilder::parse(&effective, &mut faults);
        builder.check(faults, |name| {
            let setting = effective
                .iter()
                .find(|setting| setting.declaration.name == name);
            setting.map_or(Source::Default, |setting| setting.source)
        })
    }

    /// Returns the pools that this entry host may lead: those of the setting `pools`, or else the
    /// pool with the name of its availability zone.
    ///
    /// # Panics
    ///
    /// Never: every valid name of a zone is a valid name of a pool.
    #[must_use]
    pub fn leadable_pools(&self) -> Vec<id::PoolId> {
        if !self.pools.is_empty() {
            return self.pools.clone();
        }
        let zone = self.availability_zone.as_str();
        vec![id::PoolId::new(zone).expect("names of zones and pools follow the same rule")]
    }

    /// Returns the address at which other entry hosts reach this one.
    #[must_use]
    pub fn peer_advertised(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}

impl SettingsBuilder {
    /// Adds the defaults of settings that are not set, and checks the result.
    ///
    /// # Errors
    ///
    /// [`InvalidSettings`] with all faults found.
    pub fn build(mut self) -> Result<Settings, InvalidSettings> {
        let mut faults = Vec::new();
        self.fill_defaults(&mut faults);
        self.check(faults, |_| Source::Builder)
    }

    /// Checks the parsed settings against their ranges and against each other, and returns them if
    /// there are no faults.
    ///
    /// `faults` holds those found so far.
    fn check(
        self,
        mut faults: Vec<Fault>,
        source_of: impl Fn(&str) -> Source,
    ) -> Result<Settings, InvalidSettings> {
        check::relations(&self, &source_of, &mut faults);
        match self.finish() {
            Some(settings) => {
                check::ranges(&settings, &source_of, &mut faults);
                if faults.is_empty() {
                    return Ok(settings);
                }
            }
            None => debug_assert!(!faults.is_empty(), "a missing value is a fault"),
        }
        faults.sort_by_key(|fault| table_index(&fault.setting));
        Err(InvalidSettings { faults })
    }
}

/// Returns the index of a setting in [`TABLE`]; names that are not in it come last.
fn table_index(name: &str) -> usize {
    let index = TABLE
        .iter()
        .position(|declaration| declaration.name == name);
    index.unwrap_or(TABLE.len())
}

/// Merges flags, environment variables and defaults into one text per setting, in the order of
/// [`TABLE`].
#[must_use]
pub fn effective(
    arguments: &ServeArguments,
    environment: &[(String, String)],
) -> Vec<EffectiveSetting> {
    let merge = |(declaration, flag): (&'static Declaration, Option<&str>)| {
        let variable = declaration.variable();
        let from_environment = environment.iter().find(|(name, _)| *name == variable);
        let (text, source) = match (flag, from_environment, declaration.default) {
            (Some(text), _, _) => (Some(text), Source::Flag),
            (None, Some((_, text)), _) => (Some(text.as_str()), Source::Environment),
            (None, None, Some(text)) => (Some(text), Source::Default),
            (None, None, None) => (None, Source::Missing),
        };
        EffectiveSetting {
            declaration,
            text: text.map(str::to_owned),
            source,
        }
    };
    TABLE
        .iter()
        .zip(arguments.flag_texts())
        .map(merge)
        .collect()
}

/// Returns the output of `--print-settings`, one line per setting.
#[must_use]
pub fn render(effective: &[EffectiveSetting]) -> String {
    let mut lines = String::new();
    for setting in effective {
        let declaration = setting.declaration;
        let text = setting.text.as_deref().unwrap_or("");
        let line = format!(
            "{:<26} {:<24} {:<8} {}",
            declaration.name, text, declaration.unit, setting.source
        );
        lines.push_str(line.trim_end());
        lines.push('\n');
    }
    lines
}

/// Returns a fault for each environment variable with [`VARIABLE_PREFIX`] that is not known, since
/// a misspelt one would otherwise be silently ignored.
fn unknown_variables(environment: &[(String, String)]) -> Vec<Fault> {
    let is_known = |name: &str| {
        COMMAND_VARIABLES.contains(&name)
            || TABLE
                .iter()
                .any(|declaration| declaration.variable() == name)
    };
    let unknown = environment
        .iter()
        .filter(|(name, _)| name.starts_with(VARIABLE_PREFIX) && !is_known(name));
    unknown
        .map(|(name, _)| Fault {
            setting: name.clone(),
            given: None,
            source: Source::Environment,
            expected: "no variable of this name, because it is not a setting".to_owned(),
        })
        .collect()
}

fn parse_setting<T: SettingValue>(
    setting: &EffectiveSetting,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let Some(text) = &setting.text else {
        faults.push(missing_fault(setting.declaration));
        return None;
    };
    match T::parse(text) {
        Ok(value) => Some(value),
        Err(expected) => {
            faults.push(Fault {
                setting: setting.declaration.name.to_owned(),
                given: Some(text.clone()),
                source: setting.source,
                expected,
            });
            None
        }
    }
}

fn parse_default<T: SettingValue>(
    declaration: &'static Declaration,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let setting = EffectiveSetting {
        declaration,
        text: declaration.default.map(str::to_owned),
        source: Source::Default,
    };
    parse_setting(&setting, faults)
}

fn missing_fault(declaration: &Declaration) -> Fault {
    Fault {
        setting: declaration.name.to_owned(),
        given: None,
        source: Source::Missing,
        expected: format!(
            "{} (set {} or {})",
            declaration.help(),
            declaration.flag(),
            declaration.variable()
        ),
    }
}

#[cfg(test)]
mod tests;
