//! Idempotency records, for calls that may run at most once.
//!
//! A record is claimed by compare-and-swap before the call is sent. Its nonce
//! identifies the claim, so a router that receives no response to its write
//! reads the record back to learn whether the claim is its own. A claim is never
//! taken over: if its owner is gone, the call may have run.

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::Reason;
use crate::StoredResponse;
use crate::Time;

/// Key prefix of all records.
const RECORD_PREFIX: &str = "once/";

/// Milliseconds in an hour; records are grouped into buckets of one hour.
const HOUR_MS: u64 = 3_600_000;

/// Hours for which every record is kept, and upper limit of a key's validity.
///
/// Not configurable: records written under a lower limit would be gone when an
/// operator raises it, and their calls could run again.
const RETENTION_HOURS: u64 = 48;

/// Hours for which a record is kept beyond the validity of its key.
const RETENTION_SLACK_HOURS: u64 = 2;

/// Time after the deadline of the call from which the owner of its claim is
/// assumed to be gone, in milliseconds.
const CLAIM_OWNER_TIMEOUT_MS: u64 = 60_000;

/// Maximum time that a key's timestamp may be ahead of this router's clock, in milliseconds.
const CLOCK_SKEW_MS: u64 = 300_000;

/// Location of a record and identity of the claim on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) key: String,
    pub(crate) expires: Time,
    pub(crate) nonce: String,
    pub(crate) fingerprint: u64,
    /// Time from which the owner of the claim is assumed to be gone.
    pub(crate) owner_gone_at: Time,
    /// Version of the record with the claim, 0 until it is written.
    pub(crate) version: u64,
}

/// State of a call in its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub(crate) enum RecordState {
    /// A router may send it, or has sent it.
    Claimed,
    /// It ran, with this response.
    Done { answer: StoredResponse },
    /// It ran, and its response was too large to record.
    AnswerNotKept,
    /// It may have run.
    Unknown,
    /// The owner of the claim gave up before anything was sent.
    Released,
}

/// Content of a record, in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct IdempotencyRecord {
    pub(crate) nonce: String,
    pub(crate) fingerprint: u64,
    /// Time from which the owner of the claim is assumed to be gone.
    pub(crate) owner_gone_at: Time,
    #[serde(flatten)]
    pub(crate) state: RecordState,
}

/// Meaning of an existing record for a call that wants to claim it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// The claim is the call's own.
    Own,
    /// The record may be claimed over the version that was found.
    Free,
    /// The call ran, with this response.
    Done(StoredResponse),
    /// The call ran, but its response was not recorded.
    AnswerNotKept,
    /// Another request with the same key holds the claim.
    Claimed,
    /// An earlier request with the same key may have run.
    Unknown,
    /// The key was used for another request.
    OtherRequest,
}

impl Claim {
    /// Builds the claim for an idempotency key, a UUID of version 7 whose
    /// timestamp must be within the validity of keys.
    pub(crate) fn new(
        now: Time,
        workspace: &str,
        key: &str,
        record_hours: u64,
        fingerprint: u64,
        nonce: String,
        deadline: Time,
    ) -> Result<Claim, Reason> {
        let uuid = Uuid::parse_str(key).map_err(|_| Reason::KeyMissing)?;
        let time = uuid.get_timestamp().ok_or(Reason::KeyMissing)?;
        if uuid.get_version_num() != 7 {
            return Err(Reason::KeyMissing);
        }
        let (seconds, nanos) = time.to_unix();
        let created_ms = seconds * 1_000 + u64::from(nanos) / 1_000_000;
        let now_ms = now.as_millis();
        let valid_ms = record_hours.min(RETENTION_HOURS) * HOUR_MS;
        if created_ms > now_ms + CLOCK_SKEW_MS || created_ms + valid_ms <= now_ms {
            return Err(Reason::KeyExpired);
        }
        let bucket = created_ms / HOUR_MS;
        Ok(Claim {
            key: format!("{RECORD_PREFIX}{bucket}/{workspace}/{uuid}"),
            expires: Time::from_millis(
                (bucket + 1 + RETENTION_HOURS + RETENTION_SLACK_HOURS) * HOUR_MS,
            ),
            nonce,
            fingerprint,
            owner_gone_at: deadline.max(now).plus_millis(CLAIM_OWNER_TIMEOUT_MS),
            version: 0,
        })
    }

    /// Encodes a record with this state.
    pub(crate) fn encode(&self, state: RecordState) -> Vec<u8> {
        let record = IdempotencyRecord {
            nonce: self.nonce.clone(),
            fingerprint: self.fingerprint,
            owner_gone_at: self.owner_gone_at,
            state,
        };
        serde_json::to_vec(&record).expect("a record is serializable to JSON")
    }

    /// Interprets an existing record under the key of this claim.
    pub(crate) fn interpret(&self, now: Time, value: &[u8]) -> Found {
        let Ok(record) = serde_json::from_slice::<IdempotencyRecord>(value) else {
            return Found::Unknown;
        };
        if record.fingerprint != self.fingerprint {
            return Found::OtherRequest;
        }
        match record.state {
            RecordState::Claimed if record.nonce == self.nonce => Found::Own,
            RecordState::Claimed if now >= record.owner_gone_at => Found::Unknown,
            RecordState::Claimed => Found::Claimed,
            RecordState::Done { answer } => Found::Done(answer),
            RecordState::AnswerNotKept => Found::AnswerNotKept,
            RecordState::Unknown => Found::Unknown,
            RecordState::Released => Found::Free,
        }
    }
}
