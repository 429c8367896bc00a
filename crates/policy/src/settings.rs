//! Settings for the choice of engines.

/// Which router chooses an engine, and from which information.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementKind {
    /// Each router on its own, by prefix affinity among a few engines, then by load.
    Affinity,
    /// Each router on its own, by cost, with its own information on all engines.
    Alone,
    /// The owner of a cell, by cost, with its information on the cell's engines.
    Cells,
}

/// Settings for the choice of engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Which router chooses an engine.
    pub placement: PlacementKind,
    /// Whether engines fetch the KV cache of blocks from each other.
    pub fetch: bool,
    /// Price of holding tokens on one more engine, as a fraction of their prefill time.
    pub copy_price: f64,
    /// Amount added to `copy_price` for each 100 ms of queue at the engine.
    pub queue_price: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            placement: PlacementKind::Cells,
            fetch: true,
            copy_price: 0.75,
            queue_price: 2.0,
        }
    }
}
