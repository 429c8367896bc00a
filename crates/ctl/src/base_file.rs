//! The file that records on which version a folder is based.

use std::fs;
use std::io;
use std::path::Path;

use config::Manifest;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::error::BaseFileSnafu;
use crate::Result;

/// Name of the base file; the merge skips it, for it starts with a dot.
pub const BASE_FILE: &str = ".turmerichollow-base.json";

/// The last version that a folder agreed with, file by file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BaseFile {
    /// Identity of the configuration, which differs between platforms.
    pub(crate) identity: String,
    /// Files of the folder with the versions that brought their contents.
    pub(crate) manifest: Manifest,
}

impl BaseFile {
    /// Reads the base file of a folder, none if there is no such file.
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

    /// Replaces the base file of a folder.
    pub(crate) fn write(&self, dir: &Path) -> Result<()> {
        let path = dir.join(BASE_FILE);
        let text = serde_json::to_string_pretty(self).expect("a manifest has string keys");
        fs::write(&path, text + "\n").context(BaseFileSnafu { path })
    }
}
