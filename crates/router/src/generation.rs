//! The task of one generation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use backend::Engine;
use policy::BackendReport;
use policy::CallId;
use policy::Dispatch;
use policy::Event;
use policy::Failure;
use policy::Reason;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;
use uuid::Uuid;

use crate::CallCommand;
use crate::EngineAttempt;
use crate::EventIds;
use crate::GenerationItem;
use crate::GenerationSource;
use crate::Metrics;
use crate::NodeHandle;
use crate::Tasks;

/// The task of one generation: carries the node's attempts out, and relays
/// tokens to the caller's side without passing the node.
pub struct Generation {
    /// Call.
    pub call: CallId,
    /// What is generated.
    pub source: GenerationSource,
    /// Whether the caller can resume the stream after it went away.
    pub resumable: bool,
    /// Commands of the node.
    pub rx: UnboundedReceiver<CallCommand>,
    /// Way to the caller's side.
    pub tx: Sender<GenerationItem>,
    /// Way to the node.
    pub node: NodeHandle,
    /// Way to engines.
    pub engine: Arc<dyn Engine>,
    /// Maker of event ids.
    pub event_ids: Arc<EventIds>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Tasks of the router.
    pub tasks: Tasks,
}

/// Time for an engine to take the cancellation of a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

enum Next {
    Command(CallCommand),
    Attempt(Dispatch),
    Idle,
    Ended,
}

impl Generation {
    /// Runs until the caller has all tokens or a refusal, or has gone away.
    pub async fn run(mut self) {
        let mut next = Next::Idle;
        loop {
            next = match next {
                Next::Idle => self.wait().await,
                Next::Command(command) => self.obey(command).await,
                Next::Attempt(dispatch) => self.attempt(dispatch).await,
                Next::Ended => break,
            };
        }
        self.node.ended(self.call);
    }

    async fn wait(&mut self) -> Next {
        tokio::select! {
            command = self.rx.recv() => command.map_or(Next::Ended, Next::Command),
            () = self.tx.closed() => self.caller_gone(),
        }
    }

    async fn obey(&mut self, command: CallCommand) -> Next {
        match command {
            CallCommand::Dispatch(dispatch) => Next::Attempt(dispatch),
            CallCommand::Cancel(_) => Next::Idle,
            CallCommand::Answer { .. } => Next::Idle,
            CallCommand::Refuse(refusal) => {
                // The caller may have gone away in the meantime.
                let _ = self.tx.send(GenerationItem::Refused(refusal)).await;
                Next::Ended
            }
        }
    }

    async fn attempt(&mut self, dispatch: Dispatch) -> Next {
        let at = dispatch.at;
        let peer = dispatch.address;
        let stream = Uuid::from_u128(rand::random()).simple().to_string();
        let attempt = EngineAttempt {
            dispatch,
            stream: &stream,
            source: &mut self.source,
            tx: &self.tx,
            node: &self.node,
            engine: self.engine.as_ref(),
            event_ids: &self.event_ids,
            metrics: &self.metrics,
        };
        let result = tokio::select! {
            biased;
            command = self.rx.recv() => {
                if command.as_ref().is_some_and(|command| !self.hands_over(command)) {
                    self.cancel(peer, stream);
                }
                return command.map_or(Next::Ended, Next::Command);
            }
            () = self.tx.closed() => {
                if !self.may_be_resumed() {
                    self.cancel(peer, stream);
                }
                return self.caller_gone();
            }
            result = attempt.run() => result,
        };
        match result {
            Ok(output_tokens) => {
                let report = BackendReport::Finished { output_tokens };
                self.node.report(at.call, at.attempt, report);
                Next::Ended
            }
            Err(failure) => {
                let report = self.failed(failure);
                self.node.report(at.call, at.attempt, report);
                Next::Idle
            }
        }
    }

    /// Tells whether the caller can have the rest of the stream from any router.
    fn may_be_resumed(&self) -> bool {
        self.resumable && self.source.delivered() > 0
    }

    /// Tells whether a command leaves the stream to another router.
    fn hands_over(&self, command: &CallCommand) -> bool {
        let shutting_down = matches!(
            command,
            CallCommand::Refuse(refusal) if refusal.reason() == Reason::ShuttingDown
        );
        shutting_down && self.may_be_resumed()
    }

    /// Cancels a stream that nobody will resume; the engine would keep it for a while.
    fn cancel(&self, peer: SocketAddr, stream: String) {
        let engine = Arc::clone(&self.engine);
        self.tasks.spawn(async move {
            // An engine that can't be reached drops the stream by itself.
            let _ = timeout(CANCEL_TIMEOUT, engine.cancel(peer, &stream)).await;
        });
    }

    fn failed(&self, failure: Failure) -> BackendReport {
        BackendReport::Failed {
            failure,
            delivered: self.source.delivered(),
        }
    }

    fn caller_gone(&self) -> Next {
        self.node.event(Event::CallerGone(self.call));
        Next::Ended
    }
}
