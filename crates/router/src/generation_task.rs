//! The task that runs one generation.

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

use crate::request_hold::RequestHold;
use crate::CallCommand;
use crate::EngineAttempt;
use crate::EventIdCodec;
use crate::GenerationItem;
use crate::GenerationSource;
use crate::Metrics;
use crate::NodeHandle;
use crate::Tasks;

/// The task that runs one generation: executes the attempts that the node dispatches, and
/// relays their tokens to the caller's response without passing them through the node.
pub struct GenerationTask {
    /// Id of the call.
    pub call: CallId,
    /// What to generate, and what the caller already has of it.
    pub source: GenerationSource,
    /// Whether the response is streamed, so that the caller can resume it after a disconnect.
    pub resumable: bool,
    /// Commands from the node.
    pub rx: UnboundedReceiver<CallCommand>,
    /// Sends tokens to the caller's response.
    pub tx: Sender<GenerationItem>,
    /// Handle of the node's actor.
    pub node: NodeHandle,
    /// Client of the engines.
    pub engine: Arc<dyn Engine>,
    /// Encodes event ids.
    pub event_ids: Arc<EventIdCodec>,
    /// Metrics of the router.
    pub metrics: Arc<Metrics>,
    /// Tasks of the router, for cancellations that outlive this task.
    pub tasks: Tasks,
    /// Memory of the request and its response.
    pub hold: Arc<RequestHold>,
}

/// Timeout of the request that cancels a stream on an engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// What the task does next.
enum Step {
    Command(CallCommand),
    Attempt(Dispatch),
    Idle,
    Ended,
}

impl GenerationTask {
    /// Runs until all tokens or a refusal have been sent to the caller's response, the caller has
    /// disconnected, or the node's actor has stopped.
    pub async fn run(mut self) {
        let mut next = Step::Idle;
        loop {
            next = match next {
                Step::Idle => self.wait_for_command().await,
                Step::Command(command) => self.handle_command(command).await,
                Step::Attempt(dispatch) => self.run_attempt(dispatch).await,
                Step::Ended => break,
            };
        }
        self.node.call_ended(self.call);
    }

    async fn wait_for_command(&mut self) -> Step {
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
                // The caller may have disconnected in the meantime.
                let _ = self.tx.send(GenerationItem::Refused(refusal)).await;
                Step::Ended
            }
        }
    }

    async fn run_attempt(&mut self, dispatch: Dispatch) -> Step {
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
            hold: &self.hold,
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

    /// Returns whether the caller can fetch the rest of the stream through any router, because it
    /// has received an event id to resume from.
    fn can_be_resumed(&self) -> bool {
        self.resumable && self.source.delivered() > 0
    }

    /// Returns whether `command` is a refusal for a shutdown after which the caller can resume
    /// the stream through another router, so that the engine must keep it.
    fn leaves_stream_resumable(&self, command: &CallCommand) -> bool {
        let shutting_down = matches!(
            command,
            CallCommand::Refuse(refusal) if refusal.reason() == Reason::ShuttingDown
        );
        shutting_down && self.can_be_resumed()
    }

    /// Cancels a stream that will not be resumed. Without this the engine would keep it for a
    /// while.
    fn cancel(&self, peer: SocketAddr, stream: String) {
        let engine = Arc::clone(&self.engine);
        self.tasks.spawn(async move {
            // An unreachable engine drops the stream by itself.
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
