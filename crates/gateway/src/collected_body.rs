//! Reads the body of a response until there are no more bytes.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::BytesMut;
use tokio::time::sleep;

use crate::accepted_connection::AcceptedConnection;
use crate::body::HeldBytes;
use crate::context::Context;
use crate::in_flight::InFlight;
use crate::port_connections::ROOM_POLL_INTERVAL;
use crate::response_end::ResponseEnd;
use crate::server_body::ServerBody;

/// Size of the pieces in which a body is kept, each of which is freed once the caller has taken it, in
/// bytes.
const PIECE_BYTES: usize = 32 << 10;

/// Why a body wasn't read to its end.
pub enum CollectError {
    /// Its connection failed.
    Broken(ResponseEnd),
    /// It is larger than all buffers, or it names no length and such bodies take too much memory together.
    TooLarge,
}

/// Collects the bytes of a response's body, which count as buffered. While too many bytes are buffered it
/// isn't begun, so that its server waits; one that is begun is read to its end. One without a length
/// may have no end, and is given up if those take too much.
pub async fn collect(
    cx: &Rc<Context>,
    caller: &AcceptedConnection,
    in_flight: &InFlight,
    body: &mut ServerBody,
) -> Result<VecDeque<HeldBytes>, CollectError> {
    let named = body.named_len();
    let len = named.unwrap_or(0);
    if caller.is_too_large(len) {
        return Err(CollectError::TooLarge);
    }
    if !caller.has_response_room(len) {
        body.hold_back(cx);
        let _held_back = in_flight.hold_back();
        while !caller.has_response_room(len) {
            sleep(ROOM_POLL_INTERVAL).await;
        }
    }
    let mut hold = caller.hold_response(len);
    let mut pieces = Vec::new();
    while let Some(bytes) = body.next().await.map_err(CollectError::Broken)? {
        if named.is_none() && !hold.try_grow_unbounded(bytes.len() as u64) {
            return Err(CollectError::TooLarge);
        }
        append(&mut pieces, &bytes, named);
    }
    let pieces = pieces.into_iter().map(|piece| {
        let hold = hold.split(piece.len() as u64);
        HeldBytes::new(piece.freeze(), hold)
    });
    Ok(pieces.collect())
}

/// Appends bytes to pieces of at most [`PIECE_BYTES`].
fn append(pieces: &mut Vec<BytesMut>, mut bytes: &[u8], named: Option<u64>) {
    while !bytes.is_empty() {
        let is_full = pieces.last().is_none_or(|piece| piece.len() == PIECE_BYTES);
        if is_full {
            let len = named.map_or(bytes.len(), |len| len as usize);
            pieces.push(BytesMut::with_capacity(len.min(PIECE_BYTES)));
        }
        let Some(piece) = pieces.last_mut() else {
            return;
        };
        let len = bytes.len().min(PIECE_BYTES - piece.len());
        piece.extend_from_slice(&bytes[..len]);
        bytes = &bytes[len..];
    }
}
