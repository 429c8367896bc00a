//! Errors in the settings file.

use snafu::Snafu;

/// An error in the settings file; its message is one line.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{file}: expected a readable file: {reason}"))]
    Unreadable {
        /// Path of the settings file.
        file: String,
        /// Error of the operating system.
        reason: String,
    },
    /// The file is not JSON.
    #[snafu(display("{file}: expected JSON: {reason}"))]
    NotJson {
        /// Path of the settings file.
        file: String,
        /// Error of the JSON parser, with line and column.
        reason: String,
    },
    /// A field is missing, unknown or invalid.
    #[snafu(display("{file}: {field}: {expected}"))]
    Field {
        /// Path of the settings file.
        file: String,
        /// Name of the field, with its section as prefix: `limits.body_ms`.
        field: String,
        /// What was expected instead.
        expected: String,
    },
}
