//! The macro that generates all types of the settings from one table.
//!
//! A row of the table gives help, name, type, unit, range and default. The field of
//! [`Settings`](super::Settings), the flag, the environment variable, the setter of the builder and
//! the row of `--print-settings` are generated from it, so that they always agree. A test checks
//! the operators' page against it.

/// Declares the settings; [`super`] holds the table.
macro_rules! settings {
    ($(
        $(#[doc = $help:tt])+
        $name:ident: $type:ty, $unit:literal, $range:expr, $default:expr;
    )*) => {
        /// Effective settings of `mangotrestle serve`.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Settings {
            $($(#[doc = $help])+ pub $name: $type,)*
        }

        /// Runs an entry host until it receives SIGTERM or SIGINT.
        #[derive(argh::FromArgs, Clone, Debug, Default)]
        #[argh(
            subcommand,
            name = "serve",
            note = "Each option can also be given as an environment variable: --entry-host as \
                    MANGOTRESTLE_ENTRY_HOST. A flag takes precedence. --print-settings shows \
                    defaults and units."
        )]
        pub struct ServeArguments {
            /// show the effective settings and the source of each, check them, and exit
            #[argh(switch)]
            pub print_settings: bool,
            $($(#[doc = $help])+ #[argh(option)] pub $name: Option<String>,)*
        }

        impl ServeArguments {
            /// Returns the value of each flag, in the order of [`TABLE`].
            fn flag_texts(&self) -> Vec<Option<&str>> {
                vec![$(self.$name.as_deref(),)*]
            }
        }

        /// Declarations of all settings, in the order of the help and of the operators' page.
        pub const TABLE: &[Declaration] = &[
            $(Declaration {
                name: stringify!($name),
                unit: $unit,
                range: $range,
                default: $default,
                help: concat!($($help,)+),
            },)*
        ];

        /// Builder of [`Settings`]; a setting that is not set gets its declared default.
        #[derive(Clone, Debug, Default)]
        pub struct SettingsBuilder {
            $($name: Option<$type>,)*
        }

        impl SettingsBuilder {
            $(
                $(#[doc = $help])+
                #[must_use]
                pub fn $name(mut self, $name: $type) -> Self {
                    self.$name = Some($name);
                    self
                }
            )*

            /// Parses the text of each setting, and adds a fault for each one that is missing or
            /// invalid.
            fn parse(effective: &[EffectiveSetting], faults: &mut Vec<Fault>) -> Self {
                let mut builder = Self::default();
                let mut settings = effective.iter();
                $(
                    builder.$name = settings
                        .next()
                        .and_then(|setting| parse_setting(setting, faults));
                )*
                builder
            }

            /// Sets each unset setting to its default, and adds a fault for each one without a
            /// default.
            fn fill_defaults(&mut self, faults: &mut Vec<Fault>) {
                let mut declarations = TABLE.iter();
                $(
                    if let Some(declaration) = declarations.next()
                        && self.$name.is_none()
                    {
                        self.$name = parse_default(declaration, faults);
                    }
                )*
            }

            /// Returns the settings if all have a value.
            fn finish(self) -> Option<Settings> {
                Some(Settings { $($name: self.$name?,)* })
            }
        }

        impl Settings {
            /// Returns each value in the form of a flag's value, in the order of [`TABLE`].
            #[must_use]
            pub fn texts(&self) -> Vec<String> {
                vec![$(SettingValue::to_text(&self.$name),)*]
            }

            /// Returns each value as a number, or `None` if it isn't one, in the order of
            /// [`TABLE`].
            fn numbers(&self) -> Vec<Option<u64>> {
                vec![$(SettingValue::as_number(&self.$name),)*]
            }
        }
    };
}

pub(crate) use settings;
