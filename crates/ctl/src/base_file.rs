//! The base file, which records the version on which a folder is based.

use std::fs;
use std::io;
use std::path::Path;

use config::Manifest;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::error::BaseFileSnafu;
use crate::Result;

/// Name of the base file; the leading dot keeps it out of the configuration.
pub const BASE_FILE: &str = ".turmerichollow-base.json";

/// For each file of a folder, the latest published version with the same content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BaseFile {
    /// Identity of the configuration; a base file from another platform isn't used.
    pub(crate) identity: String,
    /// Files of the folder with the versions that introduced their contents.
    pub(crate) manifest: Manifest,
}

impl BaseFile {
    /// Reads the base file of a folder; `None` if it doesn't exist.
    pub(crate) fn read(dir: &Path) -> Result<Option<BaseFile>> {
        let path = dir.join(BASE_FILE);
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e).context(BaseFileSnafu { path }),
        };
        serde_json::from_str(&text)
            .map_err(io::Error::from)
            .context(BaseFileSnafu { path })
    }

    /// Writes the base file of a folder, replacing an existing one.
    pub(crate) fn write(&self, dir: &Path) -> Result<()> {
        let path = dir.join(BASE_FILE);
        let text = serde_json::to_string_pretty(self).expect("a manifest has string keys");
        fs::write(&path, text + "\n").context(BaseFileSnafu { path })
    }
}
