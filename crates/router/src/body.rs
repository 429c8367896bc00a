//! Reads request bodies with limits on size and time.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::Rejection;

/// Returns a response body of complete bytes.
pub fn full_body<B, E>(bytes: B) -> Either<Full<Bytes>, E>
where
    B: Into<Bytes>,
{
    Either::Left(Full::new(bytes.into()))
}

/// Reads a complete body. It is rejected if it is larger than `limit` bytes or incomplete at
/// `deadline`.
pub async fn read(body: Incoming, limit: u64, deadline: Instant) -> Result<Bytes, Rejection> {
    match timeout_at(deadline, collect(body, limit)).await {
        Ok(result) => result,
        Err(_) => Err(Rejection::BodyTooSlow),
    }
}

async fn collect(mut body: Incoming, limit: u64) -> Result<Bytes, Rejection> {
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
        let len = u64::try_from(buf.len() + data.len()).unwrap_or(u64::MAX);
        if len > limit {
            return Err(Rejection::BodyTooLarge { limit });
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
