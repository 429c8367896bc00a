//! Errors of the commands and their exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use config::AssembleError;
use config::Conflicts;
use config::Problems;
use config::ReadFolderError;
use snafu::Snafu;

use crate::ExitCode;

/// Why a command failed or was refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An argument is missing or invalid.
    #[snafu(display("{argument}: expected {expected}"))]
    Argument {
        /// Name of the argument.
        argument: &'static str,
        /// Description of a valid argument.
        expected: &'static str,
    },
    /// The folder can't be read.
    #[snafu(display("{source}"))]
    ReadFolder {
        /// Cause.
        source: ReadFolderError,
    },
    /// The folder contains no configuration file.
    #[snafu(display("{}: expected at least one *.json file", dir.display()))]
    EmptyFolder {
        /// Path of the folder.
        dir: PathBuf,
    },
    /// The base file can't be read, parsed or written.
    #[snafu(display("base file {}: {source}", path.display()))]
    BaseFile {
        /// Path of the base file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The folder doesn't pass the checks.
    #[snafu(display("{source}"))]
    InvalidFolder {
        /// Problems that the checks found.
        source: Problems,
    },
    /// Another operator has changed the same files since the base of the change.
    #[snafu(display("refused because the same files were changed meanwhile:\n{source}"))]
    Conflicting {
        /// Conflicting files.
        source: Conflicts,
    },
    /// The configuration of a version can't be built from its files.
    #[snafu(display("refused because the merged files are not a valid configuration: {source}"))]
    Assemble {
        /// Cause.
        source: AssembleError,
    },
    /// A call to the platform failed on every attempt until the deadline.
    #[snafu(display("{step}: {source}"))]
    Platform {
        /// Operation that failed.
        step: &'static str,
        /// Error of the last attempt.
        source: platform::Error,
    },
    /// A record in the platform can't be parsed, or can't be serialised.
    #[snafu(display("record {key}: {source}"))]
    BadRecord {
        /// Key of the record.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// A record exceeds the platform's largest value.
    #[snafu(display("record {key}: expected at most {limit} bytes, found {bytes}"))]
    RecordSize {
        /// Key of the record.
        key: String,
        /// Largest size that the platform accepts, in bytes.
        limit: usize,
        /// Size of the record, in bytes.
        bytes: usize,
    },
    /// A version is neither the current one nor in the history.
    #[snafu(display("version {version} is neither in force nor in the history"))]
    UnknownVersion {
        /// The requested version.
        version: u64,
    },
    /// Another change was accepted first: during a rollback, or on every attempt of `apply` until
    /// the deadline.
    #[snafu(display("refused because version {version} was accepted meanwhile; try again"))]
    HeadChanged {
        /// Current version.
        version: u64,
    },
    /// The file with the request body can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    ReadRequest {
        /// Path of the file.
        file: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A configuration of the users' platform can't be read or decoded.
    #[snafu(display("configuration of {source}: {reason}"))]
    BadConfiguration {
        /// File or store from which it was read.
        #[snafu(source(false))]
        source: String,
        /// Why it can't be used.
        reason: String,
    },
    /// A log file can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    ReadLog {
        /// Path of the file.
        file: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A router didn't respond to a request, or responded with an error.
    #[snafu(display("{step} at router {router}: {reason}"))]
    Router {
        /// Operation that failed.
        step: &'static str,
        /// Address of the router.
        router: SocketAddr,
        /// Body of the error response, or error of the connection.
        reason: String,
    },
    /// A change may or may not have been accepted: the response to its write was lost, and the
    /// stored records can't be read or don't show the outcome.
    #[snafu(display(
        "it is not known whether version {version} with nonce {nonce} was accepted, \
         see `turmerichollowctl history` once the platform responds: {reason}"
    ))]
    OutcomeUnknown {
        /// Version that the change would have created.
        version: u64,
        /// Unique id of the change.
        nonce: String,
        /// Why the outcome can't be determined.
        reason: String,
    },
}

/// Result of a command or of one of its steps.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit code of the program for this error.
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
