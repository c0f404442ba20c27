//! Values that a setting can have, and how each is read from text.

use std::net::SocketAddr;
use std::path::PathBuf;

use mangotrestle_core::id;
use mangotrestle_core::time;

/// A type that a setting can have.
pub trait SettingValue: Sized {
    /// Reads a value.
    ///
    /// # Errors
    ///
    /// What was expected instead.
    fn parse(text: &str) -> Result<Self, String>;

    /// The value as a flag would give it.
    fn show(&self) -> String;

    /// The value as a number, to compare with the range of its setting.
    fn magnitude(&self) -> Option<u64> {
        None
    }
}

macro_rules! number_value {
    ($($type:ty),*) => {$(
        impl SettingValue for $type {
            fn parse(text: &str) -> Result<Self, String> {
                text.parse().map_err(|_| "a whole number".to_owned())
            }

            fn show(&self) -> String {
                self.to_string()
            }

            fn magnitude(&self) -> Option<u64> {
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

    fn show(&self) -> String {
        self.0.to_string()
    }

    fn magnitude(&self) -> Option<u64> {
        Some(self.0)
    }
}

macro_rules! id_value {
    ($($type:ty),*) => {$(
        impl SettingValue for $type {
            fn parse(text: &str) -> Result<Self, String> {
                Self::new(text).map_err(|error| format!("an identifier: {error}"))
            }

            fn show(&self) -> String {
                self.to_string()
            }
        }
    )*};
}

id_value!(id::EntryHostId, id::AvailabilityZoneId, id::PoolId);

impl SettingValue for SocketAddr {
    fn parse(text: &str) -> Result<Self, String> {
        text.parse()
            .map_err(|_| "an address such as 10.0.0.7:7400 (an IP number, not a name)".to_owned())
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for PathBuf {
    fn parse(text: &str) -> Result<Self, String> {
        Ok(Self::from(text))
    }

    fn show(&self) -> String {
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

    fn show(&self) -> String {
        self.as_ref().map(T::show).unwrap_or_default()
    }

    fn magnitude(&self) -> Option<u64> {
        self.as_ref().and_then(T::magnitude)
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
            .map_err(|expected| format!("a list with commas, each {expected}"))
    }

    fn show(&self) -> String {
        let texts: Vec<String> = self.iter().map(T::show).collect();
        texts.join(",")
    }
}

/// Least severe log lines that are written.
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

    fn show(&self) -> String {
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

/// Where log lines go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogOutput {
    /// The standard output.
    Stdout,
    /// The standard error output.
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

    fn show(&self) -> String {
        match self {
            Self::Stdout => "stdout",
            Self::Stderr => "stderr",
        }
        .to_owned()
    }
}
