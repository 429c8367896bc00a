//! Reads a folder of configuration files.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use snafu::ResultExt;
use snafu::Snafu;

use crate::sha256_hex;

/// Extension of configuration files; other files of the folder are skipped.
const EXTENSION: &str = "json";

/// The configuration files of a folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Folder {
    /// Contents by file name; the order of the names is the order of merging.
    pub files: BTreeMap<String, String>,
}

/// Why a folder can't be read.
#[derive(Debug, Snafu)]
pub enum ReadFolderError {
    /// The folder can't be listed.
    #[snafu(display("list {}: {source}", dir.display()))]
    List {
        /// Path of the folder.
        dir: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file can't be read as UTF-8 text.
    #[snafu(display("read {}: {source}", path.display()))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The name of a file isn't UTF-8.
    #[snafu(display("{}: expected a file name in UTF-8", path.display()))]
    FileName {
        /// Path of the file.
        path: PathBuf,
    },
}

impl Folder {
    /// Reads the `*.json` files of a directory, except hidden ones (names with a leading dot).
    pub fn read(dir: &Path) -> Result<Folder, ReadFolderError> {
        let mut folder = Folder::default();
        for entry in fs::read_dir(dir).context(ListSnafu { dir })? {
            let path = entry.context(ListSnafu { dir })?.path();
            if !is_merged(&path) {
                continue;
            }
            let content = fs::read_to_string(&path).context(ReadFileSnafu { path: &path })?;
            folder.files.insert(file_name(&path)?, content);
        }
        Ok(folder)
    }

    /// Returns the SHA-256 of a file's content, or `None` if the folder doesn't have the file.
    pub fn sha256(&self, file: &str) -> Option<String> {
        self.files
            .get(file)
            .map(|content| sha256_hex(content.as_bytes()))
    }
}

fn is_merged(path: &Path) -> bool {
    let hidden = path
        .file_name()
        .is_none_or(|name| name.as_encoded_bytes().starts_with(b"."));
    !hidden && path.extension().is_some_and(|ext| ext == EXTENSION)
}

fn file_name(path: &Path) -> Result<String, ReadFolderError> {
    path.file_name()
        .and_then(|name| name.to_str())
        .map(str::to_owned)
        .ok_or_else(|| ReadFolderError::FileName { path: path.into() })
}
