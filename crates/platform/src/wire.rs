//! Messages of the platform's HTTP protocol.
//!
//! Each call is a `POST` of one JSON object to a path in [`path`]; the response is
//! one JSON object.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::Change;
use crate::Member;
use crate::Members;
use crate::Role;
use crate::SwapOutcome;
use crate::Versioned;

/// Paths of the calls.
pub mod path {
    /// Reads a key.
    pub const GET: &str = "/kv/get";
    /// Reads all keys with a prefix.
    pub const LIST: &str = "/kv/list";
    /// Writes a key if it has the expected version.
    pub const COMPARE_AND_SWAP: &str = "/kv/compare_and_swap";
    /// Deletes a key if it has the expected version.
    pub const DELETE: &str = "/kv/delete";
    /// Grants a lease.
    pub const GRANT: &str = "/kv/grant";
    /// Renews a lease.
    pub const RENEW: &str = "/kv/renew";
    /// Waits until a key changes.
    pub const WATCH: &str = "/kv/watch";
    /// Waits until the membership list changes.
    pub const MEMBERS: &str = "/members/list";
    /// Adds a VM to the membership list.
    pub const ANNOUNCE: &str = "/members/announce";
}

/// Value of a key: text if it is valid UTF-8, else hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Value {
    /// UTF-8 text.
    Text(String),
    /// Bytes in lower-case hexadecimal.
    Hex(String),
}

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedValue {
    /// Version of the key.
    pub version: u64,
    /// Value of the key.
    pub value: Value,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the key.
    pub key: String,
    /// Value and version of the key.
    pub held: VersionedValue,
}

/// Request to read a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetRequest {
    /// Name of the key.
    pub key: String,
}

/// Response with the value of a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetResponse {
    /// Value of the key, none if it is absent.
    pub held: Option<VersionedValue>,
}

/// Request to read all keys that start with a prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListRequest {
    /// Prefix of the keys.
    pub prefix: String,
}

/// Response with the matching keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListResponse {
    /// Keys with their values, in key order.
    pub entries: Vec<Entry>,
}

/// Request to write a key if it has the expected version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompareAndSwapRequest {
    /// Name of the key.
    pub key: String,
    /// Version that the key must have, 0 if it must be absent.
    pub expected: u64,
    /// Value to write.
    pub value: Value,
    /// Id of the lease to which the key is bound.
    pub lease: Option<u64>,
}

/// Request to delete a key if it has the expected version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeleteRequest {
    /// Name of the key.
    pub key: String,
    /// Version that the key must have.
    pub expected: u64,
}

/// Response to a write or a deletion.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapResponse {
    /// The call took effect; holds the new version.
    Written(u64),
    /// The key's version differs from the expected one; holds the current value, none if absent.
    Conflict(Option<VersionedValue>),
}

/// Request for a new lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Time after which the lease expires unless renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// Response with a new lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantResponse {
    /// Id of the lease.
    pub lease: u64,
}

/// Request to renew a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Id of the lease.
    pub lease: u64,
}

/// Response to the renewal of a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewResponse {
    /// Whether the lease was renewed; false if it has expired.
    pub renewed: bool,
}

/// Request to wait until a key changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Name of the key.
    pub key: String,
    /// Last version that the caller has seen.
    pub seen: u64,
    /// Longest time to wait, in milliseconds.
    pub wait_ms: u64,
}

/// Response with the current value of a watched key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Name of the key.
    pub key: String,
    /// Value of the key, none if it is absent.
    pub held: Option<VersionedValue>,
}

/// Request to wait until the membership list changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembersRequest {
    /// Last version that the caller has seen.
    pub seen: u64,
    /// Longest time to wait, in milliseconds.
    pub wait_ms: u64,
}

/// A VM on the membership list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the VM.
    pub name: String,
    /// Role of the VM.
    pub role: RoleName,
    /// Address at which other VMs reach it.
    pub address: SocketAddr,
    /// Region of the VM.
    pub region: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Incarnation, which increases with each start of the process.
    pub incarnation: u64,
    /// Whether the process is shutting down.
    pub leaving: bool,
}

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleName {
    /// Runs a router of this system.
    Router,
    /// Runs a backend server.
    BackendServer,
}

/// Response with the membership list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembersResponse {
    /// Version of the list.
    pub version: u64,
    /// VMs on the list.
    pub members: Vec<MemberRecord>,
}

