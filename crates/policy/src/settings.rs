//! How a router chooses engines.

/// Who decides, and on what knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementKind {
    /// Each router alone, by affinity of the prefix, bounded by load.
    Affinity,
    /// Each router alone, by cost, with what it learns of every engine.
    Alone,
    /// The owner of a cell of engines, by cost, with what it learns of its cell.
    Cells,
}

/// Settings of the choice of engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Who decides.
    pub placement: PlacementKind,
    /// Whether engines fetch the KV cache of pieces from others.
    pub fetch: bool,
    /// Price of holding tokens at one more engine, as a part of the time to compute them.
    pub copy_price: f64,
    /// Price that is added to `copy_price` for each 100 ms of queue at the engine.
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
