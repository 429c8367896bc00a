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
use policy::StoredAnswer;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::failure;
use crate::CallCommand;
use crate::NodeHandle;

/// Time for which a call without a caller waits for the node to try it again.
const ABANDONED_TIMEOUT: Duration = Duration::from_secs(5);

/// How a call of a plain service ended.
#[derive(Clone, Debug)]
pub enum ServiceOutcome {
    /// With this answer.
    Response {
        /// Answer.
        response: StoredAnswer,
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
struct InFlight {
    at: Attempt,
    response: BoxFuture<'static, backend::Result<ServiceAnswer>>,
}

impl ServiceTask {
    /// Runs until the call has ended.
    pub async fn run(mut self) {
        let mut in_flight = None;
        loop {
            let abandoned = self.tx.is_none() && in_flight.is_none();
            tokio::select! {
                biased;
                command = self.rx.recv() => match command {
                    Some(CallCommand::Dispatch(dispatch)) => in_flight = Some(self.start(&dispatch)),
                    Some(CallCommand::Cancel(at)) => in_flight = in_flight.filter(|r| r.at != at),
                    Some(CallCommand::Respond { response, replayed }) => {
                        self.respond(ServiceOutcome::Response { response, replayed });
                        break;
                    }
                    Some(CallCommand::Refuse(refusal)) => {
                        self.respond(ServiceOutcome::Refused(refusal));
                        if in_flight.is_none() {
                            break;
                        }
                    }
                    None => break,
                },
                (at, result) = next_response(&mut in_flight) => {
                    in_flight = None;
                    self.node.report(at.call, at.attempt, to_report(result));
                }
                () = caller_gone(&mut self.tx) => {
                    self.tx = None;
                    self.node.send_event(Event::CallerGone(self.call));
                }
                () = sleep(ABANDONED_TIMEOUT), if abandoned => break,
            }
        }
        self.node.call_ended(self.call);
    }

    fn respond(&mut self, outcome: ServiceOutcome) {
        if let Some(tx) = self.tx.take() {
            // The caller may have gone away in the meantime.
            let _ = tx.send(outcome);
        }
    }

    fn start(&self, dispatch: &Dispatch) -> InFlight {
        let service = Arc::clone(&self.service);
        let peer = dispatch.address;
        let req = self.req.clone();
        InFlight {
            at: dispatch.at,
            response: Box::pin(async move { service.call(peer, req).await }),
        }
    }
}

async fn caller_gone(tx: &mut Option<oneshot::Sender<ServiceOutcome>>) {
    match tx {
        Some(tx) => tx.closed().await,
        None => pending().await,
    }
}

async fn next_response(
    in_flight: &mut Option<InFlight>,
) -> (Attempt, backend::Result<ServiceAnswer>) {
    match in_flight {
        Some(in_flight) => (in_flight.at, (&mut in_flight.response).await),
        None => pending().await,
    }
}

fn to_report(result: backend::Result<ServiceAnswer>) -> BackendReport {
    match result {
        Ok(response) => BackendReport::Answered(StoredAnswer {
            status: response.status,
            content_type: response.content_type,
            body: Arc::new(response.body.into()),
        }),
        Err(e) => BackendReport::Failed {
            failure: failure::from_backend_error(&e),
            delivered: 0,
        },
    }
}
