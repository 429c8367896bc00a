//! Settings of a gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use snafu::ResultExt;
use snafu::Snafu;

use crate::settings_json::SettingsJson;

/// Why settings can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The file is not as expected.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// File.
        path: PathBuf,
        /// What is wrong, with the field's name.
        source: serde_json::Error,
    },
    /// A field has a value that can't be used.
    #[snafu(display("{field}: {reason}"))]
    Field {
        /// Field at fault.
        field: &'static str,
        /// What is wrong with it.
        reason: &'static str,
    },
}

/// Addresses that a gateway serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Whether this router takes new callers.
    pub readiness: SocketAddr,
    /// Bootstrap of other routers; none if this VM serves none.
    pub bootstrap: Option<SocketAddr>,
    /// First port for messages between routers.
    pub peer_port: u16,
    /// Port of the metrics.
    pub metrics_port: u16,
}

/// Shares of requests that may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, of all routers in a window.
    pub reserve: f64,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this router.
    pub name: Arc<str>,
    /// Failure domain in which it stands.
    pub domain: Arc<str>,
    /// Region of each failure domain.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// What its VM can carry against the others; the highest pass on messages.
    pub capacity: u32,
    /// Addresses that it serves.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Routers that may help a new one to begin.
    pub seeds: Vec<SocketAddr>,
    /// Lease under which one router gives orders, in milliseconds.
    pub order_lease_ms: u64,
    /// Whether engines refuse orders with an old fencing token.
    pub fenced: bool,
    /// Shortest lease that the store grants, in milliseconds.
    pub min_lease_ms: u64,
    /// Time from the signal to stop until the process is killed, in milliseconds.
    pub stop_ms: u64,
    /// Time after which no request may begin on replaced weights, in milliseconds.
    pub weights_due_ms: u64,
    /// Repeats that all routers may make.
    pub retry_limits: RetryLimits,
    /// Engines of a service that take new weights at the same time, in percent.
    pub orders_at_once_percent: u32,
    /// Lines of the log that may wait to be written, in bytes.
    pub log_buffer_bytes: usize,
    /// Fields of the file that no setting has.
    pub unknown_fields: Vec<String>,
}

impl Settings {
    /// Reads and checks a file of settings.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let json: SettingsJson = serde_json::from_str(&text).context(ParseSnafu { path })?;
        Settings::try_from(json)
    }

    /// Names the first field whose value can't be used.
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
        ];
        for (fault, field, reason) in faults {
            if fault {
                return FieldSnafu { field, reason }.fail();
            }
        }
        Ok(())
    }
}
