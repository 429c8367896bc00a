//! Loading slots: the leases on weights loads that routers record in the platform.

use policy::LoadingSlot;
use policy::WeightsLoadRecord;
use policy::WEIGHTS_LOADS_KEY;

use crate::ConfigStore;
use crate::Result;

/// Reads the loading slots of the weights loads that are running.
pub(crate) async fn read_loading_slots(store: &ConfigStore) -> Result<Vec<LoadingSlot>> {
    let record: Option<WeightsLoadRecord> = store
        .read_record("read the leases", WEIGHTS_LOADS_KEY)
        .await?;
    Ok(record.unwrap_or_default().slots)
}

/// Formats a loading slot as one line of the status.
pub(crate) fn describe(slot: &LoadingSlot) -> String {
    let LoadingSlot {
        server,
        model,
        weights_version,
        holder,
        fencing,
        until,
        ..
    } = slot;
    format!(
        "lease on {server} for {model} weights {weights_version}: held by {holder} \
         under fencing number {fencing}, until_ms={}",
        until.as_millis()
    )
}
