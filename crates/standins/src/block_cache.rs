//! Block cache of the engine stand-in, with a log of its changes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use backend::CacheEvent;

/// Maximum number of events kept for readers that lag behind.
const MAX_EVENTS: usize = 10_000;

/// Cache of a fixed number of blocks that evicts the least recently used one.
#[derive(Clone, Debug)]
pub struct BlockCache {
    capacity: usize,
    lose_event_every: u64,
    /// Number of the last use, by block key.
    used_at: HashMap<u64, u64>,
    /// Block keys by the number of their last use.
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    /// Change events with their sequence numbers; dropped events are missing.
    events: VecDeque<(u64, CacheEvent)>,
    next_sequence: u64,
}

impl BlockCache {
    /// Creates an empty cache for `capacity` blocks.
    ///
    /// Each event whose sequence number is a multiple of `lose_event_every` is dropped; 0 drops
    /// none.
    pub fn new(capacity: usize, lose_event_every: u64) -> BlockCache {
        BlockCache {
            capacity,
            lose_event_every,
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next_sequence: 1,
        }
    }

    /// Returns how many leading blocks of `keys` are cached, and marks them as used.
    pub fn use_prefix(&mut self, keys: &[u64]) -> usize {
        let cached = self.cached_prefix(keys);
        for key in keys[..cached].iter().rev() {
            self.touch(*key);
        }
        cached
    }

    /// Returns how many leading blocks of `keys` are cached.
    pub fn cached_prefix(&self, keys: &[u64]) -> usize {
        keys.iter().take_while(|key| self.holds(**key)).count()
    }

    /// Returns whether a block is cached.
    pub fn holds(&self, key: u64) -> bool {
        self.used_at.contains_key(&key)
    }

    /// Stores the blocks of a prompt; its last blocks are the first ones to be evicted.
    pub fn store(&mut self, keys: &[u64]) {
        let kept = &keys[..keys.len().min(self.capacity)];
        for key in kept.iter().rev() {
            self.touch(*key);
        }
        while self.used_at.len() > self.capacity {
            self.evict_oldest();
        }
    }

    /// Returns the consecutive events from `sequence` on, with the sequence number of the first.
    ///
    /// The events end before the next gap.
    pub fn events_from(&self, sequence: u64) -> (u64, Vec<CacheEvent>) {
        let start = self
            .events
            .partition_point(|(number, _)| *number < sequence);
        let first = self
            .events
            .get(start)
            .map_or(sequence, |(number, _)| *number);
        let events = self.events.range(start..);
        let events = events
            .zip(first..)
            .take_while(|((number, _), expected)| number == expected)
            .map(|((_, event), _)| *event);
        (first, events.collect())
    }

    /// Marks a block as just used, and stores it if it is missing.
    fn touch(&mut self, key: u64) {
        self.uses += 1;
        self.by_use.insert(self.uses, key);
        match self.used_at.insert(key, self.uses) {
            Some(before) => drop(self.by_use.remove(&before)),
            None => self.log(CacheEvent::Stored(key)),
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, key)) = self.by_use.pop_first() {
            self.used_at.remove(&key);
            self.log(CacheEvent::Evicted(key));
        }
    }

    /// Logs an event under the next sequence number, unless it is to be dropped.
    fn log(&mut self, event: CacheEvent) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.lose_event_every > 0 && sequence.is_multiple_of(self.lose_event_every) {
            return;
        }
        self.events.push_back((sequence, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
