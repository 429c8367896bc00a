//! Watches the configuration on the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::assemble;
use config::AssembleError;
use config::Config;
use config::Manifest;
use config::FILE_PREFIX;
use config::HEAD_KEY;
use platform::KeyValue;
use platform::Version;
use platform::Versioned;
use policy::Event;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::jitter;
use crate::NodeHandle;
use crate::RouterState;

/// Time for which the platform holds a watch request without a change, in milliseconds.
const WATCH_MS: u64 = 20_000;

/// Timeout of a watch request; longer than the time for which the platform holds it.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Mean time between two attempts while the platform can't be read, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 1_500;

/// Watches the configuration on the platform and sends each new version to the node.
pub struct ConfigTask {
    /// Client of the platform's key-value service.
    pub key_value: Arc<dyn KeyValue>,
    /// Handle of the node's actor.
    pub node: NodeHandle,
    /// State of the router, for the version in force.
    pub state: watch::Receiver<RouterState>,
}

/// Why the configuration could not be read.
#[derive(Debug, Snafu)]
enum ConfigError {
    #[snafu(display("{source}"))]
    Platform { source: platform::Error },
    #[snafu(display("{step} timed out"))]
    TimedOut { step: &'static str },
    #[snafu(display("{HEAD_KEY}: {source}"))]
    Head { source: serde_json::Error },
    #[snafu(display("{key} is absent"))]
    Absent { key: String },
    #[snafu(display("{source}"))]
    Assemble { source: AssembleError },
}

impl ConfigTask {
    /// Runs until the router's tasks are aborted.
    pub async fn run(self) {
        let mut files = BTreeMap::new();
        let mut seen = None;
        loop {
            let step = match seen {
                None => self.read_head().await,
                Some(version) => self.watch_head(version).await,
            };
            let step = match step {
                Ok(head) => self.apply_head(head, &mut files).await,
                Err(e) => Err(e),
            };
            match step {
                Ok(version) => seen = Some(version),
                Err(e) => {
                    log::warn!("event=config_not_read reason={:?}", e.to_string());
                    seen = None;
                    sleep(jitter::around(RETRY_INTERVAL_MS)).await;
                }
            }
        }
    }

    async fn read_head(&self) -> Result<Option<Versioned>, ConfigError> {
        self.read(HEAD_KEY).await
    }

    async fn watch_head(&self, seen: Version) -> Result<Option<Versioned>, ConfigError> {
        let watch = self.key_value.watch(HEAD_KEY, seen, WATCH_MS);
        match timeout(WATCH_TIMEOUT, watch).await {
            Ok(result) => Ok(result.context(PlatformSnafu)?.value),
            Err(_) => TimedOutSnafu { step: "watch" }.fail(),
        }
    }

    async fn read(&self, key: &str) -> Result<Option<Versioned>, ConfigError> {
        match timeout(READ_TIMEOUT, self.key_value.get(key)).await {
            Ok(result) => result.context(PlatformSnafu),
            Err(_) => TimedOutSnafu { step: "get" }.fail(),
        }
    }

    /// Fetches the configuration that `head` refers to and sends it to the node, if it is newer
    /// than the one in force. Returns the version of the head key, 0 if there is no such key.
    async fn apply_head(
        &self,
        head: Option<Versioned>,
        files: &mut BTreeMap<String, Bytes>,
    ) -> Result<Version, ConfigError> {
        let Some(head) = head else {
            return Ok(0);
        };
        let manifest: Manifest = serde_json::from_slice(&head.value).context(HeadSnafu)?;
        if manifest.version > self.state.borrow().version {
            let config = self.fetch(&manifest, files).await?;
            self.node.send_event(Event::Config {
                version: manifest.version,
                config: Arc::new(config),
            });
        }
        Ok(head.version)
    }

    async fn fetch(
        &self,
        manifest: &Manifest,
        files: &mut BTreeMap<String, Bytes>,
    ) -> Result<Config, ConfigError> {
        files.retain(|sha256, _| manifest.files.values().any(|file| file.sha256 == *sha256));
        for file in manifest.files.values() {
            if !files.contains_key(&file.sha256) {
                let content = self.fetch_file(&file.sha256).await?;
                files.insert(file.sha256.clone(), content);
            }
        }
        assemble(manifest, files).context(AssembleSnafu)
    }

    async fn fetch_file(&self, sha256: &str) -> Result<Bytes, ConfigError> {
        let key = format!("{FILE_PREFIX}{sha256}");
        let held = self.read(&key).await?;
        Ok(held.context(AbsentSnafu { key })?.value)
    }
}
