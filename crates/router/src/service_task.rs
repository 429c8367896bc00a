//! The task that runs one call to a plain service.

use std::sync::Arc;
use std::time::Duration;

use backend::PlainService;
use backend::ServiceRequest;
use backend::ServiceResponse;
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
use crate::request_hold::RequestHold;
use crate::CallCommand;
use crate::NodeHandle;

/// Time for which a call without a caller and without an attempt in flight waits for the node to
/// retry it.
const ABANDONED_TIMEOUT: Duration = Duration::from_secs(5);

/// How a call to a plain service ended.
#[derive(Clone, Debug)]
pub enum ServiceOutcome {
    /// The service responded.
    Response {
        /// Response of the service.
        response: StoredResponse,
        /// Whether the call ran earlier and this is its stored response.
        replayed: bool,
    },
    /// The node refused the call.
    Refused(Refusal),
}

/// The task that runs one call to a plain service.
///
/// An attempt in flight continues after the caller disconnects or is refused because its
/// deadline passed, until the node cancels it, because the response of a non-idempotent call
/// still has to be recorded.
pub struct ServiceTask {
    /// Id of the call.
    pub call: CallId,
    /// Request to send to the service.
    pub req: ServiceRequest,
    /// Commands from the node.
    pub rx: UnboundedReceiver<CallCommand>,
    /// Sends the outcome to the caller's response; `None` once it is sent or the caller has
    /// disconnected.
    pub tx: Option<oneshot::Sender<ServiceOutcome>>,
    /// Handle of the node's actor.
    pub node: NodeHandle,
    /// Client of the plain services.
    pub service: Arc<dyn PlainService>,
    /// Memory of the request and its response.
    pub hold: Arc<RequestHold>,
}

/// An attempt that waits for its response. Dropping it closes the connection.
struct InFlight {
    at: Attempt,
    response: BoxFuture<'static, backend::Result<ServiceResponse>>,
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
            // The caller may have disconnected in the meantime.
            let _ = tx.send(outcome);
        }
    }

    fn start(&self, dispatch: &Dispatch) -> InFlight {
        let service = Arc::clone(&self.service);
        let peer = dispatch.address;
        let req = self.req.clone();
        let hold = Arc::clone(&self.hold);
        InFlight {
            at: dispatch.at,
            response: Box::pin(async move { service.call(peer, req, hold).await }),
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
) -> (Attempt, backend::Result<ServiceResponse>) {
    match in_flight {
        Some(in_flight) => (in_flight.at, (&mut in_flight.response).await),
        None => pending().await,
    }
}

fn to_report(result: backend::Result<ServiceResponse>) -> BackendReport {
    match result {
        Ok(response) => BackendReport::Responded(StoredResponse {
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
