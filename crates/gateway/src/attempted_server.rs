//! The backend server of an attempt.

use std::sync::Arc;

use policy::Time;
use relay::Build;
use relay::Fleet;
use relay::ServerKey;
use relay::StreamBuild;

use crate::clock::now;

/// Backend server of an attempt. It is known from the start, as the server's registration may be
/// gone when the attempt ends.
#[derive(Clone, Debug)]
pub struct AttemptedServer {
    /// Its id, which a later incarnation may have too.
    pub id: Arc<str>,
    /// Its instance hash.
    pub instance_hash: u64,
    /// Version of its software.
    pub build: Build,
    /// When the attempt began.
    pub sent_at: Time,
}

impl AttemptedServer {
    /// Returns the backend server of an attempt that begins now; none if it is not registered.
    pub fn new(fleet: &Fleet, key: ServerKey) -> Option<AttemptedServer> {
        let server = fleet.get(key)?;
        Some(AttemptedServer {
            id: Arc::clone(&server.registration.id),
            instance_hash: server.instance_hash,
            build: server.build,
            sent_at: now(),
        })
    }

    /// Returns where a stream may go on of which the attempt has brought events. If the server has
    /// started again under its id with another build, either incarnation may have sent them.
    pub fn stream_build(&self, fleet: &Fleet) -> StreamBuild {
        let present = fleet.by_id(&self.id).and_then(|key| fleet.get(key));
        match present {
            Some(present) if present.build != self.build => StreamBuild::Unknown,
            _ => StreamBuild::Only(self.build),
        }
    }
}
