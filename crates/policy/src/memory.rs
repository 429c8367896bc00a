//! Memory use of a node's view of the engines.

use crate::Node;

impl Node {
    /// Returns an estimate of the memory that the loads and caches of engines
    /// and the loads of cells take, in bytes.
    pub fn view_memory_bytes(&self) -> usize {
        self.placement.memory_bytes()
            + self.cell_loads.memory_bytes()
            + self.cell_affinity.memory_bytes()
    }
}
