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
use crate::EventIdCodec;
use crate::GenerationItem;
use crate::GenerationSource;
use crate::Metrics;
use crate::NodeHandle;
use crate::Tasks;

/// The task of one generation: carries the node's attempts out, and relays
/// tokens to the caller's side without passing the node.
pub struct GenerationTask {
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
    pub event_ids: Arc<EventIdCodec>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Tasks of the router.
    pub tasks: Tasks,
}

/// Time for an engine to take the cancellation of a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

enum Step {
    Command(CallCommand),
    Attempt(Dispatch),
    Idle,
    Ended,
}

impl GenerationTask {
    /// Runs until the caller has all tokens or a refusal, or has gone away.
    pub async fn run(mut self) {
        let mut next = Step::Idle;
        loop {
            next = match next {
                Step::Idle => self.wait().await,
                Step::Command(command) => self.handle_command(command).await,
                Step::Attempt(dispatch) => self.attempt(dispatch).await,
                Step::Ended => break,
            };
        }
        self.node.call_ended(self.call);
    }

    async fn wait(&mut self) -> Step {
        tokio::select! {
            command = self.rx.recv() => command.map_or(Step::Ended, Step::Command),
            () = self.tx.closed() => self.on_caller_gone(),
        }
    }

    async fn handle_command(&mut self, command: CallCommand) -> Step {
        match command {
            CallCommand::Dispatch(dispatch) => Step::Attempt(dispatch),
            CallCommand::Cancel(_) => Step::Idle,
            CallCommand::Respond { .. } => Step::Idle,
            CallCommand::Refuse(refusal) => {
                // The caller may have gone away in the meantime.
                let _ = self.tx.send(GenerationItem::Refused(refusal)).await;
                Step::Ended
            }
        }
    }

    async fn attempt(&mut self, dispatch: Dispatch) -> Step {
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
                if command.as_ref().is_some_and(|command| !self.leaves_stream_resumable(command)) {
                    self.cancel(peer, stream);
                }
                return command.map_or(Step::Ended, Step::Command);
            }
            () = self.tx.closed() => {
                if !self.can_be_resumed() {
                    self.cancel(peer, stream);
                }
                return self.on_caller_gone();
            }
            result = attempt.run() => result,
        };
        match result {
            Ok(output_tokens) => {
                let report = BackendReport::Finished { output_tokens };
                self.node.report(at.call, at.attempt, report);
                Step::Ended
            }
            Err(failure) => {
                let report = self.failure_report(failure);
                self.node.report(at.call, at.attempt, report);
                Step::Idle
            }
        }
    }

    /// Tells whether the caller can have the rest of the stream from any router.
    fn can_be_resumed(&self) -> bool {
        self.resumable && self.source.delivered() > 0
    }

    /// Tells whether a command leaves the stream to another router.
    fn leaves_stream_resumable(&self, command: &CallCommand) -> bool {
        let shutting_down = matches!(
            command,
            CallCommand::Refuse(refusal) if refusal.reason() == Reason::ShuttingDown
        );
        shutting_down && self.can_be_resumed()
    }

    /// Cancels a stream that nobody will resume; the engine would keep it for a while.
    fn cancel(&self, peer: SocketAddr, stream: String) {
        let engine = Arc::clone(&self.engine);
        self.tasks.spawn(async move {
            // An engine that can't be reached drops the stream by itself.
            let _ = timeout(CANCEL_TIMEOUT, engine.cancel(peer, &stream)).await;
        });
    }

    fn failure_report(&self, failure: Failure) -> BackendReport {
        BackendReport::Failed {
            failure,
            delivered: self.source.delivered(),
        }
    }

    fn on_caller_gone(&self) -> Step {
        self.node.send_event(Event::CallerGone(self.call));
        Step::Ended
    }
}
