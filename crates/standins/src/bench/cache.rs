//! Cache of an engine in the bench: the least recently used pieces go first.

use std::collections::BTreeMap;
use std::collections::HashMap;

use policy::BlockKey;
use policy::CacheChange;

/// Pieces that an engine holds.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    used_at: HashMap<BlockKey, u64>,
    by_use: BTreeMap<u64, BlockKey>,
    uses: u64,
    capacity: usize,
}

impl Cache {
    /// Creates an empty cache for `capacity` pieces.
    pub fn new(capacity: usize) -> Cache {
        Cache {
            capacity,
            ..Cache::default()
        }
    }

    /// Tells whether a piece is held.
    pub fn holds(&self, piece: BlockKey) -> bool {
        self.used_at.contains_key(&piece)
    }

    /// Returns how many of the first pieces are held.
    pub fn prefix(&self, blocks: &[BlockKey]) -> usize {
        blocks.iter().take_while(|p| self.holds(**p)).count()
    }

    /// Notes the use of a piece, stores it if it is missing, and evicts what no longer fits.
    pub fn touch(&mut self, piece: BlockKey, changes: &mut Vec<CacheChange>) {
        self.uses += 1;
        match self.used_at.insert(piece, self.uses) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => changes.push(CacheChange::Stored(piece)),
        }
        self.by_use.insert(self.uses, piece);
        while self.used_at.len() > self.capacity {
            let (_, oldest) = self.by_use.pop_first().expect("it holds pieces");
            self.used_at.remove(&oldest);
            changes.push(CacheChange::Evicted(oldest));
        }
    }

    /// Returns all pieces held.
    pub fn blocks(&self) -> Vec<BlockKey> {
        self.by_use.values().copied().collect()
    }
}
