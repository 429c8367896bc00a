//! Publishes a manifest by a compare-and-swap of the head record.

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
use crate::platform_client::Backoff;
use crate::ConfigStore;
use crate::Error;
use crate::Result;

/// Outcome of publishing a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PublishOutcome {
    /// The manifest became the head.
    Accepted,
    /// Another change was accepted first; this one will never take effect.
    HeadChanged,
}

/// Publishes `manifest` as the successor of `head`, if its merged files pass all checks.
///
/// Writes the contents of `local` that are new in `manifest`, adds `head` to the history and
/// replaces the head record.
pub(crate) async fn publish(
    store: &ConfigStore,
    head: &Head,
    manifest: &Manifest,
    local: &Folder,
) -> Result<PublishOutcome> {
    let contents = store.read_contents(manifest, local).await?;
    assemble(manifest, &contents).context(AssembleSnafu)?;
    store
        .write_contents(manifest, &head.manifest, local)
        .await?;
    store.archive(&head.manifest).await?;
    let outcome = swap_head(store, head, manifest).await?;
    if outcome == PublishOutcome::Accepted {
        restore_contents(store, head, manifest, local).await;
    }
    Ok(outcome)
}

/// Writes again contents that another operator's pruning may have deleted before the new
/// manifest referred to them.
///
/// Errors are ignored, because the change is already accepted.
async fn restore_contents(store: &ConfigStore, head: &Head, manifest: &Manifest, local: &Folder) {
    let _ = store.write_contents(manifest, &head.manifest, local).await;
}

/// Replaces the head record, with retries, and finds out whether the change was accepted.
async fn swap_head(
    store: &ConfigStore,
    head: &Head,
    manifest: &Manifest,
) -> Result<PublishOutcome> {
    let value = serialise(HEAD_KEY, manifest)?;
    let client = store.client();
    let mut backoff = Backoff::new(client.deadline());
    let mut maybe_written = false;
    loop {
        let swap = client
            .key_value(&backoff)
            .compare_and_swap(HEAD_KEY, head.key_version, value.clone(), None)
            .await;
        let e = match swap {
            Ok(SwapOutcome::Written(_)) => return Ok(PublishOutcome::Accepted),
            Ok(SwapOutcome::Conflict(stored)) => {
                return resolve_outcome(store, stored, manifest, maybe_written).await
            }
            Err(e) => e,
        };
        maybe_written |= !matches!(e, platform::Error::Unreachable { .. });
        if let Some(outcome) = read_outcome(store, head, manifest, maybe_written).await? {
            return Ok(outcome);
        }
        if !backoff.wait().await {
            return Err(deadline_error(manifest, maybe_written, e));
        }
    }
}

/// Reads the head after a failed write; `None` if it is still the one before the change.
///
/// A write whose response was lost can still take effect later. The caller retries
/// with the same expected version of the key, so that at most one of the writes is
/// accepted. `maybe_written` says that an earlier write may have reached the platform.
async fn read_outcome(
    store: &ConfigStore,
    head: &Head,
    manifest: &Manifest,
    maybe_written: bool,
) -> Result<Option<PublishOutcome>> {
    let stored = match store.get("read the head back", HEAD_KEY).await {
        Ok(stored) => stored,
        Err(e) if maybe_written => return Err(outcome_unknown(manifest, &e)),
        Err(e) => return Err(e),
    };
    if stored.as_ref().map_or(0, |stored| stored.version) == head.key_version {
        return Ok(None);
    }
    resolve_outcome(store, stored, manifest, maybe_written)
        .await
        .map(Some)
}

/// Finds out whether `manifest` was accepted, given the head record that is stored now.
///
/// A head with the same nonce is this change. Any other head whose version isn't higher than
/// `manifest.version` means that it wasn't accepted, and so does any other head if no write of
/// this change can have reached the platform (`maybe_written` is false). If the version of the
/// head is higher, the history shows whose change `manifest.version` was.
async fn resolve_outcome(
    store: &ConfigStore,
    stored: Option<Versioned>,
    manifest: &Manifest,
    maybe_written: bool,
) -> Result<PublishOutcome> {
    let stored = match stored {
        Some(stored) => parse_head(&stored)?.manifest,
        None => Manifest::default(),
    };
    if stored.nonce == manifest.nonce {
        return Ok(PublishOutcome::Accepted);
    }
    if stored.version <= manifest.version || !maybe_written {
        return Ok(PublishOutcome::HeadChanged);
    }
    match store.read_archived(manifest.version).await {
        Ok(Some(former)) if former.nonce == manifest.nonce => Ok(PublishOutcome::Accepted),
        Ok(Some(_)) => Ok(PublishOutcome::HeadChanged),
        Ok(None) => Err(outcome_unknown(
            manifest,
            &"the history no longer contains it",
        )),
        Err(e) => Err(outcome_unknown(manifest, &e)),
    }
}

/// Returns the error of a change that was given up at the deadline after the error `source`.
fn deadline_error(manifest: &Manifest, maybe_written: bool, source: platform::Error) -> Error {
    match maybe_written {
        true => outcome_unknown(manifest, &source),
        false => Error::Platform {
            step: "write the head",
            source,
        },
    }
}

/// Returns the error of a change of which it isn't known whether it was accepted.
fn outcome_unknown<R>(manifest: &Manifest, reason: &R) -> Error
where
    R: ToString,
{
    Error::OutcomeUnknown {
        version: manifest.version,
        nonce: manifest.nonce.clone(),
        reason: reason.to_string(),
    }
}
