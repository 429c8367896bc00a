//! Memory that a node's knowledge of engines takes.

use crate::Node;

impl Node {
    /// Returns an estimate of the memory that loads and caches of engines and
    /// the loads of cells take, in bytes.
    pub fn knowledge_bytes(&self) -> usize {
        self.placement.memory_bytes()
            + self.cell_loads.memory_bytes()
            + self.cell_affinity.memory_bytes()
    }
}
