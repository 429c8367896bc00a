//! Leases on weight loads, as routers record them.

use policy::LoadingSlot;
use policy::WeightsLoadRecord;
use policy::WEIGHTS_LOADS_KEY;

use crate::ConfigStore;
use crate::Result;

/// Reads the leases on weight loads under way.
pub(crate) async fn load_leases(store: &ConfigStore) -> Result<Vec<LoadingSlot>> {
    let record: Option<WeightsLoadRecord> =
        store.record("read the leases", WEIGHTS_LOADS_KEY).await?;
    Ok(record.unwrap_or_default().slots)
}

/// Describes a lease in one line.
pub(crate) fn line(lease: &LoadingSlot) -> String {
    let LoadingSlot {
        server,
        model,
        weights_version,
        holder,
        fencing,
        until,
        ..
    } = lease;
    format!(
        "lease on {server} for {model} weights {weights_version}: held by {holder} \
         under fencing number {fencing}, until_ms={}",
        until.as_millis()
    )
}
