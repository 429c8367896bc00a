//! In-memory model engines, identified by their addresses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use backend::CacheEvents;
use backend::Chunk;
use backend::Engine;
use backend::Error;
use backend::GenerateRequest;
use backend::Generation;
use backend::Load;
use backend::Order;
use backend::OrderResponse;
use backend::Result;
use backend::Started;
use futures::future::BoxFuture;
use futures::stream;
use futures::FutureExt;
use futures::StreamExt;
use tokio::sync::watch;

/// In-memory model engines. The token at position `n` is always `t<n> `.
pub struct FakeEngines {
    state: Arc<watch::Sender<State>>,
    requests: Mutex<Vec<GenerateRequest>>,
}

#[derive(Default)]
struct State {
    engines: HashMap<SocketAddr, FakeEngine>,
    streams: HashMap<String, GenerateRequest>,
    open: usize,
    cancelled: usize,
    /// Position of the first token that streams hold back.
    released: u32,
}

#[derive(Clone, Copy, Default)]
struct FakeEngine {
    dies_after: Option<u32>,
    dead: bool,
}

/// Guard that counts a stream as open until it is dropped.
struct OpenStream(Arc<watch::Sender<State>>);

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.send_modify(|state| state.open -= 1);
    }
}

impl FakeEngines {
    pub fn new() -> FakeEngines {
        let state = State {
            released: u32::MAX,
            ..State::default()
        };
        FakeEngines {
            state: Arc::new(watch::channel(state).0),
            requests: Mutex::default(),
        }
    }

    /// Makes the engine that runs the next stream break it after `tokens` tokens.
    pub fn next_dies_after(&self, tokens: u32) {
        self.state.send_modify(|state| {
            for engine in state.engines.values_mut() {
                engine.dies_after = Some(tokens);
            }
        });
    }

    /// Makes streams wait before the token at position `tokens`.
    pub fn hold_after(&self, tokens: u32) {
        self.state.send_modify(|state| state.released = tokens);
    }

    /// Lets waiting streams continue to their end.
    pub fn release(&self) {
        self.hold_after(u32::MAX);
    }

    /// Makes all engines fail: their streams break, and they refuse connections.
    pub fn kill_all(&self) {
        self.state.send_modify(|state| {
            for engine in state.engines.values_mut() {
                engine.dead = true;
            }
        });
    }

    pub fn add_engine(&self, address: SocketAddr) {
        self.state.send_modify(|state| {
            state.engines.insert(address, FakeEngine::default());
        });
    }

    pub fn requests(&self) -> Vec<GenerateRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Waits until exactly `count` streams are open.
    pub async fn wait_for_open(&self, count: usize) {
        let mut state = self.state.subscribe();
        state.wait_for(|state| state.open == count).await.unwrap();
    }

    /// Waits until exactly `count` streams have been cancelled.
    pub async fn wait_for_cancelled(&self, count: usize) {
        let mut state = self.state.subscribe();
        state
            .wait_for(|state| state.cancelled == count)
            .await
            .unwrap();
    }

    fn check(&self, peer: SocketAddr) -> Result<()> {
        let state = self.state.borrow();
        match state.engines.get(&peer) {
            Some(engine) if !engine.dead => Ok(()),
            _ => Err(Error::NotConnected {
                step: "connect",
                peer: peer.to_string(),
                reason: "dead".to_owned(),
            }),
        }
    }

    fn take_scheduled_death(&self, peer: SocketAddr) -> Option<u32> {
        let mut dies_at = None;
        self.state.send_modify(|state| {
            dies_at = state
                .engines
                .get(&peer)
                .and_then(|engine| engine.dies_after);
            for engine in state.engines.values_mut() {
                engine.dies_after = None;
            }
        });
        dies_at
    }

    fn stream(&self, peer: SocketAddr, from: u32, end: u32) -> Generation {
        let dies_at = self.take_scheduled_death(peer).map(|tokens| from + tokens);
        self.state.send_modify(|state| state.open += 1);
        let open = OpenStream(Arc::clone(&self.state));
        let chunks = stream::unfold((from, open), move |(position, open)| async move {
            if position >= end {
                return None;
            }
            let mut state = open.0.subscribe();
            let dead = |state: &State| state.engines[&peer].dead;
            let _ = state
                .wait_for(|state| position < state.released || dead(state))
                .await;
            let broken = dies_at == Some(position) || dead(&state.borrow());
            let chunk = match broken {
                true => Err(Error::Broken {
                    step: "chunk",
                    peer: peer.to_string(),
                    reason: "died".to_owned(),
                }),
                false => Ok(Chunk {
                    position,
                    text: format!("t{position} "),
                    last: position + 1 == end,
                }),
            };
            drop(state);
            Some((chunk, (position + 1, open)))
        });
        Generation {
            started: Started {
                incarnation: 1,
                prompt_tokens: 10,
                cached_tokens: 4,
            },
            chunks: chunks.boxed(),
        }
    }
}

impl Engine for FakeEngines {
    fn generate(
        &self,
        peer: SocketAddr,
        req: GenerateRequest,
    ) -> BoxFuture<'_, Result<Generation>> {
        async move {
            self.check(peer)?;
            self.requests.lock().unwrap().push(req.clone());
            let from = u32::try_from(req.delivered.len()).unwrap();
            let end = req.max_tokens;
            self.state.send_modify(|state| {
                state.streams.insert(req.stream.clone(), req);
            });
            Ok(self.stream(peer, from, end))
        }
        .boxed()
    }

    fn resume(
        &self,
        peer: SocketAddr,
        stream: &str,
        _: u64,
        position: u32,
    ) -> BoxFuture<'_, Result<Generation>> {
        let req = self.state.borrow().streams.get(stream).cloned();
        async move {
            self.check(peer)?;
            let end = req.expect("the stream was begun").max_tokens;
            Ok(self.stream(peer, position, end))
        }
        .boxed()
    }

    fn cancel(&self, _: SocketAddr, _: &str) -> BoxFuture<'_, Result<()>> {
        self.state.send_modify(|state| state.cancelled += 1);
        async { Ok(()) }.boxed()
    }

    fn load(&self, peer: SocketAddr) -> BoxFuture<'_, Result<Load>> {
        let load = self.check(peer).map(|()| Load {
            incarnation: 1,
            ..Load::default()
        });
        async { load }.boxed()
    }

    fn cache_events(
        &self,
        _: SocketAddr,
        _: u64,
        _: u64,
        _: u64,
    ) -> BoxFuture<'_, Result<CacheEvents>> {
        futures::future::pending().boxed()
    }

    fn order(&self, _: SocketAddr, _: Order) -> BoxFuture<'_, Result<OrderResponse>> {
        futures::future::ready(Ok(OrderResponse::Taken)).boxed()
    }
}
