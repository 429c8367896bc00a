//! Reads request bodies with limits on size and time.

use bytes::Bytes;
use bytes::BytesMut;
use gateway::HeldFor;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::limits::BODY_COPIES;
use crate::open_connection::OpenConnection;
use crate::request_hold::RequestHold;
use crate::Rejection;

/// Returns a response body of complete bytes.
pub fn full_body<B, E>(bytes: B) -> Either<Full<Bytes>, E>
where
    B: Into<Bytes>,
{
    Either::Left(Full::new(bytes.into()))
}

/// Limits on a body that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub bytes: u64,
    /// When it must be complete.
    pub deadline: Instant,
}

/// Reads a complete body of a request on a connection, and counts it. It is rejected if it exceeds its
/// limits, or if there is no memory for it.
pub async fn read(
    body: Incoming,
    limits: BodyLimits,
    connection: &OpenConnection,
    hold: &RequestHold,
) -> Result<Bytes, Rejection> {
    let collected = collect(body, limits.bytes, connection, hold);
    match timeout_at(limits.deadline, collected).await {
        Ok(result) => result,
        Err(_) => Err(Rejection::BodyTooSlow),
    }
}

async fn collect(
    mut body: Incoming,
    limit: u64,
    connection: &OpenConnection,
    hold: &RequestHold,
) -> Result<Bytes, Rejection> {
    let named = body.size_hint().exact();
    if body.size_hint().lower() > limit {
        return Err(Rejection::BodyTooLarge { limit });
    }
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Rejection::BodyBroken {
            reason: e.to_string(),
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let data_len = data.len() as u64;
        let len = u64::try_from(buf.len() + data.len()).unwrap_or(u64::MAX);
        if len > limit {
            return Err(Rejection::BodyTooLarge { limit });
        }
        if !hold.try_grow(BODY_COPIES * data_len, HeldFor::Request) {
            return Err(Rejection::NoMemory);
        }
        buf.extend_from_slice(&data);
    }
    connection.end_request_body(named);
    Ok(buf.freeze())
}
