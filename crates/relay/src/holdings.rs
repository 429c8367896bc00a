//! Which engines hold which cached parts, and which stores keep them, as far as
//! routers have sent them there.

use std::collections::HashMap;
use std::net::SocketAddr;

use policy::Time;

use crate::ServerKey;
use crate::Transfer;
use crate::TransferKind;

/// Time for which a part that isn't used is believed to be held, in milliseconds.
const HELD_MS: u64 = 30_000;

/// Time for which a store is believed to keep a part, in milliseconds.
const SAVED_MS: u64 = 20_000;

/// Time within which the same news comes again, in milliseconds: routers repeat
/// theirs for 600 ms.
const NEWS_MS: u64 = 800;

/// Engines that are remembered for one part.
const MAX_HOLDERS: usize = 4;

/// Name of a cached part: its model, its scope and its id, hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey(pub u64);

impl PartKey {
    /// Returns the name of a part.
    pub fn new(model: &str, scope: &str, part: u64) -> PartKey {
        let scope = policy::rendezvous_weight(policy::name_hash(model), policy::name_hash(scope));
        PartKey(policy::rendezvous_weight(scope, part))
    }
}

/// An engine that holds a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Engine.
    pub server: ServerKey,
    /// When the part was last used there.
    pub used_at: Time,
}

/// A store that keeps a part.
#[derive(Clone, Copy, Debug)]
struct Saved {
    store: SocketAddr,
    until: Time,
}

/// Engines that hold each part, and stores that keep it.
#[derive(Clone, Debug, Default)]
pub struct Residency {
    by_part: HashMap<PartKey, Vec<Holder>>,
    saved: HashMap<PartKey, Vec<Saved>>,
    /// When the link of each store will be free.
    links: HashMap<SocketAddr, Time>,
    swept_at: Time,
}

impl Residency {
    /// Notes that `server` reads or has read a part, and what happens to the part
    /// at a store meanwhile. The same news may come several times.
    pub fn record(
        &mut self,
        now: Time,
        part: PartKey,
        server: ServerKey,
        transfer: Option<Transfer>,
    ) {
        self.sweep(now);
        let holders = self.by_part.entry(part).or_default();
        let known = holders.iter().position(|holder| holder.server == server);
        let known = known.map(|index| holders.remove(index));
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        let used_at = now;
        holders.push(Holder { server, used_at });
        let is_news = known.is_none_or(|known| now.millis_since(known.used_at) >= NEWS_MS);
        if let Some(transfer) = transfer.filter(|_| is_news) {
            self.note_transfer(now, part, transfer);
        }
    }

    fn note_transfer(&mut self, now: Time, part: PartKey, transfer: Transfer) {
        let free_at = self.links.entry(transfer.store).or_insert(now);
        *free_at = (*free_at).max(now).plus_millis(u64::from(transfer.link_ms));
        if transfer.kind == TransferKind::Save {
            let store = transfer.store;
            let until = now.plus_millis(SAVED_MS);
            let saved = self.saved.entry(part).or_default();
            saved.retain(|saved| saved.store != store);
            saved.push(Saved { store, until });
        }
    }

    /// Returns the time until a store's link is free, in milliseconds.
    pub fn link_wait_ms(&self, now: Time, store: SocketAddr) -> u64 {
        let free_at = self.links.get(&store);
        free_at.map_or(0, |free_at| free_at.millis_since(now))
    }

    /// Tells whether the store at `store` is believed to keep a part.
    pub fn is_saved(&self, now: Time, part: PartKey, store: SocketAddr) -> bool {
        let mut saved = self.saved_at(now, part);
        saved.any(|saved| saved.store == store)
    }

    /// Tells whether any store is believed to keep a part.
    pub fn is_saved_anywhere(&self, now: Time, part: PartKey) -> bool {
        self.saved_at(now, part).next().is_some()
    }

    fn saved_at(&self, now: Time, part: PartKey) -> impl Iterator<Item = &Saved> {
        let saved = self.saved.get(&part).into_iter().flatten();
        saved.filter(move |saved| saved.until > now)
    }

    /// Returns the engines that hold a part, that of the last use last.
    pub fn holders(&self, part: PartKey) -> &[Holder] {
        self.by_part.get(&part).map_or(&[], Vec::as_slice)
    }

    /// Takes back that an engine holds a part.
    pub fn remove(&mut self, part: PartKey, server: ServerKey) {
        if let Some(holders) = self.by_part.get_mut(&part) {
            holders.retain(|holder| holder.server != server);
        }
    }

    /// Forgets what an engine held.
    pub fn forget(&mut self, server: ServerKey) {
        for holders in self.by_part.values_mut() {
            holders.retain(|holder| holder.server != server);
        }
        self.by_part.retain(|_, holders| !holders.is_empty());
    }

    fn sweep(&mut self, now: Time) {
        if now.millis_since(self.swept_at) < HELD_MS {
            return;
        }
        self.swept_at = now;
        for holders in self.by_part.values_mut() {
            holders.retain(|holder| now.millis_since(holder.used_at) < HELD_MS);
        }
        self.by_part.retain(|_, holders| !holders.is_empty());
        for saved in self.saved.values_mut() {
            saved.retain(|saved| saved.until > now);
        }
        self.saved.retain(|_, saved| !saved.is_empty());
    }
}
