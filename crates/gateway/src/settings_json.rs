//! JSON format of the settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::memory_share::share_of_memory;
use crate::settings::FieldSnafu;
use crate::settings::Listen;
use crate::settings::RetryLimits;
use crate::settings::Settings;
use crate::settings::SettingsError;

/// Default of `weights_due_ms`: 31 years, in effect no limit.
const WEIGHTS_DUE_MS: f64 = 1e12;

/// Default of `orders_at_once_percent`.
const ORDERS_AT_ONCE_PERCENT: f64 = 34.0;

/// Default of `buffer_percent`. Connections, the cluster view and the log take the rest.
const BUFFER_PERCENT: f64 = 40.0;

/// Default of `connection_percent`.
const CONNECTION_PERCENT: f64 = 20.0;

/// Default of `router_percent`.
const ROUTER_PERCENT: f64 = 10.0;

/// Default of `page_percent`.
const PAGE_PERCENT: f64 = 2.0;

/// Bytes of a megabyte of memory.
const MB_BYTES: u64 = 1 << 20;

/// Default of `log_buffer_bytes`.
const LOG_BUFFER_BYTES: f64 = 262_144.0;

/// Default of `order_lease_ms`.
const ORDER_LEASE_MS: f64 = 3_000.0;

/// Default of `min_lease_ms`.
const MIN_LEASE_MS: f64 = 1_000.0;

/// Default of `heartbeat_ms`, shorter than usual: a longer one takes more for granted.
const HEARTBEAT_MS: f64 = 500.0;

/// Content of a settings file. Unknown fields are ignored and named in a warning.
#[derive(Debug, Deserialize)]
pub struct SettingsJson {
    name: String,
    domain: String,
    #[serde(default)]
    regions: BTreeMap<Arc<str>, Arc<str>>,
    capacity: Option<f64>,
    listen: ListenJson,
    store: String,
    #[serde(default)]
    seeds: Vec<String>,
    order_lease_ms: Option<f64>,
    fenced: Option<bool>,
    min_lease_ms: Option<f64>,
    heartbeat_ms: Option<f64>,
    stop_s: Option<f64>,
    weights_due_ms: Option<f64>,
    repeat_ratio: Option<f64>,
    repeat_reserve: Option<f64>,
    orders_at_once_percent: Option<f64>,
    memory_mb: Option<f64>,
    buffer_percent: Option<f64>,
    connection_percent: Option<f64>,
    router_percent: Option<f64>,
    page_percent: Option<f64>,
    max_descriptors: Option<f64>,
    first_start: Option<bool>,
    limit_server_room: Option<bool>,
    learn_server_pace: Option<bool>,
    log_buffer_bytes: Option<f64>,
    /// Unknown fields.
    #[serde(flatten)]
    unknown: BTreeMap<String, serde_json::Value>,
}

#[derive(Debug, Deserialize)]
struct ListenJson {
    callers: String,
    readiness: String,
    bootstrap: Option<String>,
    peer_port: u16,
    metrics_port: u16,
}

/// Shares of the VM's memory, in bytes.
struct MemoryShares {
    buffer_bytes: u64,
    connection_bytes: u64,
    router_bytes: u64,
    page_bytes: u64,
}

impl SettingsJson {
    fn unknown(&self) -> Vec<String> {
        self.unknown.keys().cloned().collect()
    }

    fn memory_shares(&self) -> Result<MemoryShares, SettingsError> {
        let share = |field, percent: Option<f64>, default| {
            share(self.memory_mb, field, percent.unwrap_or(default))
        };
        Ok(MemoryShares {
            buffer_bytes: share("buffer_percent", self.buffer_percent, BUFFER_PERCENT)?,
            connection_bytes: share(
                "connection_percent",
                self.connection_percent,
                CONNECTION_PERCENT,
            )?,
            router_bytes: share("router_percent", self.router_percent, ROUTER_PERCENT)?,
            page_bytes: share("page_percent", self.page_percent, PAGE_PERCENT)?,
        })
    }
}

impl TryFrom<SettingsJson> for Settings {
    type Error = SettingsError;

