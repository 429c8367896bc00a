//! The records of the configuration in the key-value service.

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

/// Prefix of the keys of former manifests; the rest of the key is the version, in 20 digits.
const HISTORY_PREFIX: &str = "config/history/";

/// Key of the identity that the first change gives the configuration.
const IDENTITY_KEY: &str = "config/identity";

/// Largest value that the platform takes, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Records that are read or written at once.
const CALLS_AT_ONCE: usize = 16;

/// The manifest in force, with the version of its key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Version of the key, 0 before the first change.
    pub key_version: u64,
    /// The manifest, version 0 before the first change.
    pub manifest: Manifest,
}

/// The records of the configuration in the key-value service.
pub struct ConfigStore {
    client: PlatformClient,
}

impl ConfigStore {
    /// Creates the records' store over a client.
    pub fn new(client: PlatformClient) -> ConfigStore {
        ConfigStore { client }
    }

    /// Returns the client.
    pub fn client(&self) -> &PlatformClient {
        &self.client
    }

    /// Reads the manifest in force.
    pub async fn head(&self) -> Result<Head> {
        match self.get("read the head", HEAD_KEY).await? {
            Some(held) => parse_head(&held),
            None => Ok(Head::default()),
        }
    }

    /// Reads the manifest of a version; `head` is the one in force.
    pub async fn manifest_at(&self, version: u64, head: &Head) -> Result<Manifest> {
        if version == 0 {
            return Ok(Manifest::default());
        }
        if version == head.manifest.version {
            return Ok(head.manifest.clone());
        }
        let former = self.former(version).await?;
        former.ok_or(Error::UnknownVersion { version })
    }

    /// Reads a former manifest, none if the history doesn't hold it.
    pub async fn former(&self, version: u64) -> Result<Option<Manifest>> {
        let key = history_key(version);
        self.record("read the history", &key).await
    }

    /// Reads all former manifests, the oldest first.
    pub async fn history(&self) -> Result<Vec<Manifest>> {
        self.list("list the history", HISTORY_PREFIX).await
    }

    /// Keeps a manifest in the history, before another one takes its place.
    pub async fn keep(&self, manifest: &Manifest) -> Result<()> {
        if manifest.version == 0 {
            return Ok(());
        }
        let key = history_key(manifest.version);
        let value = serialise(&key, manifest)?;
        self.ensure("keep the history", &key, value).await
    }

    /// Deletes a former manifest.
    pub async fn forget(&self, version: u64) -> Result<()> {
        self.delete(&history_key(version)).await
    }

    /// Deletes a content that no manifest names.
    pub async fn delete_content(&self, sha256: &str) -> Result<()> {
        self.delete(&content_key(sha256)).await
    }

    /// Reads the contents of a manifest by hash; those of `own` aren't read again.
    pub async fn contents(
        &self,
        manifest: &Manifest,
        own: &Folder,
    ) -> Result<BTreeMap<String, Bytes>> {
        let mut contents = contents_of(own);
        let wanted: BTreeSet<String> = manifest
            .files
            .values()
            .map(|entry| &entry.sha256)
            .filter(|sha256| !contents.contains_key(*sha256))
            .cloned()
            .collect();
        let read: Vec<Option<(String, Bytes)>> = stream::iter(wanted)
            .map(|sha256| self.content(sha256))
            .buffered(CALLS_AT_ONCE)
            .try_collect()
            .await?;
        contents.extend(read.into_iter().flatten());
        Ok(contents)
    }

    /// Writes the contents of `own` that `manifest` names and `head` doesn't.
    pub async fn put_contents(
        &self,
        manifest: &Manifest,
        head: &Manifest,
        own: &Folder,
    ) -> Result<()> {
        let held: BTreeSet<&String> = head.files.values().map(|entry| &entry.sha256).collect();
        let named: BTreeSet<&String> = manifest
            .files
            .values()
            .map(|entry| &entry.sha256)
            .filter(|sha256| !held.contains(sha256))
            .collect();
        let contents: Vec<(String, Bytes)> = contents_of(own)
            .into_iter()
            .filter(|(sha256, _)| named.contains(sha256))
            .collect();
        stream::iter(contents)
            .map(|(sha256, value)| self.put_content(sha256, value))
            .buffered(CALLS_AT_ONCE)
            .try_collect()
            .await
    }

