//! Ids of server-sent events, from which any router can resume a stream.
//!
//! An id is `<origin>.<position>.<last>.<mac>`: the origin as JSON in hexadecimal, the event's
//! position, `1` for the last event and `0` otherwise, and a truncated HMAC-SHA256 of everything
//! before it.

use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;
use snafu::ensure;
use snafu::OptionExt;
use snafu::Snafu;

use crate::hex;

/// Maximum length of an id, in bytes; longer ones are rejected without being parsed.
const MAX_ID_BYTES: usize = 2_048;

/// Number of bytes to which the MAC in an id is truncated.
const MAC_BYTES: usize = 16;

/// The engine stream that an event came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Name of the backend server.
    #[serde(rename = "b")]
    pub server: String,
    /// Incarnation of the engine on it.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Name of the stream on the engine.
    #[serde(rename = "s")]
    pub stream: String,
    /// Name of the caller's workspace.
    #[serde(rename = "w")]
    pub workspace: String,
}

/// The decoded content of an event id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Engine stream that the event came from.
    pub origin: Origin,
    /// Position of the event's token in the response, from 0.
    pub position: u32,
    /// Whether it was the last token.
    pub last: bool,
}

/// Why an event id is invalid.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum BadEventId {
    /// The id is longer than `MAX_ID_BYTES`.
    #[snafu(display("the event id is longer than {MAX_ID_BYTES} bytes"))]
    TooLong,
    /// The id doesn't have the format of an event id.
    #[snafu(display("the event id is malformed"))]
    Malformed,
    /// The MAC of the id is wrong.
    #[snafu(display("the event id was not made by a router of this system"))]
    NotAuthentic,
}

/// Encodes and decodes event ids.
#[derive(Clone, Debug)]
pub struct EventIdCodec {
    mac: Hmac<Sha256>,
}

/// An encoded origin and the MAC state after it, from which the event ids of its stream are made.
#[derive(Clone, Debug)]
pub struct SignedOrigin {
    prefix: String,
    mac: Hmac<Sha256>,
}

impl EventIdCodec {
    /// Creates a codec; `secret` is the key of the MAC, shared by all routers.
    pub fn new(secret: &[u8]) -> EventIdCodec {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes a key of any length");
        EventIdCodec { mac }
    }

    /// Prepares the event ids of a stream.
    pub fn sign(&self, origin: &Origin) -> SignedOrigin {
        let json = serde_json::to_vec(origin).expect("an origin serializes to JSON");
        let prefix = hex::encode(&json);
        let mut mac = self.mac.clone();
        mac.update(prefix.as_bytes());
        SignedOrigin { prefix, mac }
    }

    /// Checks the MAC of an id and decodes it.
    pub fn decode(&self, id: &str) -> Result<EventId, BadEventId> {
        ensure!(id.len() <= MAX_ID_BYTES, TooLongSnafu);
        let (signed, mac) = id.rsplit_once('.').context(MalformedSnafu)?;
        self.verify(signed, mac)?;
        let mut parts = signed.split('.');
        let origin = parts.next().and_then(hex::decode).context(MalformedSnafu)?;
        let position = parts.next().and_then(|s| s.parse().ok());
        let last = match parts.next() {
            Some("0") => false,
            Some("1") => true,
            _ => return MalformedSnafu.fail(),
        };
        Ok(EventId {
            origin: serde_json::from_slice(&origin)
                .ok()
                .context(MalformedSnafu)?,
            position: position.context(MalformedSnafu)?,
            last,
        })
    }

    fn verify(&self, signed: &str, mac: &str) -> Result<(), BadEventId> {
        let given = hex::decode(mac).context(MalformedSnafu)?;
        ensure!(given.len() == MAC_BYTES, MalformedSnafu);
        let mut expected = self.mac.clone();
        expected.update(signed.as_bytes());
        expected
            .verify_truncated_left(&given)
            .ok()
            .context(NotAuthenticSnafu)
    }
}

impl SignedOrigin {
    /// Returns the id of the event at `position`.
    pub fn id(&self, position: u32, last: bool) -> String {
        let suffix = format!(".{position}.{}", u8::from(last));
        let mut mac = self.mac.clone();
        mac.update(suffix.as_bytes());
        let mac = mac.finalize().into_bytes();
        let mut id = String::with_capacity(self.prefix.len() + suffix.len() + 2 * MAC_BYTES + 1);
        id.push_str(&self.prefix);
        id.push_str(&suffix);
        id.push('.');
        id.push_str(&hex::encode(&mac[..MAC_BYTES]));
        id
    }
}
