//! Estimated sizes of control messages on the wire.

use policy::PeerMessage;

/// Bytes of headers that a message has besides its fields.
const HEADER_BYTES: u64 = 24;

/// Bytes of a load report.
pub const LOAD_REPORT_BYTES: u64 = 20;

/// Bytes of one cache event.
pub const CACHE_EVENT_BYTES: u64 = 9;

/// Bytes of a server's name with its incarnation.
const SERVER_INSTANCE_BYTES: u64 = 20;

/// Bytes of the load of a cell.
const CELL_LOAD_BYTES: u64 = 16;

/// Returns the size of a message between routers.
pub fn message_bytes(message: &PeerMessage) -> u64 {
    let fields = match message {
        PeerMessage::Config { config, .. } => {
            serde_json::to_vec(config).map_or(0, |v| v.len()) as u64
        }
        PeerMessage::Version(_) => 8,
        PeerMessage::Leaving(instances) => instances.len() as u64 * SERVER_INSTANCE_BYTES,
        PeerMessage::Strikes(strikes) => strikes.len() as u64 * (SERVER_INSTANCE_BYTES + 16),
        PeerMessage::CellLoad(cells) => cells.len() as u64 * CELL_LOAD_BYTES,
        PeerMessage::Place(place) => {
            48 + 8 * place.pieces.len() as u64
                + (place.workspace.len() + place.model.len()) as u64
                + SERVER_INSTANCE_BYTES * place.avoid.len() as u64
        }
        PeerMessage::Placed(_) => 16 + 2 * SERVER_INSTANCE_BYTES,
        _ => 0,
    };
    HEADER_BYTES + fields
}
