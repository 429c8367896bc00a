//! Makes a manifest the one in force, by compare-and-swap of the head record.

use config::assemble;
use config::Folder;
use config::Manifest;
use config::HEAD_KEY;
use platform::SwapOutcome;
use platform::Versioned;
use snafu::ResultExt;

use crate::config_store::parse_head;
use crate::config_store::serialise;
use crate::config_store::Head;
use crate::error::AssembleSnafu;
use crate::platform_client::Attempts;
use crate::ConfigStore;
use crate::Error;
use crate::Result;

/// How a compare-and-swap of the head record ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Published {
    /// The manifest was accepted.
    Accepted,
    /// Another change was accepted first; this one never takes effect.
    Raced,
}

/// Makes `manifest` follow `head`, once its merged files have passed all checks.
pub(crate) async fn publish(
    store: &ConfigStore,
    head: &Head,
    manifest: &Manifest,
    own: &Folder,
) -> Result<Published> {
    let contents = store.contents(manifest, own).await?;
    assemble(manifest, &contents).context(AssembleSnafu)?;
    store.put_contents(manifest, &head.manifest, own).await?;
    store.keep(&head.manifest).await?;
    let published = swap_head(store, head, manifest).await?;
    if published == Published::Accepted {
        restore_contents(store, head, manifest, own).await;
    }
    Ok(published)
}

/// Puts back a content that another operator's pruning deleted before the manifest named it.
///
/// The change is accepted whether or not this succeeds.
async fn restore_contents(store: &ConfigStore, head: &Head, manifest: &Manifest, own: &Folder) {
    let _ = store.put_contents(manifest, &head.manifest, own).await;
}

async fn swap_head(store: &ConfigStore, head: &Head, manifest: &Manifest) -> Result<Published> {
    let value = serialise(HEAD_KEY, manifest)?;
    let client = store.client();
    let mut attempts = Attempts::new(client.deadline());
    let mut in_doubt = false;
    loop {
        let swap = client
            .store(&attempts)
            .compare_and_swap(HEAD_KEY, head.key_version, value.clone(), None)
            .await;
        let e = match swap {
            Ok(SwapOutcome::Written(_)) => return Ok(Published::Accepted),
            Ok(SwapOutcome::Conflict(held)) => {
                return settle(store, held, manifest, in_doubt).await
            }
            Err(e) => e,
        };
        in_doubt |= !matches!(e, platform::Error::Unreachable { .. });
        if let Some(published) = read_back(store, head, manifest, in_doubt).await? {
            return Ok(published);
        }
        if !attempts.pause().await {
            return Err(gave_up(manifest, in_doubt, e));
        }
    }
}

/// Reads the head after a failed write; none if it is still the one before the change.
///
/// A write that is still under way can take effect later. It is repeated with
/// the same version of the key, so that at most one of the two is accepted.
async fn read_back(
    store: &ConfigStore,
    head: &Head,
    manifest: &Manifest,
    in_doubt: bool,
) -> Result<Option<Published>> {
    let held = match store.get("read the head back", HEAD_KEY).await {
        Ok(held) => held,
        Err(e) if in_doubt => return Err(unsettled(manifest, &e)),
        Err(e) => return Err(e),
    };
    if held.as_ref().map_or(0, |held| held.version) == head.key_version {
        return Ok(None);
    }
    settle(store, held, manifest, in_doubt).await.map(Some)
}

/// Tells whether `manifest` was accepted, from what the head holds in its place.
async fn settle(
    store: &ConfigStore,
    held: Option<Versioned>,
    manifest: &Manifest,
    in_doubt: bool,
) -> Result<Published> {
    let held = match held {
        Some(held) => parse_head(&held)?.manifest,
        None => Manifest::default(),
    };
    if held.nonce == manifest.nonce {
        return Ok(Published::Accepted);
    }
    if held.version <= manifest.version || !in_doubt {
        return Ok(Published::Raced);
    }
    match store.former(manifest.version).await {
        Ok(Some(former)) if former.nonce == manifest.nonce => Ok(Published::Accepted),
        Ok(Some(_)) => Ok(Published::Raced),
        Ok(None) => Err(unsettled(manifest, &"the history no longer holds it")),
        Err(e) => Err(unsettled(manifest, &e)),
    }
}

fn gave_up(manifest: &Manifest, in_doubt: bool, source: platform::Error) -> Error {
    match in_doubt {
        true => unsettled(manifest, &source),
        false => Error::Platform {
            step: "write the head",
            source,
        },
    }
}

fn unsettled<R>(manifest: &Manifest, reason: &R) -> Error
where
    R: ToString,
{
    Error::Unsettled {
        version: manifest.version,
        nonce: manifest.nonce.clone(),
        reason: reason.to_string(),
    }
}
