//! The task of one call of a plain service.

use std::sync::Arc;

use backend::PlainService;
use backend::ServiceAnswer;
use backend::ServiceRequest;
use futures::future::pending;
use futures::future::BoxFuture;
use policy::Attempt;
use policy::BackendReport;
use policy::CallId;
use policy::Dispatch;
use policy::Event;
use policy::Refusal;
use policy::StoredAnswer;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use crate::failure;
use crate::CallCommand;
use crate::NodeHandle;

/// How a call of a plain service ended.
#[derive(Clone, Debug)]
pub enum ServiceOutcome {
    /// With this answer.
    Answer {
        /// Answer.
        answer: StoredAnswer,
        /// Whether the call ran earlier.
        repeat: bool,
    },
    /// With a refusal.
    Refused(Refusal),
}

/// The task of one call of a plain service.
///
/// It goes on when the caller goes away, until the node ends it: the answer of
/// a non-idempotent call is still to be recorded.
pub struct ServiceTask {
    /// Call.
    pub call: CallId,
    /// What is sent.
    pub req: ServiceRequest,
    /// Commands of the node.
    pub rx: UnboundedReceiver<CallCommand>,
    /// Way to the caller's side.
    pub tx: oneshot::Sender<ServiceOutcome>,
    /// Way to the node.
    pub node: NodeHandle,
    /// Way to services.
    pub service: Arc<dyn PlainService>,
}

/// An attempt that waits for its answer; dropping it cuts the connection.
struct Running {
    at: Attempt,
    answer: BoxFuture<'static, backend::Result<ServiceAnswer>>,
}

impl ServiceTask {
    /// Runs until the node has ended the call.
    pub async fn run(mut self) {
        let mut running = None;
        let mut caller_gone = false;
        let outcome = loop {
            tokio::select! {
                biased;
                command = self.rx.recv() => match command {
                    Some(CallCommand::Dispatch(dispatch)) => running = Some(self.start(&dispatch)),
                    Some(CallCommand::Cancel(at)) => running = running.filter(|r| r.at != at),
                    Some(CallCommand::Answer { answer, repeat }) => {
                        break Some(ServiceOutcome::Answer { answer, repeat });
                    }
                    Some(CallCommand::Refuse(refusal)) => {
                        break Some(ServiceOutcome::Refused(refusal));
                    }
                    None => break None,
                },
                (at, result) = answer(&mut running) => {
                    running = None;
                    self.node.report(at.call, at.attempt, report(result));
                }
                () = self.tx.closed(), if !caller_gone => {
                    caller_gone = true;
                    self.node.event(Event::CallerGone(self.call));
                }
            }
        };
        if let Some(outcome) = outcome {
            // The caller may have gone away in the meantime.
            let _ = self.tx.send(outcome);
        }
        self.node.ended(self.call);
    }

    fn start(&self, dispatch: &Dispatch) -> Running {
        let service = Arc::clone(&self.service);
        let peer = dispatch.address;
        let req = self.req.clone();
        Running {
            at: dispatch.at,
            answer: Box::pin(async move { service.call(peer, req).await }),
        }
    }
}

async fn answer(running: &mut Option<Running>) -> (Attempt, backend::Result<ServiceAnswer>) {
    match running {
        Some(running) => (running.at, (&mut running.answer).await),
        None => pending().await,
    }
}

fn report(result: backend::Result<ServiceAnswer>) -> BackendReport {
    match result {
        Ok(answer) => BackendReport::Answered(StoredAnswer {
            status: answer.status,
            content_type: answer.content_type,
            body: Arc::new(answer.body.into()),
        }),
        Err(e) => BackendReport::Failed {
            failure: failure::of_backend(&e),
            delivered: 0,
        },
    }
}
