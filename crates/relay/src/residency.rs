//! Residency: which engines cache which prompt parts and which prefix stores keep them,
//! inferred from where routers have sent the parts.

use std::collections::HashMap;
use std::net::SocketAddr;

use policy::Time;

use crate::ServerKey;
use crate::Transfer;
use crate::TransferKind;

/// Time after the last use of a part from which the next sweep removes the engine, and
/// minimum interval of sweeps, in milliseconds.
const HOLDER_TTL_MS: u64 = 30_000;

/// Time for which a prefix store is expected to keep a part, in milliseconds.
const SAVED_TTL_MS: u64 = 20_000;

/// Time within which an update about the same part and engine counts as a repetition,
/// in milliseconds. Routers repeat their updates for 600 ms.
const REPEATED_UPDATE_MS: u64 = 800;

/// Maximum number of engines recorded for one part.
const MAX_HOLDERS: usize = 4;

/// Key of a cached part: hash of its model, its cache scope and its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey(pub u64);

impl PartKey {
    /// Returns the key of part `part` of a prompt for `model` in a cache scope.
    pub fn new(model: &str, scope: &str, part: u64) -> PartKey {
        let scope = policy::rendezvous_weight(policy::name_hash(model), policy::name_hash(scope));
        PartKey(policy::rendezvous_weight(scope, part))
    }
}

/// An engine that used a part recently and may still cache it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub server: ServerKey,
    /// Time at which the part was last used there.
    pub used_at: Time,
}

/// A prefix store that keeps a part, and the time up to which it is expected to.
#[derive(Clone, Copy, Debug)]
struct Saved {
    store: SocketAddr,
    expires_at: Time,
}

/// Engines that may cache each part, and prefix stores that keep it.
#[derive(Clone, Debug, Default)]
pub struct Residency {
    /// Engines that used each part, least recently used first.
    by_part: HashMap<PartKey, Vec<Holder>>,
    saved: HashMap<PartKey, Vec<Saved>>,
    /// Time at which the link of each prefix store will be free.
    links_free_at: HashMap<SocketAddr, Time>,
    swept_at: Time,
}

impl Residency {
    /// Records that `server` was sent a part and the transfer of the part to or from a
    /// prefix store. A repeated update doesn't count the transfer again.
    pub fn record(
        &mut self,
        now: Time,
        part: PartKey,
        server: ServerKey,
        transfer: Option<Transfer>,
    ) {
        self.sweep(now);
        let holders = self.by_part.entry(part).or_default();
        let previous = holders.iter().position(|holder| holder.server == server);
        let previous = previous.map(|index| holders.remove(index));
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        let used_at = now;
        holders.push(Holder { server, used_at });
        let is_new_update = previous
            .is_none_or(|previous| now.millis_since(previous.used_at) >= REPEATED_UPDATE_MS);
        if let Some(transfer) = transfer.filter(|_| is_new_update) {
            self.record_transfer(now, part, transfer);
        }
    }

    fn record_transfer(&mut self, now: Time, part: PartKey, transfer: Transfer) {
        let free_at = self.links_free_at.entry(transfer.store).or_insert(now);
        *free_at = (*free_at).max(now).plus_millis(u64::from(transfer.link_ms));
        if transfer.kind == TransferKind::Save {
            let store = transfer.store;
            let expires_at = now.plus_millis(SAVED_TTL_MS);
            let saved = self.saved.entry(part).or_default();
            saved.retain(|saved| saved.store != store);
            saved.push(Saved { store, expires_at });
        }
    }

    /// Returns the time until a prefix store's link is free, in milliseconds.
    pub fn link_wait_ms(&self, now: Time, store: SocketAddr) -> u64 {
        let free_at = self.links_free_at.get(&store);
        free_at.map_or(0, |free_at| free_at.millis_since(now))
    }

    /// Returns whether the prefix store at `store` is expected to keep a part.
    pub fn is_saved(&self, now: Time, part: PartKey, store: SocketAddr) -> bool {
        let mut saved = self.unexpired_saves(now, part);
        saved.any(|saved| saved.store == store)
    }

    /// Returns whether any prefix store is expected to keep a part.
    pub fn is_saved_anywhere(&self, now: Time, part: PartKey) -> bool {
        self.unexpired_saves(now, part).next().is_some()
    }

    fn unexpired_saves(&self, now: Time, part: PartKey) -> impl Iterator<Item = &Saved> {
        let saved = self.saved.get(&part).into_iter().flatten();
        saved.filter(move |saved| saved.expires_at > now)
    }

    /// Returns the engines recorded for a part, least recently used first. Whether one still
    /// caches the part depends on the time since its use.
    pub fn holders(&self, part: PartKey) -> &[Holder] {
        self.by_part.get(&part).map_or(&[], Vec::as_slice)
    }

    /// Removes an engine from the holders of a part, which it did not prefill after all.
    pub fn remove(&mut self, part: PartKey, server: ServerKey) {
        if let Some(holders) = self.by_part.get_mut(&part) {
            holders.retain(|holder| holder.server != server);
        }
    }

    fn sweep(&mut self, now: Time) {
        if now.millis_since(self.swept_at) < HOLDER_TTL_MS {
            return;
        }
        self.swept_at = now;
        for holders in self.by_part.values_mut() {
            holders.retain(|holder| now.millis_since(holder.used_at) < HOLDER_TTL_MS);
        }
        self.by_part.retain(|_, holders| !holders.is_empty());
        for saved in self.saved.values_mut() {
            saved.retain(|saved| saved.expires_at > now);
        }
        self.saved.retain(|_, saved| !saved.is_empty());
    }
}
