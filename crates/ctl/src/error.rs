//! Errors of the commands.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use config::AssembleError;
use config::Conflicts;
use config::Problems;
use config::ReadFolderError;
use snafu::Snafu;

use crate::ExitCode;

/// A command that failed or was refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An argument is missing or wrong.
    #[snafu(display("{argument}: expected {expected}"))]
    Argument {
        /// Name of the argument.
        argument: &'static str,
        /// What was expected.
        expected: &'static str,
    },
    /// The folder can't be read.
    #[snafu(display("{source}"))]
    ReadFolder {
        /// What was wrong.
        source: ReadFolderError,
    },
    /// The folder has no file to merge.
    #[snafu(display("{}: expected at least one *.json file", dir.display()))]
    EmptyFolder {
        /// Path of the folder.
        dir: PathBuf,
    },
    /// The base file can't be used.
    #[snafu(display("base file {}: {source}", path.display()))]
    BaseFile {
        /// Path of the base file.
        path: PathBuf,
        /// What was wrong.
        source: io::Error,
    },
    /// The folder has faults.
    #[snafu(display("{source}"))]
    InvalidFolder {
        /// The faults.
        source: Problems,
    },
    /// The change and another operator's touch the same files.
    #[snafu(display("refused, for the same files were changed meanwhile:\n{source}"))]
    Conflicting {
        /// The files.
        source: Conflicts,
    },
    /// The files of a version don't give a configuration.
    #[snafu(display("refused, for the merged files don't hold together: {source}"))]
    Assemble {
        /// What was wrong.
        source: AssembleError,
    },
    /// A call to the platform failed until the deadline.
    #[snafu(display("{step}: {source}"))]
    Platform {
        /// Step that failed.
        step: &'static str,
        /// What the platform's adapter said.
        source: platform::Error,
    },
    /// A record in the platform doesn't have the expected form.
    #[snafu(display("record {key}: {source}"))]
    BadRecord {
        /// Key of the record.
        key: String,
        /// What was wrong.
        source: serde_json::Error,
    },
    /// A record is larger than the platform's largest value.
    #[snafu(display("record {key}: expected at most {limit} bytes, found {bytes}"))]
    RecordSize {
        /// Key of the record.
        key: String,
        /// Largest size, in bytes.
        limit: usize,
        /// Size, in bytes.
        bytes: usize,
    },
    /// The history doesn't hold a version.
    #[snafu(display("version {version} is neither in force nor in the history"))]
    UnknownVersion {
        /// The version.
        version: u64,
    },
    /// Other changes kept coming first until the deadline.
    #[snafu(display("refused, for version {version} was accepted meanwhile; try again"))]
    HeadChanged {
        /// Version in force.
        version: u64,
    },
    /// The file with a request can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    ReadRequest {
        /// File.
        file: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A router's log can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    ReadLog {
        /// File.
        file: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A router did not answer a question.
    #[snafu(display("{step} at router {router}: {reason}"))]
    Router {
        /// Step that failed.
        step: &'static str,
        /// Address of the router.
        router: SocketAddr,
        /// What the router or the transport said.
        reason: String,
    },
    /// It isn't known whether a change was accepted.
    #[snafu(display(
        "not known whether version {version} with nonce {nonce} was accepted, \
         see `turmerichollowctl history` once the platform answers: {reason}"
    ))]
    OutcomeUnknown {
        /// Version that the change would have.
        version: u64,
        /// Nonce of the change.
        nonce: String,
        /// Why it isn't known.
        reason: String,
    },
}

/// Result of a step of a command.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit code that the program ends with.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Error::Argument { .. }
            | Error::ReadFolder { .. }
            | Error::EmptyFolder { .. }
            | Error::BaseFile { .. }
            | Error::ReadLog { .. }
            | Error::ReadRequest { .. } => ExitCode::Usage,
            _ => ExitCode::Refused,
        }
    }
}
