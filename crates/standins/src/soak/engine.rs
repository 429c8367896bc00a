//! Logic of a stand-in model engine.

use std::collections::BTreeMap;

use crate::soak::request::StreamLocation;
use crate::soak::scheduled_event::Conn;

/// Streams that an engine computes at once.
const BATCH_SIZE: usize = 8;

/// Steps for which a stream without a router is kept.
const MAX_DETACHED_STEPS: u32 = 500;

/// A token on its way to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    /// Request that it answers.
    pub(crate) request: u64,
    pub(crate) position: u32,
    pub(crate) last: bool,
    pub(crate) location: StreamLocation,
}

/// A stream that an engine computes or keeps.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) request: u64,
    pub(crate) conn: Option<Conn>,
    next: u32,
    tokens: u32,
    crashes: bool,
    detached_steps: u32,
}

/// What an engine does in one step.
#[derive(Debug, Default)]
pub(crate) struct Step {
    /// Tokens to send, each over its connection.
    pub(crate) tokens: Vec<(Conn, Token)>,
    /// Whether the engine crashes, and by which request.
    pub(crate) crash: Option<(u64, Conn)>,
}

/// A stand-in model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) index: usize,
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    /// Whether it is leaving, by its incarnation, and since when.
    pub(crate) leaving_since: Option<policy::Time>,
    pub(crate) step_scheduled: bool,
    next_stream: u64,
    streams: BTreeMap<u64, Stream>,
}

impl Engine {
    /// Starts an engine.
    pub(crate) fn new(index: usize) -> Engine {
        Engine {
            index,
            incarnation: 1,
            up: true,
            leaving_since: None,
            step_scheduled: false,
            next_stream: 1,
            streams: BTreeMap::new(),
        }
    }

    /// Comes back empty.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.up = true;
        self.leaving_since = None;
        self.step_scheduled = false;
        self.streams.clear();
    }

    /// Dies; returns the streams it had.
    pub(crate) fn crash(&mut self) -> Vec<Stream> {
        self.up = false;
        std::mem::take(&mut self.streams).into_values().collect()
    }

    /// Starts a stream after the tokens that the caller has.
    pub(crate) fn start(
        &mut self,
        conn: Conn,
        request: u64,
        after: u32,
        tokens: u32,
        crashes: bool,
    ) {
        let stream = Stream {
            request,
            conn: Some(conn),
            next: after,
            tokens,
            crashes,
            detached_steps: 0,
        };
        self.streams.insert(self.next_stream, stream);
        self.next_stream += 1;
    }

    /// Goes on with a kept stream over a new connection; `overlap` repeats the
    /// token before. Tells whether the stream is still there.
    pub(crate) fn resume(&mut self, conn: Conn, stream: u64, after: u32, overlap: bool) -> bool {
        let Some(stream) = self.streams.get_mut(&stream) else {
            return false;
        };
        stream.conn = Some(conn);
        stream.next = if overlap {
            after.saturating_sub(1)
        } else {
            after
        };
        stream.detached_steps = 0;
        true
    }

    /// Drops the stream of an attempt.
    pub(crate) fn cancel(&mut self, conn: Conn) {
        self.streams.retain(|_, stream| stream.conn != Some(conn));
    }

    /// Keeps the stream of a broken connection for a resume.
    pub(crate) fn detach(&mut self, conn: Conn) {
        for stream in self.streams.values_mut() {
            if stream.conn == Some(conn) {
                stream.conn = None;
            }
        }
    }

    /// Keeps the streams of a router that died.
    pub(crate) fn detach_router(&mut self, router: usize) {
        for stream in self.streams.values_mut() {
            if stream.conn.is_some_and(|conn| conn.from.router == router) {
                stream.conn = None;
            }
        }
    }

    /// Returns the streams that wait or are computed.
    pub(crate) fn len(&self) -> usize {
        self.streams.len()
    }

    fn crashing_request(&self) -> Option<(u64, Conn)> {
        let streams = self.streams.values();
        let connected = streams.filter_map(|s| s.conn.map(|conn| (s, conn)));
        let mut batch = connected.take(BATCH_SIZE);
        let (stream, conn) = batch.find(|(s, _)| s.crashes)?;
        Some((stream.request, conn))
    }

    /// Computes one token of each stream of the batch.
    pub(crate) fn step(&mut self) -> Step {
        let mut step = Step::default();
        let mut ended = Vec::new();
        let mut computed = 0;
        step.crash = self.crashing_request();
        if step.crash.is_some() {
            return step;
        }
        for (id, stream) in &mut self.streams {
            let Some(conn) = stream.conn else {
                stream.detached_steps += 1;
                if stream.detached_steps > MAX_DETACHED_STEPS {
                    ended.push(*id);
                }
                continue;
            };
            if computed == BATCH_SIZE {
                continue;
            }
            computed += 1;
            let token = Token {
                request: stream.request,
                position: stream.next,
                last: stream.next + 1 >= stream.tokens,
                location: StreamLocation {
                    engine: self.index,
                    incarnation: self.incarnation,
                    stream: *id,
                },
            };
            step.tokens.push((conn, token));
            stream.next += 1;
            if token.last {
                stream.conn = None;
            }
        }
        for id in ended {
            self.streams.remove(&id);
        }
        step
    }
}
