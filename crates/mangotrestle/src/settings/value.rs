//! Types of settings' values, and their conversion from and to text.

use std::net::SocketAddr;
use std::path::PathBuf;

use mangotrestle_core::id;
use mangotrestle_core::time;

/// Type of a setting's value.
pub trait SettingValue: Sized {
    /// Parses a value.
    ///
    /// # Errors
    ///
    /// A description of a valid value, to follow the word "expected".
    fn parse(text: &str) -> Result<Self, String>;

    /// Returns the value in the form of a flag's value; [`SettingValue::parse`] accepts it.
    fn to_text(&self) -> String;

    /// Returns the value as a number, to compare with the range of its setting; `None` if it isn't
    /// one.
    fn as_number(&self) -> Option<u64> {
        None
    }
}

macro_rules! number_value {
    ($($type:ty),*) => {$(
        impl SettingValue for $type {
            fn parse(text: &str) -> Result<Self, String> {
                text.parse().map_err(|_| "a whole number".to_owned())
            }

            fn to_text(&self) -> String {
                self.to_string()
            }

            fn as_number(&self) -> Option<u64> {
                u64::try_from(*self).ok()
            }
        }
    )*};
}

number_value!(u16, u32, u64, usize);

impl SettingValue for time::SpanMs {
    fn parse(text: &str) -> Result<Self, String> {
        u64::parse(text).map(Self)
    }

    fn to_text(&self) -> String {
        self.0.to_string()
    }

    fn as_number(&self) -> Option<u64> {
        Some(self.0)
    }
}

macro_rules! id_value {
    ($($type:ty),*) => {$(
        impl SettingValue for $type {
            fn parse(text: &str) -> Result<Self, String> {
                Self::new(text).map_err(|error| format!("an identifier: {error}"))
            }

            fn to_text(&self) -> String {
                self.to_string()
            }
        }
    )*};
}

id_value!(id::EntryHostId, id::AvailabilityZoneId, id::PoolId);

impl SettingValue for SocketAddr {
    fn parse(text: &str) -> Result<Self, String> {
        text.parse()
            .map_err(|_| "an address such as 10.0.0.7:7400 (an IP address, not a name)".to_owned())
    }

    fn to_text(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for PathBuf {
    fn parse(text: &str) -> Result<Self, String> {
        Ok(Self::from(text))
    }

    fn to_text(&self) -> String {
        self.display().to_string()
    }
}

impl<T: SettingValue> SettingValue for Option<T> {
    fn parse(text: &str) -> Result<Self, String> {
        if text.is_empty() {
            return Ok(None);
        }
        T::parse(text).map(Some)
    }

    fn to_text(&self) -> String {
        self.as_ref().map(T::to_text).unwrap_or_default()
    }

    fn as_number(&self) -> Option<u64> {
        self.as_ref().and_then(T::as_number)
    }
}

impl<T: SettingValue> SettingValue for Vec<T> {
    fn parse(text: &str) -> Result<Self, String> {
        if text.is_empty() {
            return Ok(Self::new());
        }
        text.split(',')
            .map(|element| T::parse(element.trim()))
            .collect::<Result<_, _>>()
            .map_err(|expected| format!("a comma-separated list, each {expected}"))
    }

    fn to_text(&self) -> String {
        let texts: Vec<String> = self.iter().map(T::to_text).collect();
        texts.join(",")
    }
}

/// Minimum severity of log lines that are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogLevel(pub slog::Level);

impl std::str::FromStr for LogLevel {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Self::parse(text)
    }
}

impl SettingValue for LogLevel {
    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "error" => Ok(Self(slog::Level::Error)),
            "warning" => Ok(Self(slog::Level::Warning)),
            "info" => Ok(Self(slog::Level::Info)),
            "debug" => Ok(Self(slog::Level::Debug)),
            "trace" => Ok(Self(slog::Level::Trace)),
            _ => Err("error, warning, info, debug or trace".to_owned()),
        }
    }

    fn to_text(&self) -> String {
        match self.0 {
            slog::Level::Critical | slog::Level::Error => "error",
            slog::Level::Warning => "warning",
            slog::Level::Info => "info",
            slog::Level::Debug => "debug",
            slog::Level::Trace => "trace",
        }
        .to_owned()
    }
}

/// Destination of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error output.
    Stderr,
}

impl SettingValue for LogOutput {
    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "stdout" => Ok(Self::Stdout),
            "stderr" => Ok(Self::Stderr),
            _ => Err("stdout or stderr".to_owned()),
        }
    }

    fn to_text(&self) -> String {
        match self {
            Self::Stdout => "stdout",
            Self::Stderr => "stderr",
        }
        .to_owned()
    }
}
