//! Leases on weight loads, as routers record them.

use std::fmt;

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::ConfigStore;
use crate::Result;

/// Key of the record that holds a lease for each weight load under way.
const LOADS_KEY: &str = "orders/loads";

/// The right of a router to order a runner to load weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadLease {
    /// Runner that loads.
    pub server: String,
    /// Model that it loads.
    pub model: String,
    /// Version of the weights.
    pub weights_version: u64,
    /// VM and incarnation of the router that may give the order.
    pub holder: String,
    /// Fencing number of the order.
    pub fencing: u64,
    /// When the lease lapses unless renewed, in microseconds since the Unix epoch.
    pub until: Time,
}

#[derive(Default, Deserialize)]
struct LoadRecord {
    slots: Vec<LoadLease>,
}

/// Reads the leases on weight loads under way.
pub(crate) async fn load_leases(store: &ConfigStore) -> Result<Vec<LoadLease>> {
    let record: Option<LoadRecord> = store.record("read the leases", LOADS_KEY).await?;
    Ok(record.unwrap_or_default().slots)
}

impl fmt::Display for LoadLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LoadLease {
            server,
            model,
            weights_version,
            holder,
            fencing,
            until,
        } = self;
        write!(
            f,
            "lease on {server} for {model} weights {weights_version}: held by {holder} \
             under fencing number {fencing}, until_ms={}",
            until.as_millis()
        )
    }
}
