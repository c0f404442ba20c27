//! The macro that turns the one table of settings into the types that use it.
//!
//! A row of the table gives help, name, type, unit, range and default. From it come the field of
//! [`Settings`](super::Settings), the flag, the environment variable, the setter of the builder,
//! the row of `--print-settings` and the row of the operators' page, so that none of them can
//! differ from another.

/// Declares the settings; see [`super`] for the table itself.
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

        /// Runs an entry host until it is told to stop.
        #[derive(argh::FromArgs, Clone, Debug, Default)]
        #[argh(
            subcommand,
            name = "serve",
            note = "Each option can be given as an environment variable too: --entry-host as \
                    MANGOTRESTLE_ENTRY_HOST. A flag wins. --print-settings shows defaults and units."
        )]
        pub struct ServeArguments {
            /// show the effective settings and where each comes from, check them, and exit
            #[argh(switch)]
            pub print_settings: bool,
            $($(#[doc = $help])+ #[argh(option)] pub $name: Option<String>,)*
        }

        impl ServeArguments {
            /// What the flags give, in the order of [`TABLE`].
            fn texts(&self) -> Vec<Option<&str>> {
                vec![$(self.$name.as_deref(),)*]
            }
        }

        /// Every setting, in the order of help and pages.
        pub const TABLE: &[Declaration] = &[
            $(Declaration {
                name: stringify!($name),
                unit: $unit,
                range: $range,
                default: $default,
                help: concat!($($help,)+),
            },)*
        ];

        /// Collects settings; an option that is not set takes its declared default.
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

            /// Reads every text that is given; faults are added to the list.
            fn read(effective: &[Effective], faults: &mut Vec<Fault>) -> Self {
                let mut builder = Self::default();
                let mut rows = effective.iter();
                $(builder.$name = rows.next().and_then(|row| read_one(row, faults));)*
                builder
            }

            /// Gives every unset option its default; options without one are faults.
            fn fill(&mut self, faults: &mut Vec<Fault>) {
                let mut rows = TABLE.iter();
                $(
                    if let Some(declaration) = rows.next()
                        && self.$name.is_none()
                    {
                        self.$name = read_default(declaration, faults);
                    }
                )*
            }

            /// The settings, if each has a value.
            fn finish(self) -> Option<Settings> {
                Some(Settings { $($name: self.$name?,)* })
            }
        }

        impl Settings {
            /// Each value as a flag would give it, in the order of [`TABLE`].
            #[must_use]
            pub fn texts(&self) -> Vec<String> {
                vec![$(SettingValue::show(&self.$name),)*]
            }

            /// Each value as a number where it is one, in the order of [`TABLE`].
            fn magnitudes(&self) -> Vec<Option<u64>> {
                vec![$(SettingValue::magnitude(&self.$name),)*]
            }
        }
    };
}

pub(crate) use settings;