    /// Reads the identity of the configuration, none before the first change.
    pub async fn identity(&self) -> Result<Option<String>> {
        self.record("read the identity", IDENTITY_KEY).await
    }

    /// Reads the identity of the configuration, and gives it one if it has none.
    pub async fn ensure_identity(&self) -> Result<String> {
        if let Some(identity) = self.identity().await? {
            return Ok(identity);
        }
        let identity = Uuid::new_v4().to_string();
        let value = serialise(IDENTITY_KEY, &identity)?;
        let step = "write the identity";
        self.swap(step, IDENTITY_KEY, 0, &value).await?;
        Ok(self.identity().await?.unwrap_or(identity))
    }

    /// Reads a record, none if the key is absent.
    pub async fn record<T>(&self, step: &'static str, key: &str) -> Result<Option<T>>
    where
        T: DeserializeOwned,
    {
        let held = self.get(step, key).await?;
        held.map(|held| parse(key, &held.value)).transpose()
    }

    /// Reads a key.
    pub async fn get(&self, step: &'static str, key: &str) -> Result<Option<Versioned>> {
        let call = self.client.repeat(|store| store.get(key)).await;
        call.context(PlatformSnafu { step })
    }

    /// Reads all records under a prefix.
    pub async fn list<T>(&self, step: &'static str, prefix: &str) -> Result<Vec<T>>
    where
        T: DeserializeOwned,
    {
        self.entries(step, prefix)
            .await?
            .iter()
            .map(|(key, held)| parse(key, &held.value))
            .collect()
    }

    /// Reads all keys under a prefix.
    pub async fn entries(
        &self,
        step: &'static str,
        prefix: &str,
    ) -> Result<Vec<(String, Versioned)>> {
        let call = self.client.repeat(|store| store.list(prefix)).await;
        call.context(PlatformSnafu { step })
    }

    async fn put_content(&self, sha256: String, value: Bytes) -> Result<()> {
        let key = content_key(&sha256);
        self.ensure("write a file", &key, value).await
    }

    async fn content(&self, sha256: String) -> Result<Option<(String, Bytes)>> {
        let held = self.get("read a file", &content_key(&sha256)).await?;
        Ok(held.map(|held| (sha256, held.value)))
    }

    /// Brings a key to a value that doesn't depend on who writes it.
    async fn ensure(&self, step: &'static str, key: &str, value: Bytes) -> Result<()> {
        let mut expected = 0;
        loop {
            match self.swap(step, key, expected, &value).await? {
                SwapOutcome::Written(_) => return Ok(()),
                SwapOutcome::Conflict(Some(held)) if held.value == value => return Ok(()),
                SwapOutcome::Conflict(held) => expected = held.map_or(0, |held| held.version),
            }
        }
    }

    async fn swap(
        &self,
        step: &'static str,
        key: &str,
        expected: u64,
        value: &Bytes,
    ) -> Result<SwapOutcome> {
        let call = self
            .client
            .repeat(|store| store.compare_and_swap(key, expected, value.clone(), None))
            .await;
        call.context(PlatformSnafu { step })
    }

    async fn delete(&self, key: &str) -> Result<()> {
        let step = "delete";
        let Some(held) = self.get(step, key).await? else {
            return Ok(());
        };
        let call = self
            .client
            .repeat(|store| store.delete(key, held.version))
            .await;
        call.context(PlatformSnafu { step })?;
        Ok(())
    }
}

/// Parses the head record.
pub(crate) fn parse_head(held: &Versioned) -> Result<Head> {
    Ok(Head {
        key_version: held.version,
        manifest: parse(HEAD_KEY, &held.value)?,
    })
}

/// Serialises a record and checks that the platform takes its size.
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

fn contents_of(folder: &Folder) -> BTreeMap<String, Bytes> {
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
