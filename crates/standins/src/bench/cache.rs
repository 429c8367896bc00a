//! Block cache of a simulated engine, which evicts the least recently used block.

use std::collections::BTreeMap;
use std::collections::HashMap;

use policy::BlockKey;
use policy::CacheChange;

/// Blocks cached by an engine.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    /// Number of the last use, by block.
    used_at: HashMap<BlockKey, u64>,
    /// Blocks by the number of their last use.
    by_use: BTreeMap<u64, BlockKey>,
    uses: u64,
    capacity: usize,
}

impl Cache {
    /// Creates an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Cache {
        Cache {
            capacity,
            ..Cache::default()
        }
    }

    /// Returns whether a block is cached.
    pub fn holds(&self, block: BlockKey) -> bool {
        self.used_at.contains_key(&block)
    }

    /// Returns how many leading blocks are cached.
    pub fn cached_prefix(&self, blocks: &[BlockKey]) -> usize {
        blocks.iter().take_while(|p| self.holds(**p)).count()
    }

    /// Marks a block as just used, stores it if missing and evicts blocks beyond the capacity.
    ///
    /// Appends what was stored and evicted to `changes`.
    pub fn touch(&mut self, block: BlockKey, changes: &mut Vec<CacheChange>) {
        self.uses += 1;
        match self.used_at.insert(block, self.uses) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => changes.push(CacheChange::Stored(block)),
        }
        self.by_use.insert(self.uses, block);
        while self.used_at.len() > self.capacity {
            let (_, oldest) = self.by_use.pop_first().expect("the cache is not empty");
            self.used_at.remove(&oldest);
            changes.push(CacheChange::Evicted(oldest));
        }
    }

    /// Returns all cached blocks, the least recently used first.
    pub fn blocks(&self) -> Vec<BlockKey> {
        self.by_use.values().copied().collect()
    }
}
