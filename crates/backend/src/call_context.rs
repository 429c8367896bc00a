//! Constructors of errors that name the call and the server.

use std::net::SocketAddr;

use crate::Error;

/// Names a call and its server in errors.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallContext {
    /// Name of the call, e.g. `generate`.
    pub step: &'static str,
    /// Address of the backend server.
    pub peer: SocketAddr,
}

impl CallContext {
    /// Returns the error for a request of which no byte was sent.
    pub(crate) fn not_connected<R>(self, reason: R) -> Error
    where
        R: ToString,
    {
        Error::NotConnected {
            step: self.step,
            peer: self.peer.to_string(),
            reason: reason.to_string(),
        }
    }

    /// Returns the error for a request of which bytes may have been sent.
    pub(crate) fn broken<R>(self, reason: R) -> Error
    where
        R: ToString,
    {
        Error::Broken {
            step: self.step,
            peer: self.peer.to_string(),
            reason: reason.to_string(),
        }
    }

    /// Returns the error for a request that the backend server refused without running it.
    pub(crate) fn refused(self, status: u16, reason: &str) -> Error {
        Error::Refused {
            step: self.step,
            peer: self.peer.to_string(),
            status,
            reason: reason.to_owned(),
        }
    }
}
