//! Settings of a gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use snafu::ResultExt;
use snafu::Snafu;

use crate::settings_json::SettingsJson;

/// Fewest descriptors with which a router can serve.
const MIN_DESCRIPTORS: u64 = 100;

/// Reason why a settings file can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid JSON, lacks a required field, or has a field of another type.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser; it names a missing field.
        source: serde_json::Error,
    },
    /// A field has an invalid value.
    #[snafu(display("{field}: {reason}"))]
    Field {
        /// Name of the field.
        field: &'static str,
        /// What was expected of its value, or what is wrong with it.
        reason: &'static str,
    },
}

/// Addresses and ports at which a gateway listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address of the readiness page.
    pub readiness: SocketAddr,
    /// Address at which new routers fetch a snapshot; none if this VM serves none.
    pub bootstrap: Option<SocketAddr>,
    /// First of the ports reserved for messages between routers; used for gossip (UDP) and
    /// snapshots (TCP).
    pub peer_port: u16,
    /// Port of the metrics page.
    pub metrics_port: u16,
}

/// Limits on the retries of requests to a service, for all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request, as a fraction.
    pub ratio: f64,
    /// Retries allowed beyond that in one time window of the budget.
    pub reserve: f64,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this router, unique among routers.
    pub name: Arc<str>,
    /// Failure domain of its VM.
    pub domain: Arc<str>,
    /// Region of each failure domain.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Capacity of its VM relative to the others; routers with the highest become hubs.
    pub capacity: u32,
    /// Addresses and ports at which it listens.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of routers from which a new router fetches its first snapshot.
    pub seeds: Vec<SocketAddr>,
    /// Time for which a new holder of the order lease waits if engines don't check fencing
    /// tokens, in milliseconds. The lease is requested for half of it, at least `min_lease_ms`.
    pub order_lease_ms: u64,
    /// Whether engines refuse orders with an old fencing token.
    pub fenced: bool,
    /// Shortest time to live of a lease that the store grants, in milliseconds.
    pub min_lease_ms: u64,
    /// Interval at which backend servers renew their registrations, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time from the stop signal until the platform kills the process, in milliseconds.
    pub stop_ms: u64,
    /// Time after the announcement of new weights from which no request may start on the
    /// replaced ones, in milliseconds.
    pub weights_due_ms: u64,
    /// Limits on retries.
    pub retry_limits: RetryLimits,
    /// Most engines of a service that load weights at the same time, in percent.
    pub orders_at_once_percent: u32,
    /// Most bytes that are buffered for callers and backend servers together.
    pub buffer_bytes: u64,
    /// Most bytes of callers' connections without what is buffered for them.
    pub connection_bytes: u64,
    /// Most bytes of the connections of other routers, and of what is held for them.
    pub router_bytes: u64,
    /// The same for the connections to each port of pages.
    pub page_bytes: u64,
    /// Most descriptors that the process may have open.
    pub max_descriptors: u64,
    /// Whether the whole system starts for the first time, so that no stream is older than this
    /// router.
    pub first_start: bool,
    /// Whether the room of servers is limited for each router, and requests wait for it, where
    /// workspaces have quotas.
    pub limit_server_room: bool,
    /// Whether the pace of backend servers is learned and used in placement.
    pub learn_server_pace: bool,
    /// Size of the log buffer, in bytes.
    pub log_buffer_bytes: usize,
    /// Names of unknown fields in the file, for a warning.
    pub unknown_fields: Vec<String>,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let json: SettingsJson = serde_json::from_str(&text).context(ParseSnafu { path })?;
        Settings::try_from(json)
    }

    /// Returns an error that names the first invalid field, if there is one.
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        let percent = self.orders_at_once_percent;
        let faults = [
            (self.name.is_empty(), "name", "expected a name"),
            (self.domain.is_empty(), "domain", "expected a name"),
            (
                self.order_lease_ms < self.min_lease_ms,
                "order_lease_ms",
                "shorter than min_lease_ms",
            ),
            (self.stop_ms == 0, "stop_ms", "expected more than 0"),
            (
                self.retry_limits.ratio < 0.0,
                "repeats.ratio",
                "expected 0 or more",
            ),
            (
                percent == 0 || percent > 100,
                "orders_at_once_percent",
                "expected 1 to 100",
            ),
            (
                self.max_descriptors < MIN_DESCRIPTORS,
                "max_descriptors",
                "expected 100 or more",
            ),
        ];
        for (fault, field, reason) in faults {
            if fault {
                return FieldSnafu { field, reason }.fail();
            }
        }
        Ok(())
    }
}
