//! The operator's folder, and the version on which it is based.

use std::path::Path;

use config::check;
use config::CheckedConfig;
use config::Folder;
use config::Manifest;
use snafu::ensure;
use snafu::ResultExt;

use crate::base_file::BaseFile;
use crate::config_store::Head;
use crate::error::EmptyFolderSnafu;
use crate::error::InvalidFolderSnafu;
use crate::error::ReadFolderSnafu;
use crate::ConfigStore;
use crate::Result;

/// A folder that passed all checks.
pub(crate) struct CheckedFolder {
    /// Files of the folder.
    pub(crate) folder: Folder,
    /// Configuration that the files declare.
    pub(crate) checked: CheckedConfig,
}

impl CheckedFolder {
    /// Reads and checks a folder; an empty one is an error.
    pub(crate) fn read(dir: &Path) -> Result<CheckedFolder> {
        let folder = Folder::read(dir).context(ReadFolderSnafu)?;
        ensure!(!folder.files.is_empty(), EmptyFolderSnafu { dir });
        let checked = check(&folder).context(InvalidFolderSnafu)?;
        Ok(CheckedFolder { folder, checked })
    }
}

/// Returns the manifest of the version on which a folder is based.
///
/// That is `version` if given, else the version in the folder's base file if the
/// file belongs to this platform. Otherwise the manifest is empty, and the
/// folder can add files but not replace or remove any.
pub(crate) async fn base_manifest(
    store: &ConfigStore,
    head: &Head,
    dir: &Path,
    version: Option<u64>,
) -> Result<Manifest> {
    if let Some(version) = version {
        return store.read_manifest(version, head).await;
    }
    let Some(base) = BaseFile::read(dir)? else {
        return Ok(Manifest::default());
    };
    let identity = store.read_identity().await?;
    match identity == Some(base.identity) {
        true => Ok(base.manifest),
        false => Ok(Manifest::default()),
    }
}
