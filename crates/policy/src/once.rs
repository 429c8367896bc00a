//! Records of calls that may run at most once.
//!
//! A record is claimed by compare-and-swap before the call is sent. Its nonce
//! tells whose claim it is, so a lost answer is settled by reading back. A
//! claim is never taken over: if its owner is gone, the call may have run.

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::Reason;
use crate::StoredResponse;
use crate::Time;

/// Prefix of the keys of records.
const RECORD_PREFIX: &str = "once/";

/// Milliseconds in an hour, the width of a bucket of records.
const HOUR_MS: u64 = 3_600_000;

/// Hours for which every record is kept, and for which a key is valid at most.
///
/// A constant, because records that were written under a lower limit would be
/// gone when the operators raise it, and their calls could run again.
const KEPT_HOURS: u64 = 48;

/// Hours for which a record outlives the validity of its key.
const SLACK_HOURS: u64 = 2;

/// Time after the deadline of a claim's call from which its owner is taken for
/// gone, in milliseconds.
const OWNER_GONE_MS: u64 = 60_000;

/// Time by which a key may be ahead of this router's clock, in milliseconds.
const CLOCK_SKEW_MS: u64 = 300_000;

/// Where a record stands and whose claim it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) key: String,
    pub(crate) expires: Time,
    pub(crate) nonce: String,
    pub(crate) fingerprint: u64,
    /// Time from which the owner of the claim is taken for gone.
    pub(crate) owner_gone_at: Time,
    /// Version under which the claim was written, 0 while it isn't.
    pub(crate) version: u64,
}

/// State of a call that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub(crate) enum RecordState {
    /// A router may send it, or has sent it.
    Claimed,
    /// It ran, and this was its answer.
    Done { answer: StoredResponse },
    /// It ran, and its answer was too large to keep.
    AnswerNotKept,
    /// It may have run.
    Unknown,
    /// Its owner gave up before anything was sent.
    Released,
}

/// Record of a call that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) nonce: String,
    pub(crate) fingerprint: u64,
    /// Time from which the owner of a claim is taken for gone.
    pub(crate) owner_gone_at: Time,
    #[serde(flatten)]
    pub(crate) state: RecordState,
}

/// What a record that was found in the place of a new one means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// The claim is this call's own.
    Own,
    /// It may be claimed over the version that was found.
    Free,
    /// The call ran; this was its answer.
    Done(StoredResponse),
    /// The call ran, but its answer was not kept.
    AnswerNotKept,
    /// Another attempt holds the claim.
    Claimed,
    /// An earlier attempt may have run.
    Unknown,
    /// The key belongs to another request.
    OtherRequest,
}

impl Claim {
    /// Returns the claim of the call with this key, unless the key can't be used.
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
        let made_ms = seconds * 1_000 + u64::from(nanos) / 1_000_000;
        let now_ms = now.as_millis();
        let valid_ms = record_hours.min(KEPT_HOURS) * HOUR_MS;
        if made_ms > now_ms + CLOCK_SKEW_MS || made_ms + valid_ms <= now_ms {
            return Err(Reason::KeyExpired);
        }
        let bucket = made_ms / HOUR_MS;
        Ok(Claim {
            key: format!("{RECORD_PREFIX}{bucket}/{workspace}/{uuid}"),
            expires: Time::from_millis((bucket + 1 + KEPT_HOURS + SLACK_HOURS) * HOUR_MS),
            nonce,
            fingerprint,
            owner_gone_at: deadline.max(now).plus_millis(OWNER_GONE_MS),
            version: 0,
        })
    }

    /// Encodes the record with this state.
    pub(crate) fn record(&self, state: RecordState) -> Vec<u8> {
        let record = Record {
            nonce: self.nonce.clone(),
            fingerprint: self.fingerprint,
            owner_gone_at: self.owner_gone_at,
            state,
        };
        serde_json::to_vec(&record).expect("a record has a JSON form")
    }

    /// Reads a record that was found in the place of this one.
    pub(crate) fn read(&self, now: Time, value: &[u8]) -> Found {
        let Ok(record) = serde_json::from_slice::<Record>(value) else {
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
