//! Reads and writes the configuration in the platform's key-value service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use config::sha256_hex;
use config::Folder;
use config::Manifest;
use config::FILE_PREFIX;
use config::HEAD_KEY;
use futures::stream;
use futures::StreamExt;
use futures::TryStreamExt;
use platform::SwapOutcome;
use platform::Versioned;
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::ResultExt;
use uuid::Uuid;

use crate::error::BadRecordSnafu;
use crate::error::PlatformSnafu;
use crate::error::RecordSizeSnafu;
use crate::Error;
use crate::PlatformClient;
use crate::Result;

/// Key prefix of the manifests of earlier versions; the rest of the key is the version as 20
/// digits, so that keys sort by version.
const HISTORY_PREFIX: &str = "config/history/";

/// Key of the configuration's identity, a random id written with the first change.
const IDENTITY_KEY: &str = "config/identity";

/// Largest value that the platform accepts, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum number of file contents that are read or written concurrently.
const CALLS_AT_ONCE: usize = 16;

/// The current manifest with the version of its key, which a compare-and-swap expects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Version of the key; 0 before the first change.
    pub key_version: u64,
    /// The manifest; its version is 0 before the first change.
    pub manifest: Manifest,
}

/// The configuration in the platform's key-value service: head, history, file contents, identity.
pub struct ConfigStore {
    client: PlatformClient,
}

impl ConfigStore {
    /// Creates a store that accesses the platform through `client`.
    pub fn new(client: PlatformClient) -> ConfigStore {
        ConfigStore { client }
    }

    /// Returns the client of the platform.
    pub fn client(&self) -> &PlatformClient {
        &self.client
    }

    /// Reads the current manifest.
    pub async fn read_head(&self) -> Result<Head> {
        match self.get("read the head", HEAD_KEY).await? {
            Some(stored) => parse_head(&stored),
            None => Ok(Head::default()),
        }
    }

    /// Reads the manifest of a version, from the history unless it is `head`'s; version 0 is empty.
    pub async fn read_manifest(&self, version: u64, head: &Head) -> Result<Manifest> {
        if version == 0 {
            return Ok(Manifest::default());
        }
        if version == head.manifest.version {
            return Ok(head.manifest.clone());
        }
        let former = self.read_archived(version).await?;
        former.ok_or(Error::UnknownVersion { version })
    }

    /// Reads the manifest of a version from the history; `None` if the history doesn't have it.
    pub async fn read_archived(&self, version: u64) -> Result<Option<Manifest>> {
        let key = history_key(version);
        self.read_record("read the history", &key).await
    }

    /// Reads all manifests of the history, oldest first.
    pub async fn read_history(&self) -> Result<Vec<Manifest>> {
        self.list_records("list the history", HISTORY_PREFIX).await
    }

    /// Adds a manifest to the history; called before the next one replaces it as the head.
    pub async fn archive(&self, manifest: &Manifest) -> Result<()> {
        if manifest.version == 0 {
            return Ok(());
        }
        let key = history_key(manifest.version);
        let value = serialise(&key, manifest)?;
        self.put("write the history", &key, value).await
    }

    /// Deletes the manifest of a version from the history.
    pub async fn delete_archived(&self, version: u64) -> Result<()> {
        self.delete(&history_key(version)).await
    }

    /// Deletes a file content to which no manifest refers any longer.
    pub async fn delete_content(&self, sha256: &str) -> Result<()> {
        self.delete(&content_key(sha256)).await
    }

    /// Returns the file contents of a manifest by SHA-256; only those missing in `local` are read.
    ///
    /// Contents that the platform doesn't have are left out.
    pub async fn read_contents(
        &self,
        manifest: &Manifest,
        local: &Folder,
    ) -> Result<BTreeMap<String, Bytes>> {
        let mut contents = contents_by_hash(local);
        let wanted: BTreeSet<String> = manifest
            .files
            .values()
            .map(|entry| &entry.sha256)
            .filter(|sha256| !contents.contains_key(*sha256))
            .cloned()
            .collect();
        let read: Vec<Option<(String, Bytes)>> = stream::iter(wanted)
            .map(|sha256| self.read_content(sha256))
            .buffered(CALLS_AT_ONCE)
            .try_collect()
            .await?;
        contents.extend(read.into_iter().flatten());
        Ok(contents)
    }

    /// Writes the contents of `local` to which `manifest` refers but `head` doesn't.
    pub async fn write_contents(
        &self,
        manifest: &Manifest,
        head: &Manifest,
        local: &Folder,
    ) -> Result<()> {
        let stored: BTreeSet<&String> = head.files.values().map(|entry| &entry.sha256).collect();
        let referenced: BTreeSet<&String> = manifest
            .files
            .values()
            .map(|entry| &entry.sha256)
            .filter(|sha256| !stored.contains(sha256))
            .collect();
        let contents: Vec<(String, Bytes)> = contents_by_hash(local)
            .into_iter()
            .filter(|(sha256, _)| referenced.contains(sha256))
            .collect();
        stream::iter(contents)
            .map(|(sha256, value)| self.write_content(sha256, value))
            .buffered(CALLS_AT_ONCE)
            .try_collect()
            .await
    }

