//! Reads the body of a response until there are no more bytes.

use bytes::Bytes;
use bytes::BytesMut;
use tokio::time::sleep;

use crate::buffer_budget::BufferBudget;
use crate::buffer_budget::BufferHold;
use crate::buffer_budget::ROOM_POLL_INTERVAL;
use crate::response_end::ResponseEnd;
use crate::server_body::ServerBody;

/// Why a body wasn't read to its end.
pub enum CollectError {
    /// Its connection failed.
    Broken(ResponseEnd),
    /// It names no length, and such bodies take too much memory together.
    TooLarge,
}

/// Collects the bytes of a response's body, which count as buffered. While too many bytes are buffered it
/// isn't begun, so that its server waits; one that is begun is read to its end, as it frees its
/// bytes only then. One without a length may have no end, and is given up if those take too much.
pub async fn collect(
    buffers: &BufferBudget,
    body: &mut ServerBody,
) -> Result<(Bytes, BufferHold), CollectError> {
    while !buffers.has_room() {
        sleep(ROOM_POLL_INTERVAL).await;
    }
    let named = body.named_len();
    let mut hold = buffers.hold(named.unwrap_or(0));
    let mut buf = BytesMut::new();
    while let Some(bytes) = body.next().await.map_err(CollectError::Broken)? {
        if named.is_none() && !hold.try_grow_unsized(bytes.len() as u64) {
            return Err(CollectError::TooLarge);
        }
        buf.extend_from_slice(&bytes);
    }
    Ok((buf.freeze(), hold))
}
