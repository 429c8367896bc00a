//! The head record of the configuration in the key-value service.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Key of the head record, a [`Manifest`].
pub const HEAD_KEY: &str = "config/head";

/// Prefix of the keys of file contents; the rest of the key is the content's SHA-256.
pub const FILE_PREFIX: &str = "config/files/";

/// Names the files of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version of the configuration; grows by 1 with each accepted change.
    pub version: u64,
    /// Who made the change.
    pub author: String,
    /// When it was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name that the change was given by its maker, by which a lost answer is settled.
    pub nonce: String,
    /// Files by name.
    pub files: BTreeMap<String, FileEntry>,
}

/// One file of a [`Manifest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileEntry {
    /// SHA-256 of the content, in lower-case hexadecimal.
    pub sha256: String,
    /// Version of the configuration that brought this content.
    pub version: u64,
    /// Who brought this content.
    pub author: String,
}