/// Response without content.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EmptyResponse {}

impl From<&[u8]> for Value {
    fn from(value: &[u8]) -> Value {
        match std::str::from_utf8(value) {
            Ok(text) => Value::Text(text.to_owned()),
            Err(_) => Value::Hex(value.iter().map(|byte| format!("{byte:02x}")).collect()),
        }
    }
}

impl TryFrom<Value> for Bytes {
    type Error = String;

    fn try_from(value: Value) -> Result<Bytes, String> {
        match value {
            Value::Text(text) => Ok(Bytes::from(text)),
            Value::Hex(hex) => from_hex(&hex)
                .map(Bytes::from)
                .ok_or_else(|| "value is not hexadecimal".to_owned()),
        }
    }
}

fn from_hex(hex: &str) -> Option<Vec<u8>> {
    let digits = hex
        .chars()
        .map(|digit| {
            digit
                .to_digit(16)
                .and_then(|digit| u8::try_from(digit).ok())
        })
        .collect::<Option<Vec<u8>>>()?;
    if digits.len() % 2 != 0 {
        return None;
    }
    Some(
        digits
            .chunks(2)
            .map(|pair| pair[0] << 4 | pair[1])
            .collect(),
    )
}

impl From<&Versioned> for VersionedValue {
    fn from(versioned: &Versioned) -> VersionedValue {
        VersionedValue {
            version: versioned.version,
            value: Value::from(versioned.value.as_ref()),
        }
    }
}

impl TryFrom<VersionedValue> for Versioned {
    type Error = String;

    fn try_from(held: VersionedValue) -> Result<Versioned, String> {
        Ok(Versioned {
            version: held.version,
            value: Bytes::try_from(held.value)?,
        })
    }
}

impl From<&SwapOutcome> for SwapResponse {
    fn from(outcome: &SwapOutcome) -> SwapResponse {
        match outcome {
            SwapOutcome::Written(version) => SwapResponse::Written(*version),
            SwapOutcome::Conflict(held) => {
                SwapResponse::Conflict(held.as_ref().map(VersionedValue::from))
            }
        }
    }
}

impl TryFrom<SwapResponse> for SwapOutcome {
    type Error = String;

    fn try_from(response: SwapResponse) -> Result<SwapOutcome, String> {
        match response {
            SwapResponse::Written(version) => Ok(SwapOutcome::Written(version)),
            SwapResponse::Conflict(held) => Ok(SwapOutcome::Conflict(
                held.map(Versioned::try_from).transpose()?,
            )),
        }
    }
}

impl From<&Change> for WatchResponse {
    fn from(change: &Change) -> WatchResponse {
        WatchResponse {
            key: change.key.clone(),
            held: change.value.as_ref().map(VersionedValue::from),
        }
    }
}

impl TryFrom<WatchResponse> for Change {
    type Error = String;

    fn try_from(response: WatchResponse) -> Result<Change, String> {
        Ok(Change {
            key: response.key,
            value: response.held.map(Versioned::try_from).transpose()?,
        })
    }
}

impl From<Role> for RoleName {
    fn from(role: Role) -> RoleName {
        match role {
            Role::Router => RoleName::Router,
            Role::BackendServer => RoleName::BackendServer,
        }
    }
}

impl From<RoleName> for Role {
    fn from(role: RoleName) -> Role {
        match role {
            RoleName::Router => Role::Router,
            RoleName::BackendServer => Role::BackendServer,
        }
    }
}

impl From<Member> for MemberRecord {
    fn from(member: Member) -> MemberRecord {
        MemberRecord {
            name: member.name,
            role: member.role.into(),
            address: member.address,
            region: member.region,
            failure_domain: member.failure_domain,
            incarnation: member.incarnation,
            leaving: member.leaving,
        }
    }
}

impl From<MemberRecord> for Member {
    fn from(record: MemberRecord) -> Member {
        Member {
            name: record.name,
            role: record.role.into(),
            address: record.address,
            region: record.region,
            failure_domain: record.failure_domain,
            incarnation: record.incarnation,
            leaving: record.leaving,
        }
    }
}

impl From<Members> for MembersResponse {
    fn from(members: Members) -> MembersResponse {
        MembersResponse {
            version: members.version,
            members: members.members.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<MembersResponse> for Members {
    fn from(response: MembersResponse) -> Members {
        Members {
            version: response.version,
            members: response.members.into_iter().map(Into::into).collect(),
        }
    }
}
