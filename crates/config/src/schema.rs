//! The schema of a configuration file: fields, types and ranges.

/// Largest value of a count that is stored as `u32`.
const MAX_SMALL_COUNT: u64 = 1_000_000_000;

/// Largest value of a count that is stored as `u64`.
const MAX_COUNT: u64 = 1_000_000_000_000;

/// Longest default deadline of a priority class, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Largest time estimate or cost weight, in milliseconds.
const MAX_COST_MS: f64 = 1_000_000.0;

/// Upper bound of `limits.body_bytes`.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Upper bound of `limits.stored_answer_bytes`; a response of this size still fits, with its
/// record, into the platform's largest value.
const MAX_STORED_ANSWER_BYTES: u64 = 512 << 10;

/// Type and range of a JSON value.
pub(crate) enum ValueType {
    /// `true` or `false`.
    Bool,
    /// Integer from `min` to `max`.
    Integer { min: u64, max: u64 },
    /// Number from `min` to `max`.
    Number { min: f64, max: f64 },
    /// String that isn't empty.
    NonEmptyText,
    /// IP address and port to which a connection can be opened.
    Address,
    /// SHA-256 in lower-case hexadecimal.
    Sha256,
    /// HTTP method in upper case.
    Method,
    /// Path of a URL, with a leading slash and without a query.
    Path,
    /// Array of at least `min` distinct items of type `values`.
    List {
        min: usize,
        values: &'static ValueType,
    },
    /// Object with at least `min` entries of type `values`, whose names are free within `charset`.
    Map {
        min: usize,
        charset: NameCharset,
        values: &'static ValueType,
    },
    /// Object with fixed fields.
    Record(&'static [Field]),
}

/// Characters that the names of a map's entries may contain.
#[derive(Clone, Copy)]
pub(crate) enum NameCharset {
    /// ASCII letters, digits, `-`, `_` and `.`.
    Plain,
    /// Also `/` and `:`, which occur in the names of published models.
    Model,
}

/// A field of a [`ValueType::Record`].
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) required: bool,
    pub(crate) value_type: ValueType,
}

const fn required(name: &'static str, value_type: ValueType) -> Field {
    Field {
        name,
        required: true,
        value_type,
    }
}

const fn optional(name: &'static str, value_type: ValueType) -> Field {
    Field {
        name,
        required: false,
        value_type,
    }
}

const fn integer(min: u64, max: u64) -> ValueType {
    ValueType::Integer { min, max }
}

const fn cost() -> ValueType {
    ValueType::Number {
        min: 0.0,
        max: MAX_COST_MS,
    }
}

const fn list(min: usize, values: &'static ValueType) -> ValueType {
    ValueType::List { min, values }
}

const fn map(min: usize, values: &'static ValueType) -> ValueType {
    ValueType::Map {
        min,
        charset: NameCharset::Plain,
        values,
    }
}

/// Schema of a file; every section is optional.
pub(crate) static FILE: ValueType = ValueType::Record(&[
    optional("workspaces", map(0, &WORKSPACE)),
    optional(
        "models",
        ValueType::Map {
            min: 0,
            charset: NameCharset::Model,
            values: &MODEL,
        },
    ),
    optional("priorities", map(0, &PRIORITY)),
    optional("backend_servers", map(0, &BACKEND_SERVER)),
    optional("services", map(0, &SERVICE)),
    optional("limits", LIMITS),
]);

static WORKSPACE: ValueType = ValueType::Record(&[
    required("token_sha256", ValueType::Sha256),
    optional("share", integer(1, 1_000_000)),
    optional(
        "quota",
        ValueType::Record(&[
            optional("requests_in_flight", integer(1, MAX_SMALL_COUNT)),
            optional("prompt_tokens_in_flight", integer(1, MAX_COUNT)),
        ]),
    ),
    optional(
        "weights",
        ValueType::Record(&[
            optional("recompute_ms_per_1000_tokens", cost()),
            optional("cross_region_ms_per_mb", cost()),
        ]),
    ),
]);

static MODEL: ValueType = ValueType::Record(&[
    required("weights_version", integer(0, u64::MAX)),
    optional(
        "prefill_ms_per_1000_tokens",
        ValueType::Number {
            min: 0.001,
            max: MAX_COST_MS,
        },
    ),
    optional("kv_bytes_per_token", integer(1, MAX_COUNT)),
]);

static PRIORITY: ValueType = ValueType::Record(&[
    required("rank", integer(0, 255)),
    required("default_deadline_ms", integer(1, MAX_DEADLINE_MS)),
]);

static BACKEND_SERVER: ValueType = ValueType::Record(&[
    required("address", ValueType::Address),
    required("region", ValueType::NonEmptyText),
    required("failure_domain", ValueType::NonEmptyText),
    required("models", list(1, &ValueType::NonEmptyText)),
    optional("workspaces", list(0, &ValueType::NonEmptyText)),
    optional("checks_fencing", ValueType::Bool),
]);

static SERVICE: ValueType = ValueType::Record(&[
    required("replicas", map(1, &ValueType::Address)),
    required("calls", list(1, &CALL)),
]);

static CALL: ValueType = ValueType::Record(&[
    required("method", ValueType::Method),
    required("path_prefix", ValueType::Path),
    required("idempotent", ValueType::Bool),
]);

const LIMITS: ValueType = ValueType::Record(&[
    optional("loads_at_once", integer(1, 1_000)),
    optional("retries_per_100_requests", integer(0, 100)),
    optional("crashes_per_request", integer(1, 16)),
    optional("body_bytes", integer(1 << 10, MAX_BODY_BYTES)),
    optional(
        "stored_answer_bytes",
        integer(1 << 10, MAX_STORED_ANSWER_BYTES),
    ),
    optional("record_hours", integer(1, 48)),
    optional("cell_size", integer(1, 1_024)),
]);