    fn try_from(json: SettingsJson) -> Result<Settings, SettingsError> {
        let unknown_fields = json.unknown();
        let shares = json.memory_shares()?;
        let seeds = json.seeds.iter().map(|seed| address("seeds", seed));
        let settings = Settings {
            name: json.name.into(),
            domain: json.domain.into(),
            regions: json.regions,
            capacity: to_integer("capacity", json.capacity.unwrap_or(0.0))?,
            listen: Listen::try_from(json.listen)?,
            store: address("store", &json.store)?,
            seeds: seeds.collect::<Result<_, _>>()?,
            order_lease_ms: to_integer(
                "order_lease_ms",
                json.order_lease_ms.unwrap_or(ORDER_LEASE_MS),
            )?,
            fenced: json.fenced.unwrap_or(false),
            min_lease_ms: to_integer("min_lease_ms", json.min_lease_ms.unwrap_or(MIN_LEASE_MS))?,
            heartbeat_ms: to_integer("heartbeat_ms", json.heartbeat_ms.unwrap_or(HEARTBEAT_MS))?,
            stop_ms: to_integer("stop_s", json.stop_s.unwrap_or(8.0) * 1_000.0)?,
            weights_due_ms: to_integer(
                "weights_due_ms",
                json.weights_due_ms.unwrap_or(WEIGHTS_DUE_MS),
            )?,
            retry_limits: RetryLimits {
                ratio: json.repeat_ratio.unwrap_or(0.0),
                reserve: json.repeat_reserve.unwrap_or(0.0),
            },
            orders_at_once_percent: to_integer(
                "orders_at_once_percent",
                json.orders_at_once_percent
                    .unwrap_or(ORDERS_AT_ONCE_PERCENT),
            )?,
            buffer_bytes: shares.buffer_bytes,
            connection_bytes: shares.connection_bytes,
            router_bytes: shares.router_bytes,
            page_bytes: shares.page_bytes,
            max_descriptors: match json.max_descriptors {
                Some(number) => to_integer("max_descriptors", number)?,
                None => process_descriptors(),
            },
            first_start: json.first_start.unwrap_or(false),
            limit_server_room: json.limit_server_room.unwrap_or(false),
            learn_server_pace: json.learn_server_pace.unwrap_or(false),
            log_buffer_bytes: to_integer(
                "log_buffer_bytes",
                json.log_buffer_bytes.unwrap_or(LOG_BUFFER_BYTES),
            )?,
            unknown_fields,
        };
        settings.check()?;
        Ok(settings)
    }
}

impl TryFrom<ListenJson> for Listen {
    type Error = SettingsError;

    fn try_from(json: ListenJson) -> Result<Listen, SettingsError> {
        let bootstrap = json.bootstrap.filter(|text| !text.is_empty());
        Ok(Listen {
            callers: address("listen.callers", &json.callers)?,
            readiness: address("listen.readiness", &json.readiness)?,
            bootstrap: bootstrap
                .map(|text| address("listen.bootstrap", &text))
                .transpose()?,
            peer_port: json.peer_port,
            metrics_port: json.metrics_port,
        })
    }
}

/// Returns the descriptors that the operating system lets this process open.
pub fn process_descriptors() -> u64 {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.unwrap_or(u64::MAX)
}

/// Returns a share of what the VM's memory leaves to callers, in bytes; no limit if its memory is unknown.
fn share(memory_mb: Option<f64>, field: &'static str, percent: f64) -> Result<u64, SettingsError> {
    if !(percent > 0.0 && percent <= 100.0) {
        let reason = "expected more than 0, at most 100";
        return FieldSnafu { field, reason }.fail();
    }
    let Some(memory_mb) = memory_mb else {
        return Ok(u64::MAX);
    };
    let memory_mb: u32 = to_integer("memory_mb", memory_mb)?;
    Ok(share_of_memory(u64::from(memory_mb) * MB_BYTES, percent))
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse()
        .map_err(|_| "expected an address and a port")
        .or_else(|reason| FieldSnafu { field, reason }.fail())
}

/// Converts a number, which may have a fraction in the file, to the nearest integer.
fn to_integer<T>(field: &'static str, number: f64) -> Result<T, SettingsError>
where
    T: TryFrom<u64>,
{
    let reason = "expected a number of 0 or more";
    if !number.is_finite() || number < 0.0 {
        return FieldSnafu { field, reason }.fail();
    }
    T::try_from(number.round() as u64).or_else(|_| FieldSnafu { field, reason }.fail())
}
