//! Estimated sizes of control messages on the wire.

use policy::PeerMessage;

/// Size of the headers of a message, in bytes.
const HEADER_BYTES: u64 = 24;

/// Size of a load report, in bytes.
pub const LOAD_REPORT_BYTES: u64 = 20;

/// Size of one cache event, in bytes.
pub const CACHE_EVENT_BYTES: u64 = 9;

/// Size of a server's name with its incarnation, in bytes.
const SERVER_INSTANCE_BYTES: u64 = 20;

/// Size of the load of one cell, in bytes.
const CELL_LOAD_BYTES: u64 = 16;

/// Returns the estimated size of a message between routers, in bytes.
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
