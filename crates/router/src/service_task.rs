//! The task of one call of a plain service.

use std::sync::Arc;
use std::time::Duration;

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
use policy::StoredResponse;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::failure;
use crate::CallCommand;
use crate::NodeHandle;

/// Time for which a call without a caller waits for the node to try it again.
const LINGER: Duration = Duration::from_secs(5);

/// How a call of a plain service ended.
#[derive(Clone, Debug)]
pub enum ServiceOutcome {
    /// With this answer.
    Answer {
        /// Answer.
        answer: StoredResponse,
        /// Whether the call ran earlier.
        replayed: bool,
    },
    /// With a refusal.
    Refused(Refusal),
}

/// The task of one call of a plain service.
///
/// An attempt that is in flight goes on when the caller goes away or is
/// refused for its deadline, until the node cancels it: the answer of a
/// non-idempotent call is still to be recorded.
pub struct ServiceTask {
    /// Call.
    pub call: CallId,
    /// What is sent.
    pub req: ServiceRequest,
    /// Commands of the node.
    pub rx: UnboundedReceiver<CallCommand>,
    /// Way to the caller's side, until it has its answer.
    pub tx: Option<oneshot::Sender<ServiceOutcome>>,
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
    /// Runs until the call has ended.
    pub async fn run(mut self) {
        let mut running = None;
        loop {
            let abandoned = self.tx.is_none() && running.is_none();
            tokio::select! {
                biased;
                command = self.rx.recv() => match command {
                    Some(CallCommand::Dispatch(dispatch)) => running = Some(self.start(&dispatch)),
                    Some(CallCommand::Cancel(at)) => running = running.filter(|r| r.at != at),
                    Some(CallCommand::Answer { answer, replayed }) => {
                        self.end(ServiceOutcome::Answer { answer, replayed });
                        break;
                    }
                    Some(CallCommand::Refuse(refusal)) => {
                        self.end(ServiceOutcome::Refused(refusal));
                        if running.is_none() {
                            break;
                        }
                    }
                    None => break,
                },
                (at, result) = answer(&mut running) => {
                    running = None;
                    self.node.report(at.call, at.attempt, report(result));
                }
                () = gone(&mut self.tx) => {
                    self.tx = None;
                    self.node.event(Event::CallerGone(self.call));
                }
                () = sleep(LINGER), if abandoned => break,
            }
        }
        self.node.ended(self.call);
    }

    fn end(&mut self, outcome: ServiceOutcome) {
        if let Some(tx) = self.tx.take() {
            // The caller may have gone away in the meantime.
            let _ = tx.send(outcome);
        }
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

async fn gone(tx: &mut Option<oneshot::Sender<ServiceOutcome>>) {
    match tx {
        Some(tx) => tx.closed().await,
        None => pending().await,
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
        Ok(answer) => BackendReport::Responded(StoredResponse {
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
