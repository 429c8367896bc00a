//! Messages of the platform's HTTP protocol.
//!
//! Each call is a `POST` of one JSON object to the path named in [`path`]; the
//! answer is one JSON object.

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
    /// Writes a key if it has a version.
    pub const COMPARE_AND_SWAP: &str = "/kv/compare_and_swap";
    /// Deletes a key if it has a version.
    pub const DELETE: &str = "/kv/delete";
    /// Grants a lease.
    pub const GRANT: &str = "/kv/grant";
    /// Renews a lease.
    pub const RENEW: &str = "/kv/renew";
    /// Waits for a change of a key.
    pub const WATCH: &str = "/kv/watch";
    /// Waits for a change of the membership list.
    pub const MEMBERS: &str = "/members/list";
    /// Enters a VM on the membership list.
    pub const ANNOUNCE: &str = "/members/announce";
}

/// A value: text where it is UTF-8, hexadecimal otherwise.
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
    /// Key.
    pub key: String,
    /// What it holds.
    pub held: VersionedValue,
}

/// Asks for a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetRequest {
    /// Key.
    pub key: String,
}

/// Answers with what a key holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetResponse {
    /// What the key holds.
    pub held: Option<VersionedValue>,
}

/// Asks for all keys with a prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListRequest {
    /// Prefix.
    pub prefix: String,
}

/// Answers with keys in their order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListResponse {
    /// Keys with their values.
    pub entries: Vec<Entry>,
}

/// Asks for a write.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompareAndSwapRequest {
    /// Key.
    pub key: String,
    /// Version that it must have, 0 for absent.
    pub expected: u64,
    /// Value to write.
    pub value: Value,
    /// Lease to which the key is bound.
    pub lease: Option<u64>,
}

/// Asks for a deletion.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeleteRequest {
    /// Key.
    pub key: String,
    /// Version that it must have.
    pub expected: u64,
}

/// Answers a write or a deletion.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapResponse {
    /// It took effect under this version.
    Written(u64),
    /// The key had another version; this is what it holds.
    Conflict(Option<VersionedValue>),
}

/// Asks for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Time for which it holds unless renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// Answers with a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantResponse {
    /// Name of the lease.
    pub lease: u64,
}

/// Asks to renew a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Name of the lease.
    pub lease: u64,
}

/// Tells whether a lease was renewed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewResponse {
    /// Whether the lease held still.
    pub renewed: bool,
}

/// Asks to wait for a change of a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Key.
    pub key: String,
    /// Version that the caller knows.
    pub seen: u64,
    /// Time to wait, in milliseconds.
    pub wait_ms: u64,
}

/// Answers with what a watched key holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Key.
    pub key: String,
    /// What it holds.
    pub held: Option<VersionedValue>,
}

/// Asks to wait for a change of the membership list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembersRequest {
    /// Version that the caller knows.
    pub seen: u64,
    /// Time to wait, in milliseconds.
    pub wait_ms: u64,
}

/// A VM on the membership list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the VM.
    pub name: String,
    /// What it is for.
    pub role: RoleName,
    /// Address at which other VMs reach it.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Name of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleName {
    /// A VM of the system.
    Router,
    /// A backend server.
    BackendServer,
}

/// Answers with the membership list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembersResponse {
    /// Version of the list.
    pub version: u64,
    /// VMs on the list.
    pub members: Vec<MemberRecord>,
}

/// Answer without content.
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
    fn from(swap: &SwapOutcome) -> SwapResponse {
        match swap {
            SwapOutcome::Written(version) => SwapResponse::Written(*version),
            SwapOutcome::Conflict(held) => {
                SwapResponse::Conflict(held.as_ref().map(VersionedValue::from))
            }
        }
    }
}

impl TryFrom<SwapResponse> for SwapOutcome {
    type Error = String;

    fn try_from(answer: SwapResponse) -> Result<SwapOutcome, String> {
        match answer {
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

    fn try_from(answer: WatchResponse) -> Result<Change, String> {
        Ok(Change {
            key: answer.key,
            value: answer.held.map(Versioned::try_from).transpose()?,
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
    fn from(answer: MembersResponse) -> Members {
        Members {
            version: answer.version,
            members: answer.members.into_iter().map(Into::into).collect(),
        }
    }
}
