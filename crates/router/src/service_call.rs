//! Responds to calls to plain services.

use std::sync::Arc;

use backend::ServiceRequest;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use policy::CallRequest;
use policy::ServiceCall;
use policy::StoredResponse;
use policy::Work;
use tokio::sync::oneshot;

use crate::body::full_body;
use crate::clock;
use crate::fingerprint;
use crate::handler::ReadRequest;
use crate::handler::RequestBody;
use crate::request_hold::RequestHold;
use crate::CallHeaders;
use crate::Handler;
use crate::Problem;
use crate::Rejection;
use crate::ResponseBody;
use crate::ServiceOutcome;
use crate::ServicePath;
use crate::ServiceTask;

const IDEMPOTENT_REPLAYED: &str = "idempotent-replayed";
const TRUE: HeaderValue = HeaderValue::from_static("true");

impl Handler {
    /// Responds to a call to a plain service.
    pub(crate) async fn call_service(
        &self,
        head: Parts,
        body: RequestBody<'_>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let path = ServicePath::parse(&head.uri)?;
        let headers = CallHeaders::parse(&head.headers)?;
        let content_type = content_type(&head)?;
        let ReadRequest { body, hold } = self.read_body(body).await?;
        self.metrics.on_call("service");
        let key = headers.idempotency_key.clone();
        let work = Work::Service(ServiceCall {
            service: path.service,
            method: head.method.as_str().to_owned(),
            path: path.path,
            key: key.clone(),
        });
        let req = headers.into_call(self.next_call_id(), fingerprint::of(&head, &body), work);
        let service_req = ServiceRequest {
            method: head.method.as_str().to_owned(),
            path: path.target,
            content_type,
            key,
            body,
        };
        match self.run_service(req, service_req, hold).await {
            Ok(ServiceOutcome::Response { response, replayed }) => Ok(respond(&response, replayed)),
            Ok(ServiceOutcome::Refused(refusal)) => {
                Ok(Problem::from_refusal(&refusal, clock::now()).response())
            }
            Err(_) => Ok(Problem::interrupted().response()),
        }
    }

    fn run_service(
        &self,
        req: CallRequest,
        service_req: ServiceRequest,
        hold: Arc<RequestHold>,
    ) -> oneshot::Receiver<ServiceOutcome> {
        let (tx, rx) = oneshot::channel();
        let task = ServiceTask {
            call: req.call,
            req: service_req,
            rx: self.node.submit(req),
            tx: Some(tx),
            node: self.node.clone(),
            service: Arc::clone(&self.external_services.service),
            hold,
        };
        self.tasks.spawn(task.run());
        rx
    }
}

fn content_type(head: &Parts) -> Result<Option<String>, Rejection> {
    let Some(value) = head.headers.get(CONTENT_TYPE) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.to_owned())),
        Err(_) => Err(Rejection::BadHeader {
            name: "content-type",
            expected: "expected visible ASCII",
        }),
    }
}

fn respond(response: &StoredResponse, replayed: bool) -> Response<ResponseBody> {
    let body = Bytes::copy_from_slice(&response.body);
    let mut res = Response::new(full_body(body));
    *res.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(Ok(value)) = response.content_type.as_deref().map(HeaderValue::from_str) {
        res.headers_mut().insert(CONTENT_TYPE, value);
    }
    if replayed {
        res.headers_mut().insert(IDEMPOTENT_REPLAYED, TRUE);
    }
    res
}
