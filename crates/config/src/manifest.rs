//! The manifest of a configuration version and its keys in the key-value service.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Key of the head record: the [`Manifest`] of the current version.
pub const HEAD_KEY: &str = "config/head";

/// Key prefix of file contents, which are stored by SHA-256: the hash is the rest of the key.
pub const FILE_PREFIX: &str = "config/files/";

/// The list of files of one configuration version, and the change that made it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version of the configuration; increases by 1 with each accepted change.
    pub version: u64,
    /// Operator who made the change.
    pub author: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Unique id of the change. After a lost response, a client finds out by it whether its
    /// own write was accepted.
    pub nonce: String,
    /// Files by file name.
    pub files: BTreeMap<String, FileEntry>,
}

/// One file of a [`Manifest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileEntry {
    /// SHA-256 of the content, in lower-case hexadecimal.
    pub sha256: String,
    /// Version of the configuration that introduced this content.
    pub version: u64,
    /// Operator who introduced this content.
    pub author: String,
}