    /// Reads the identity of the configuration; `None` before the first change.
    pub async fn read_identity(&self) -> Result<Option<String>> {
        self.read_record("read the identity", IDENTITY_KEY).await
    }

    /// Reads the identity of the configuration, or creates it if there is none.
    pub async fn ensure_identity(&self) -> Result<String> {
        if let Some(identity) = self.read_identity().await? {
            return Ok(identity);
        }
        let identity = Uuid::new_v4().to_string();
        let value = serialise(IDENTITY_KEY, &identity)?;
        let step = "write the identity";
        self.compare_and_swap(step, IDENTITY_KEY, 0, &value).await?;
        Ok(self.read_identity().await?.unwrap_or(identity))
    }

    /// Reads and parses the JSON record of a key; `None` if the key doesn't exist.
    pub async fn read_record<T>(&self, step: &'static str, key: &str) -> Result<Option<T>>
    where
        T: DeserializeOwned,
    {
        let stored = self.get(step, key).await?;
        stored.map(|stored| parse(key, &stored.value)).transpose()
    }

    /// Reads the value of a key; `step` names the operation in errors.
    pub async fn get(&self, step: &'static str, key: &str) -> Result<Option<Versioned>> {
        let result = self.client.retry(|store| store.get(key)).await;
        result.context(PlatformSnafu { step })
    }

    /// Reads and parses all JSON records under a key prefix.
    pub async fn list_records<T>(&self, step: &'static str, prefix: &str) -> Result<Vec<T>>
    where
        T: DeserializeOwned,
    {
        self.list_values(step, prefix)
            .await?
            .iter()
            .map(|(key, stored)| parse(key, &stored.value))
            .collect()
    }

    /// Reads all keys and values under a key prefix.
    pub async fn list_values(
        &self,
        step: &'static str,
        prefix: &str,
    ) -> Result<Vec<(String, Versioned)>> {
        let result = self.client.retry(|store| store.list(prefix)).await;
        result.context(PlatformSnafu { step })
    }

    async fn write_content(&self, sha256: String, value: Bytes) -> Result<()> {
        let key = content_key(&sha256);
        self.put("write a file", &key, value).await
    }

    async fn read_content(&self, sha256: String) -> Result<Option<(String, Bytes)>> {
        let stored = self.get("read a file", &content_key(&sha256)).await?;
        Ok(stored.map(|stored| (sha256, stored.value)))
    }

    /// Sets a key to `value`, whatever it contains; returns once the key has that value.
    ///
    /// All writers of such a key write the same value, so a race between them is harmless.
    async fn put(&self, step: &'static str, key: &str, value: Bytes) -> Result<()> {
        let mut expected = 0;
        loop {
            match self.compare_and_swap(step, key, expected, &value).await? {
                SwapOutcome::Written(_) => return Ok(()),
                SwapOutcome::Conflict(Some(stored)) if stored.value == value => return Ok(()),
                SwapOutcome::Conflict(stored) => {
                    expected = stored.map_or(0, |stored| stored.version)
                }
            }
        }
    }

    async fn compare_and_swap(
        &self,
        step: &'static str,
        key: &str,
        expected: u64,
        value: &Bytes,
    ) -> Result<SwapOutcome> {
        let result = self
            .client
            .retry(|store| store.compare_and_swap(key, expected, value.clone(), None))
            .await;
        result.context(PlatformSnafu { step })
    }

    async fn delete(&self, key: &str) -> Result<()> {
        let step = "delete";
        let Some(stored) = self.get(step, key).await? else {
            return Ok(());
        };
        let result = self
            .client
            .retry(|store| store.delete(key, stored.version))
            .await;
        result.context(PlatformSnafu { step })?;
        Ok(())
    }
}

/// Parses the value of [`HEAD_KEY`].
pub(crate) fn parse_head(stored: &Versioned) -> Result<Head> {
    Ok(Head {
        key_version: stored.version,
        manifest: parse(HEAD_KEY, &stored.value)?,
    })
}

/// Serialises a record; an error if it exceeds the platform's largest value.
pub(crate) fn serialise<T>(key: &str, record: &T) -> Result<Bytes>
where
    T: Serialize,
{
    let value = serde_json::to_vec(record).context(BadRecordSnafu { key })?;
    if value.len() > MAX_VALUE_BYTES {
        return RecordSizeSnafu {
            key,
            limit: MAX_VALUE_BYTES,
            bytes: value.len(),
        }
        .fail();
    }
    Ok(Bytes::from(value))
}

fn parse<T>(key: &str, value: &[u8]) -> Result<T>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(value).context(BadRecordSnafu { key })
}

fn contents_by_hash(folder: &Folder) -> BTreeMap<String, Bytes> {
    folder
        .files
        .values()
        .map(|text| (sha256_hex(text.as_bytes()), Bytes::from(text.clone())))
        .collect()
}

fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:020}")
}

fn content_key(sha256: &str) -> String {
    format!("{FILE_PREFIX}{sha256}")
}
