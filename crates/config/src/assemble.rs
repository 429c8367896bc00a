//! Builds the configuration from a manifest and the contents of its files.

use std::collections::BTreeMap;

use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use crate::check;
use crate::sha256_hex;
use crate::Config;
use crate::FileEntry;
use crate::Folder;
use crate::Manifest;
use crate::Problems;

/// Why the configuration of a manifest can't be built.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AssembleError {
    /// The content of a file wasn't supplied.
    #[snafu(display("{file}: content {sha256} is missing"))]
    Missing {
        /// Name of the file.
        file: String,
        /// SHA-256 that the manifest lists for the file.
        sha256: String,
    },
    /// The content of a file doesn't match the hash in the manifest.
    #[snafu(display("{file}: expected content {sha256}, found {found}"))]
    HashMismatch {
        /// Name of the file.
        file: String,
        /// SHA-256 that the manifest lists for the file.
        sha256: String,
        /// SHA-256 of the supplied content.
        found: String,
    },
    /// The content of a file isn't UTF-8.
    #[snafu(display("{file}: expected UTF-8 text"))]
    NotUtf8 {
        /// Name of the file.
        file: String,
    },
    /// The merged files don't pass the checks.
    #[snafu(display("version {version}: {source}"))]
    Invalid {
        /// Version of the manifest.
        version: u64,
        /// Problems that the checks found.
        source: Problems,
    },
}

/// Builds the configuration of `manifest`: verifies `contents`, merges and checks them.
///
/// `contents` maps the SHA-256 of a file's content to the content.
pub fn assemble<C>(
    manifest: &Manifest,
    contents: &BTreeMap<String, C>,
) -> Result<Config, AssembleError>
where
    C: AsRef<[u8]>,
{
    let folder = verified_folder(manifest, contents)?;
    let checked = check(&folder).context(InvalidSnafu {
        version: manifest.version,
    })?;
    Ok(checked.config)
}

/// Checks `contents` against the hashes in `manifest` and returns them by file name.
///
/// `contents` maps the SHA-256 of a file's content to the content.
pub fn verified_folder<C>(
    manifest: &Manifest,
    contents: &BTreeMap<String, C>,
) -> Result<Folder, AssembleError>
where
    C: AsRef<[u8]>,
{
    let mut folder = Folder::default();
    for (file, entry) in &manifest.files {
        let content = contents.get(&entry.sha256).context(MissingSnafu {
            file,
            sha256: &entry.sha256,
        })?;
        let text = verify(file, entry, content.as_ref())?;
        folder.files.insert(file.clone(), text);
    }
    Ok(folder)
}

fn verify(file: &str, entry: &FileEntry, content: &[u8]) -> Result<String, AssembleError> {
    let found = sha256_hex(content);
    if found != entry.sha256 {
        return HashMismatchSnafu {
            file,
            sha256: &entry.sha256,
            found,
        }
        .fail();
    }
    match std::str::from_utf8(content) {
        Ok(text) => Ok(text.to_owned()),
        Err(_) => NotUtf8Snafu { file }.fail(),
    }
}
