//! Simulated model engine.

use std::collections::BTreeMap;

use crate::soak::request::StreamLocation;
use crate::soak::scheduled_event::Conn;

/// Maximum number of streams that an engine computes in one step.
const BATCH_SIZE: usize = 8;

/// Number of steps for which a stream without a connection is kept for a resume.
const MAX_DETACHED_STEPS: u32 = 500;

/// A generated token that is sent to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    /// Request that the token belongs to.
    pub(crate) request: u64,
    /// Position in the complete output, from 0.
    pub(crate) position: u32,
    /// Whether this is the last token of the output.
    pub(crate) last: bool,
    /// Stream that the token comes from, for a later resume.
    pub(crate) location: StreamLocation,
}

/// A stream that an engine computes, queues or keeps for a resume.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) request: u64,
    /// Connection that receives the tokens, `None` once it is broken or all were sent.
    pub(crate) conn: Option<Conn>,
    /// Position of the next token.
    next: u32,
    /// Length of the complete output, in tokens.
    tokens: u32,
    /// Whether the request crashes the engine.
    crashes: bool,
    /// Number of steps since the connection was lost.
    detached_steps: u32,
}

/// Result of one step of an engine.
#[derive(Debug, Default)]
pub(crate) struct Step {
    /// Computed tokens, each with the connection that receives it.
    pub(crate) tokens: Vec<(Conn, Token)>,
    /// Request that crashes the engine in this step, with its connection.
    pub(crate) crash: Option<(u64, Conn)>,
}

/// State of a simulated model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) index: usize,
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    /// Time since when this incarnation is shutting down; `None` if it isn't.
    pub(crate) leaving_since: Option<policy::Time>,
    /// Whether an [`EngineStep`] event of this incarnation is queued.
    ///
    /// [`EngineStep`]: crate::soak::scheduled_event::ScheduledEvent::EngineStep
    pub(crate) step_scheduled: bool,
    /// Id of the next stream.
    next_stream: u64,
    /// Streams by id; steps take them in this order.
    streams: BTreeMap<u64, Stream>,
}

impl Engine {
    /// Creates a running engine without streams.
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

    /// Starts a new incarnation without streams.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.up = true;
        self.leaving_since = None;
        self.step_scheduled = false;
        self.streams.clear();
    }

    /// Marks the engine as down; returns the streams that it lost.
    pub(crate) fn crash(&mut self) -> Vec<Stream> {
        self.up = false;
        std::mem::take(&mut self.streams).into_values().collect()
    }

    /// Starts a stream whose first token has position `after`: the caller has the earlier ones.
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

    /// Continues a stream from position `after` over a new connection, with `overlap` from
    /// one token earlier. Returns whether the engine still has the stream.
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

    /// Drops the stream that is sent over a connection.
    pub(crate) fn cancel(&mut self, conn: Conn) {
        self.streams.retain(|_, stream| stream.conn != Some(conn));
    }

    /// Detaches the stream of a broken connection; it is kept for a resume.
    pub(crate) fn detach(&mut self, conn: Conn) {
        for stream in self.streams.values_mut() {
            if stream.conn == Some(conn) {
                stream.conn = None;
            }
        }
    }

    /// Detaches the streams of all connections from a router whose process ended.
    pub(crate) fn detach_router(&mut self, router: usize) {
        for stream in self.streams.values_mut() {
            if stream.conn.is_some_and(|conn| conn.from.router == router) {
                stream.conn = None;
            }
        }
    }

    /// Returns the number of streams, including detached ones.
    pub(crate) fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns the first request of the next batch that crashes the engine.
    fn crashing_request(&self) -> Option<(u64, Conn)> {
        let streams = self.streams.values();
        let connected = streams.filter_map(|s| s.conn.map(|conn| (s, conn)));
        let mut batch = connected.take(BATCH_SIZE);
        let (stream, conn) = batch.find(|(s, _)| s.crashes)?;
        Some((stream.request, conn))
    }

    /// Computes one token of each stream of the batch, unless a request crashes the engine.
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
