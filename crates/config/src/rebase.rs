//! Rebases an operator's change onto the current version (a three-way merge by file).

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use snafu::Snafu;

use crate::FileEntry;
use crate::Folder;
use crate::Manifest;

/// What a change does to the files of the current version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RebasedChange {
    /// Files that the change adds or modifies.
    pub put: BTreeSet<String>,
    /// Files that the change removes.
    pub removed: BTreeSet<String>,
    /// Files that other operators changed since the base; the change leaves them as they are.
    pub kept: BTreeSet<String>,
}

/// Author, time and unique id of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeMetadata {
    /// Name of the operator.
    pub author: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Unique id of the change, see [`Manifest::nonce`].
    pub nonce: String,
}

/// A file that both this change and another operator's change modified.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Conflict {
    /// Name of the file.
    pub file: String,
    /// Operator who makes this change.
    pub author: String,
    /// Version of the file's content on which this change is based; 0 for none.
    pub base_version: u64,
    /// Author of the file's current content; if the file was removed, of the current version.
    pub current_author: String,
    /// Version that introduced the file's current content; if the file was removed, the
    /// current version.
    pub current_version: u64,
    /// Whether the current version no longer has the file.
    pub removed: bool,
}

/// All conflicts that prevent a change from being rebased.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Snafu)]
#[snafu(display("{}", lines(conflicts)))]
#[serde(transparent)]
pub struct Conflicts {
    /// The conflicts; never empty.
    pub conflicts: Vec<Conflict>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}'s change is based on ", self.file, self.author)?;
        match self.base_version {
            0 => write!(f, "no version")?,
            version => write!(f, "version {version}")?,
        }
        let (author, version) = (&self.current_author, self.current_version);
        match self.removed {
            true => write!(
                f,
                ", but the file was removed by version {version} of {author}"
            ),
            false => write!(f, ", but the file holds version {version} of {author}"),
        }
    }
}

fn lines(conflicts: &[Conflict]) -> String {
    let lines: Vec<String> = conflicts.iter().map(Conflict::to_string).collect();
    lines.join("\n")
}

/// Rebases the change from `base` to `local` onto `current`.
///
/// If only one side changed a file, that side's content is used. If both sides
/// changed it to different contents, it is a conflict, reported with `author`
/// as the author of this change.
pub fn rebase(
    base: &Manifest,
    local: &Folder,
    current: &Manifest,
    author: &str,
) -> Result<RebasedChange, Conflicts> {
    let mut rebased = RebasedChange::default();
    let mut conflicts = Vec::new();
    for file in file_names(base, local, current) {
        let local_hash = local.sha256(file);
        let base_hash = hash(base.files.get(file));
        let current_hash = hash(current.files.get(file));
        if local_hash.as_deref() == current_hash {
            continue;
        }
        let local_changed = local_hash.as_deref() != base_hash;
        let current_changed = current_hash != base_hash;
        if local_changed && current_changed {
            conflicts.push(conflict(file, base, current, author));
            continue;
        }
        let files = match (local_changed, local_hash) {
            (true, Some(_)) => &mut rebased.put,
            (true, None) => &mut rebased.removed,
            (false, _) => &mut rebased.kept,
        };
        files.insert(file.clone());
    }
    match conflicts.is_empty() {
        true => Ok(rebased),
        false => Err(Conflicts { conflicts }),
    }
}

/// Returns the base for the next change of the folder, after `accepted` was published.
///
/// For each file of the folder it holds the latest version whose content equals
/// the folder's. Files that other operators added and the folder doesn't have
/// are left out; otherwise the next change would remove them.
pub fn next_base(base: &Manifest, local: &Folder, accepted: &Manifest) -> Manifest {
    let entry_of = |file: &String| {
        let local_hash = local.sha256(file);
        let entries = [accepted.files.get(file), base.files.get(file)];
        let matching = entries
            .into_iter()
            .flatten()
            .find(|entry| Some(&entry.sha256) == local_hash.as_ref())?;
        Some((file.clone(), matching.clone()))
    };
    Manifest {
        files: local.files.keys().filter_map(entry_of).collect(),
        ..accepted.clone()
    }
}

impl RebasedChange {
    /// Returns whether the change leaves the current version unchanged.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.removed.is_empty()
    }

    /// Returns the manifest of the version that follows `current` if the change is accepted.
    pub fn manifest(
        &self,
        local: &Folder,
        current: &Manifest,
        metadata: &ChangeMetadata,
    ) -> Manifest {
        let version = current.version + 1;
        let mut files = current.files.clone();
        files.retain(|file, _| !self.removed.contains(file));
        for file in &self.put {
            let Some(sha256) = local.sha256(file) else {
                continue;
            };
            let entry = FileEntry {
                sha256,
                version,
                author: metadata.author.clone(),
            };
            files.insert(file.clone(), entry);
        }
        Manifest {
            version,
            author: metadata.author.clone(),
            at_ms: metadata.at_ms,
            nonce: metadata.nonce.clone(),
            files,
        }
    }
}

fn file_names<'a>(
    base: &'a Manifest,
    local: &'a Folder,
    current: &'a Manifest,
) -> BTreeSet<&'a String> {
    base.files
        .keys()
        .chain(local.files.keys())
        .chain(current.files.keys())
        .collect()
}

fn hash(entry: Option<&FileEntry>) -> Option<&str> {
    entry.map(|entry| entry.sha256.as_str())
}

fn conflict(file: &str, base: &Manifest, current: &Manifest, author: &str) -> Conflict {
    let current_entry = current.files.get(file);
    Conflict {
        file: file.to_owned(),
        author: author.to_owned(),
        base_version: base.files.get(file).map_or(0, |entry| entry.version),
        current_author: current_entry
            .map_or(&current.author, |entry| &entry.author)
            .clone(),
        current_version: current_entry.map_or(current.version, |entry| entry.version),
        removed: current_entry.is_none(),
    }
}
