//! What requests have in common that may crash the backend servers that run them.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;

use crate::PromptPart;

/// Maximum number of parts of one prompt that are suspects.
const MAX_PARTS: usize = 64;

/// Key of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SuspectKey {
    /// One request, which comes again with new ids: its fingerprint.
    Request(u64),
    /// A part of prompts for a model: hash of both.
    Part(u64),
}

impl SuspectKey {
    /// Returns the keys of a prompt's shared parts. The last part belongs to the request alone.
    pub fn parts(model: &str, parts: &[PromptPart]) -> Vec<SuspectKey> {
        let model = crate::name_hash(model);
        let shared = parts.split_last().map_or(parts, |(_, shared)| shared);
        let shared = shared.iter().take(MAX_PARTS);
        let keys = shared.map(|part| crate::rendezvous_weight(model, part.id));
        keys.map(SuspectKey::Part).collect()
    }

    /// Returns the key as a path, such as `part/000000000000002f`.
    pub fn path(self) -> String {
        match self {
            SuspectKey::Request(hash) => format!("request/{hash:016x}"),
            SuspectKey::Part(hash) => format!("part/{hash:016x}"),
        }
    }

    /// Returns a hash that differs from that of other suspects of either kind.
    pub fn hash(self) -> u64 {
        match self {
            SuspectKey::Request(hash) => hash,
            SuspectKey::Part(hash) => !hash,
        }
    }
}

/// Reason why a text names no suspect.
#[derive(Debug, Snafu)]
#[snafu(display("{text:?} names no suspect"))]
pub struct BadSuspectKey {
    text: String,
}

impl Display for SuspectKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            SuspectKey::Request(hash) => write!(f, "request={hash:016x}"),
            SuspectKey::Part(hash) => write!(f, "part={hash:016x}"),
        }
    }
}

impl FromStr for SuspectKey {
    type Err = BadSuspectKey;

    fn from_str(text: &str) -> Result<SuspectKey, BadSuspectKey> {
        let hash = |hash: &str| u64::from_str_radix(hash, 16).ok();
        let key = match text.split_once('/') {
            Some(("request", text)) => hash(text).map(SuspectKey::Request),
            Some(("part", text)) => hash(text).map(SuspectKey::Part),
            _ => None,
        };
        key.context(BadSuspectKeySnafu { text })
    }
}
