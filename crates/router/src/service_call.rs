//! Answers calls of plain services.

use std::sync::Arc;

use backend::ServiceRequest;
use bytes::Bytes;
use gateway::whole;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use policy::CallRequest;
use policy::ServiceCall;
use policy::StoredResponse;
use policy::Work;
use tokio::sync::oneshot;

use crate::clock;
use crate::fingerprint;
use crate::AnswerBody;
use crate::CallHeaders;
use crate::Handler;
use crate::Problem;
use crate::Rejection;
use crate::ServiceOutcome;
use crate::ServicePath;
use crate::ServiceTask;

const REPEAT: &str = "idempotent-replayed";
const TRUE: HeaderValue = HeaderValue::from_static("true");

impl Handler {
    /// Answers a call of a plain service.
    pub(crate) async fn call_service(
        &self,
        head: Parts,
        body: Incoming,
    ) -> Result<Response<AnswerBody>, Rejection> {
        let path = ServicePath::parse(&head.uri)?;
        let headers = CallHeaders::parse(&head.headers)?;
        let content_type = content_type(&head)?;
        let body = self.read_body(body).await?;
        self.metrics.on_call("service");
        let key = headers.key.clone();
        let work = Work::Service(ServiceCall {
            service: path.service,
            method: head.method.as_str().to_owned(),
            path: path.path,
            key: key.clone(),
        });
        let req = headers.into_call(self.next_call(), fingerprint::of(&head, &body), work);
        let sent = ServiceRequest {
            method: head.method.as_str().to_owned(),
            path: path.target,
            content_type,
            key,
            body,
        };
        match self.run_service(req, sent).await {
            Ok(ServiceOutcome::Answer { answer, replayed }) => Ok(respond(&answer, replayed)),
            Ok(ServiceOutcome::Refused(refusal)) => {
                Ok(Problem::of_refusal(&refusal, clock::now()).response())
            }
            Err(_) => Ok(Problem::interrupted().response()),
        }
    }

    fn run_service(
        &self,
        req: CallRequest,
        sent: ServiceRequest,
    ) -> oneshot::Receiver<ServiceOutcome> {
        let (tx, rx) = oneshot::channel();
        let task = ServiceTask {
            call: req.call,
            req: sent,
            rx: self.node.call(req),
            tx: Some(tx),
            node: self.node.clone(),
            service: Arc::clone(&self.outside.service),
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

fn respond(answer: &StoredResponse, replayed: bool) -> Response<AnswerBody> {
    let body = Bytes::copy_from_slice(&answer.body);
    let mut res = Response::new(whole(body));
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(Ok(value)) = answer.content_type.as_deref().map(HeaderValue::from_str) {
        res.headers_mut().insert(CONTENT_TYPE, value);
    }
    if replayed {
        res.headers_mut().insert(REPEAT, TRUE);
    }
    res
}
