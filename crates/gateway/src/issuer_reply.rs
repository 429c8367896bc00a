//! Replies of the router that issues permits and places, and what the asking router does with them.

use std::net::SocketAddr;
use std::time::Duration;

use relay::BackendServer;
use relay::Permit;

use crate::context::Context;
use crate::peer_message::PeerMessage;
use crate::peer_message::PermitResponse;

/// Time in which the issuer must respond, several times that of a message to another region and
/// back.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which a router asks again if the issuer did not respond, or isn't the issuer, in
/// milliseconds.
const NO_RESPONSE_RETRY_MS: u64 = 250;

/// Denial of a router that may not issue, so that the other one asks again soon.
pub const CANNOT_ISSUE: Permit = Permit::Denied {
    retry_after_ms: NO_RESPONSE_RETRY_MS,
};

/// Reply of an issuer as the asking router logs, counts and obeys it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IssuerReply {
    /// Outcome: `granted`, `denied` or `no_response`.
    pub outcome: &'static str,
    /// Time until this router asks again; 0 if it was granted.
    pub retry_after_ms: u64,
}

impl From<Option<Permit>> for IssuerReply {
    fn from(permit: Option<Permit>) -> IssuerReply {
        let (outcome, retry_after_ms) = match permit {
            Some(Permit::Granted) => ("granted", 0),
            Some(Permit::Denied { retry_after_ms }) => ("denied", retry_after_ms),
            None => ("no_response", NO_RESPONSE_RETRY_MS),
        };
        IssuerReply {
            outcome,
            retry_after_ms,
        }
    }
}

/// Sends the reply to request `id` of the router at `to`: what `decide` returns if this router is the issuer,
/// else a denial.
pub async fn reply<F>(cx: &Context, to: SocketAddr, id: u64, issuer: u64, decide: F)
where
    F: FnOnce() -> Permit,
{
    let permit = if issuer == cx.peers.own_hash {
        decide()
    } else {
        CANNOT_ISSUE
    };
    let response = PermitResponse { id, permit };
    cx.send_to_peer(to, &PeerMessage::PermitResponse(response))
        .await;
}

/// Returns the hash of the region of a backend server, by which its issuer is chosen.
pub fn region_hash(cx: &Context, server: &BackendServer) -> u64 {
    let domain = &server.registration.domain;
    policy::name_hash(cx.settings.regions.get(domain).unwrap_or(domain))
}
