//! Which engines of a cell hold which blocks.
//!
//! Each engine incarnation has a slot, a bit in the mask of every block. When
//! the engine restarts, its slot is marked stale in one step, and its bits in
//! the masks no longer count. A stale slot is reused only after a sweep has
//! cleared its bit from all masks.

use std::collections::BTreeMap;

use crate::BlockKey;
use crate::ServerKey;

/// Number of slots in a cell, the bits of a mask.
const SLOT_COUNT: usize = 32;

/// Maximum number of blocks tracked; further ones replace others.
const MAX_BLOCKS: usize = 1_300_000;

/// Which engines of a cell hold which blocks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Residency {
    blocks: BTreeMap<BlockKey, u32>,
    slots: [Option<ServerKey>; SLOT_COUNT],
    /// Slots that are free but may still be set in masks.
    stale: u32,
    /// Key from which the next block to replace is searched.
    cursor: u64,
}

impl Residency {
    /// Records that an engine holds a block.
    pub(crate) fn store(&mut self, server: ServerKey, block: BlockKey) {
        let Some(bit) = self.bit_for(server) else {
            return;
        };
        let live = self.live();
        let mask = self.blocks.entry(block).or_default();
        *mask = *mask & live | bit;
        if self.blocks.len() > MAX_BLOCKS {
            self.replace_next();
        }
    }

    /// Records that an engine no longer holds a block.
    pub(crate) fn evict(&mut self, server: ServerKey, block: BlockKey) {
        let Some(bit) = self.bit_of(server) else {
            return;
        };
        let live = self.live();
        if let Some(mask) = self.blocks.get_mut(&block) {
            *mask &= live & !bit;
            if *mask == 0 {
                self.blocks.remove(&block);
            }
        }
    }

    /// Drops everything that an engine held.
    pub(crate) fn reset(&mut self, server: ServerKey) {
        if let Some(slot) = self.slot_of(server) {
            self.slots[slot] = None;
            self.stale |= 1 << slot;
        }
    }

    /// Returns for each of `servers` how many leading blocks of `blocks` it holds.
    pub(crate) fn leading_blocks(&self, servers: &[ServerKey], blocks: &[BlockKey]) -> Vec<usize> {
        let bits: Vec<u32> = servers
            .iter()
            .map(|server| self.bit_of(*server).unwrap_or(0))
            .collect();
        let mut counts = vec![0; servers.len()];
        let mut holders = self.live();
        for (i, block) in blocks.iter().enumerate() {
            holders &= self.blocks.get(block).copied().unwrap_or(0);
            if holders == 0 {
                break;
            }
            for (count, bit) in counts.iter_mut().zip(&bits) {
                if holders & bit != 0 {
                    *count = i + 1;
                }
            }
        }
        counts
    }

    /// Returns an estimate of the memory in use, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        /// Estimated bytes per entry: keys and masks of a tree leaf with its
        /// header, divided by the keys of a leaf that is two-thirds full.
        const BYTES_PER_BLOCK: usize = 20;
        size_of::<Residency>() + self.blocks.len() * BYTES_PER_BLOCK
    }

    fn live(&self) -> u32 {
        let taken = self.slots.iter().enumerate();
        taken
            .filter(|(_, server)| server.is_some())
            .fold(0, |mask, (slot, _)| mask | 1 << slot)
    }

    fn slot_of(&self, server: ServerKey) -> Option<usize> {
        self.slots.iter().position(|slot| *slot == Some(server))
    }

    fn bit_of(&self, server: ServerKey) -> Option<u32> {
        self.slot_of(server).map(|slot| 1 << slot)
    }

    fn bit_for(&mut self, server: ServerKey) -> Option<u32> {
        if let Some(bit) = self.bit_of(server) {
            return Some(bit);
        }
        if self.free_slot().is_none() {
            self.sweep();
        }
        let slot = self.free_slot()?;
        self.slots[slot] = Some(server);
        Some(1 << slot)
    }

    fn free_slot(&self) -> Option<usize> {
        (0..SLOT_COUNT).find(|slot| self.slots[*slot].is_none() && self.stale & 1 << slot == 0)
    }

    /// Clears stale slots from all masks.
    fn sweep(&mut self) {
        let live = self.live();
        self.blocks.retain(|_, mask| {
            *mask &= live;
            *mask != 0
        });
        self.stale = 0;
    }

    fn replace_next(&mut self) {
        let next = self.blocks.range(BlockKey(self.cursor)..).next();
        let Some((block, _)) = next.or_else(|| self.blocks.iter().next()) else {
            return;
        };
        let block = *block;
        self.blocks.remove(&block);
        self.cursor = block.0.wrapping_add(1);
    }
}
