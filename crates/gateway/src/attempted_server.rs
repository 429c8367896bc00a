//! The backend server of an attempt.

use policy::Time;
use relay::ServerKey;

use crate::clock::now;
use crate::context::Context;

/// Backend server of an attempt. It is known from the start, as the server's registration may be
/// gone when the attempt ends.
#[derive(Clone, Copy, Debug)]
pub struct AttemptedServer {
    /// Its instance hash.
    pub instance_hash: u64,
    /// When the attempt began.
    pub sent_at: Time,
}

impl AttemptedServer {
    /// Returns the backend server of an attempt that begins now; none if it is not registered.
    pub fn new(cx: &Context, key: ServerKey) -> Option<AttemptedServer> {
        let view = cx.view.borrow();
        let server = view.fleet.get(key)?;
        Some(AttemptedServer {
            instance_hash: server.instance_hash,
            sent_at: now(),
        })
    }
}
