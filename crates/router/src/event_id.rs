//! Ids of streamed events, from which any router can resume a stream.
//!
//! An id is `<origin>.<position>.<end>.<mac>`: the origin as JSON in
//! hexadecimal, the event's position, 1 on the last event, and an HMAC-SHA256
//! of all before it.

use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;
use snafu::ensure;
use snafu::OptionExt;
use snafu::Snafu;

use crate::hex;

/// Longest id that is looked at, in bytes.
const MAX_ID_BYTES: usize = 2_048;

/// Bytes of the MAC that an id carries.
const MAC_BYTES: usize = 16;

/// Stream from which an event came.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Backend server.
    #[serde(rename = "b")]
    pub server: String,
    /// Incarnation of its engine.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Name of the stream at the engine.
    #[serde(rename = "s")]
    pub stream: String,
    /// Workspace of the caller.
    #[serde(rename = "w")]
    pub workspace: String,
}

/// What an id says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Stream from which the event came.
    pub origin: Origin,
    /// Position of its token.
    pub position: u32,
    /// Whether it was the last one.
    pub last: bool,
}

/// An id that no router has made.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum BadEventId {
    /// It is too long.
    #[snafu(display("the event id is longer than {MAX_ID_BYTES} bytes"))]
    TooLong,
    /// It is not of the form that routers give it.
    #[snafu(display("the event id is malformed"))]
    Malformed,
    /// Its MAC is wrong.
    #[snafu(display("the event id was not made by a router of this system"))]
    NotAuthentic,
}

/// Makes and reads event ids.
#[derive(Clone, Debug)]
pub struct EventIdCodec {
    mac: Hmac<Sha256>,
}

/// An origin with the part of the MAC that all its events share.
#[derive(Clone, Debug)]
pub struct SignedOrigin {
    prefix: String,
    mac: Hmac<Sha256>,
}

impl EventIdCodec {
    /// Creates ids under a secret that all routers share.
    pub fn new(secret: &[u8]) -> EventIdCodec {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes a key of any length");
        EventIdCodec { mac }
    }

    /// Prepares the ids of a stream.
    pub fn sign(&self, origin: &Origin) -> SignedOrigin {
        let json = serde_json::to_vec(origin).expect("an origin is plain JSON");
        let prefix = hex::encode(&json);
        let mut mac = self.mac.clone();
        mac.update(prefix.as_bytes());
        SignedOrigin { prefix, mac }
    }

    /// Reads an id.
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
