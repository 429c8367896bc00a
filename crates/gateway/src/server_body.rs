//! Body of a backend server's response, read with the connection that it comes over.

use std::rc::Rc;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use policy::Time;
use relay::ServerKey;

use crate::clock::now;
use crate::connection_pool::PooledConnection;
use crate::context::Context;
use crate::health_check;
use crate::path_watch::PathWatch;
use crate::path_watch::WatchedPath;
use crate::path_watch_task;
use crate::response_end::ResponseEnd;

/// What marks the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// A length, the last chunk, or the lack of a body.
    Marked,
    /// The end of the connection. Killed servers and cut paths end it the same way.
    Connection,
}

/// Body of a backend server's response.
pub struct ServerBody {
    body: Incoming,
    framing: Framing,
    server: ServerKey,
    /// When its head was received.
    begun_at: Time,
    /// Watch of the path since the router first stopped reading a body that ends with its connection.
    path_watch: Option<Rc<PathWatch>>,
    /// Connection to the backend server; dropping it cancels the request there.
    pub connection: PooledConnection,
}

impl ServerBody {
    /// Returns the body of a response with this head, of which nothing has been read.
    pub fn new(
        head: &response::Parts,
        body: Incoming,
        server: ServerKey,
        connection: PooledConnection,
    ) -> ServerBody {
        let has_length = head.headers.contains_key(CONTENT_LENGTH);
        let is_chunked = head.headers.contains_key(TRANSFER_ENCODING);
        let framing = if has_length || is_chunked || body.is_end_stream() {
            Framing::Marked
        } else {
            Framing::Connection
        };
        ServerBody {
            body,
            framing,
            server,
            begun_at: now(),
            path_watch: None,
            connection,
        }
    }

    /// Returns its length in bytes, if the response names one.
    pub fn named_len(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the next bytes, none once there are no more. Only [`ServerBody::end`] says whether
    /// the body is whole then.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ResponseEnd> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|e| self.connection.response_end(&e))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }

    /// Prepares for a time in which it isn't read: its end may come meanwhile and be noticed later.
    pub fn hold_back(&mut self, cx: &Rc<Context>) {
        if self.framing == Framing::Marked {
            return;
        }
        let path = WatchedPath {
            server: self.server,
            path: self.connection.path(),
        };
        self.path_watch
            .get_or_insert_with(|| path_watch_task::begin(cx, path));
    }

    /// Returns how the body ended that has no more bytes. One that ended with its connection is whole
    /// if the backend server still runs, which is checked until `deadline`.
    pub async fn end(&self, cx: &Context, deadline: Time) -> ResponseEnd {
        // The http library ends a body without an error if the connection is dropped.
        if self.connection.is_dropped() {
            return ResponseEnd::Unknown("connection was dropped".to_owned());
        }
        if self.framing == Framing::Marked {
            return ResponseEnd::Whole;
        }
        let checked = health_check::run(cx, self.server, self.connection.path(), deadline).await;
        // In a pause the connection may have ended, or the check failed, and the way to the server been
        // opened again.
        if cx.pause_watch.was_paused(self.begun_at, now()) {
            return ResponseEnd::Unknown("router was paused".to_owned());
        }
        let was_cut = self.path_watch.as_ref().is_some_and(|path| path.was_cut());
        match checked {
            Ok(()) if was_cut => {
                ResponseEnd::Unknown("path was cut while the response wasn't read".to_owned())
            }
            Ok(()) => ResponseEnd::Whole,
            Err(e) => ResponseEnd::Unknown(e.to_string()),
        }
    }
}
