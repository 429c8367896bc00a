//! Which engines of a cell hold which pieces.
//!
//! An engine's view is tied to its incarnation by a slot: a bit in the mask of
//! each piece. When the engine restarts, its slot is given up by one change, and
//! whatever the masks still say of it counts no more. A slot is given out again
//! only after a sweep has cleared it.

use std::collections::BTreeMap;

use crate::BlockKey;
use crate::ServerKey;

/// Slots of a cell.
const SLOTS: usize = 32;

/// Pieces that are remembered at most; more replace others.
const MAX_PIECES: usize = 1_300_000;

/// Which engines hold which pieces.
#[derive(Clone, Debug, Default)]
pub(crate) struct Residency {
    pieces: BTreeMap<BlockKey, u32>,
    slots: [Option<ServerKey>; SLOTS],
    /// Slots that were given up, but may still be in masks.
    stale: u32,
    /// Key from which the next piece is replaced.
    cursor: u64,
}

impl Residency {
    /// Takes in that an engine holds a piece.
    pub(crate) fn store(&mut self, server: ServerKey, piece: BlockKey) {
        let Some(bit) = self.bit_for(server) else {
            return;
        };
        let live = self.live();
        let mask = self.pieces.entry(piece).or_default();
        *mask = *mask & live | bit;
        if self.pieces.len() > MAX_PIECES {
            self.replace_one();
        }
    }

    /// Takes in that an engine holds a piece no more.
    pub(crate) fn evict(&mut self, server: ServerKey, piece: BlockKey) {
        let Some(bit) = self.bit_of(server) else {
            return;
        };
        let live = self.live();
        if let Some(mask) = self.pieces.get_mut(&piece) {
            *mask &= live & !bit;
            if *mask == 0 {
                self.pieces.remove(&piece);
            }
        }
    }

    /// Forgets all that an engine held.
    pub(crate) fn reset(&mut self, server: ServerKey) {
        if let Some(slot) = self.slot_of(server) {
            self.slots[slot] = None;
            self.stale |= 1 << slot;
        }
    }

    /// Returns for each of `servers` how many first pieces it holds.
    pub(crate) fn prefixes(&self, servers: &[ServerKey], pieces: &[BlockKey]) -> Vec<usize> {
        let bits: Vec<u32> = servers
            .iter()
            .map(|server| self.bit_of(*server).unwrap_or(0))
            .collect();
        let mut counts = vec![0; servers.len()];
        let mut holders = self.live();
        for (i, piece) in pieces.iter().enumerate() {
            holders &= self.pieces.get(piece).copied().unwrap_or(0);
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
        /// Keys and masks of a leaf of the tree with its header, over the keys of one two-thirds full.
        const BYTES_PER_PIECE: usize = 20;
        size_of::<Residency>() + self.pieces.len() * BYTES_PER_PIECE
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
        (0..SLOTS).find(|slot| self.slots[*slot].is_none() && self.stale & 1 << slot == 0)
    }

    /// Clears given-up slots from all masks.
    fn sweep(&mut self) {
        let live = self.live();
        self.pieces.retain(|_, mask| {
            *mask &= live;
            *mask != 0
        });
        self.stale = 0;
    }

    fn replace_one(&mut self) {
        let next = self.pieces.range(BlockKey(self.cursor)..).next();
        let Some((piece, _)) = next.or_else(|| self.pieces.iter().next()) else {
            return;
        };
        let piece = *piece;
        self.pieces.remove(&piece);
        self.cursor = piece.0.wrapping_add(1);
    }
}
