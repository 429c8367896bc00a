//! Responds to requests to explain where a completion would go.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::HeaderValue;
use http::Method;
use http::Response;

use crate::body::full_body;
use crate::clock;
use crate::completion::work_and_source;
use crate::fingerprint;
use crate::handler::require_method;
use crate::handler::ReadRequest;
use crate::handler::RequestBody;
use crate::CallHeaders;
use crate::CompletionApi;
use crate::CompletionRequest;
use crate::Handler;
use crate::Problem;
use crate::Rejection;
use crate::ResponseBody;

const JSON: HeaderValue = HeaderValue::from_static("application/json");

impl Handler {
    /// Responds with the placement that the node would choose for a completion. Nothing is sent
    /// to a backend server.
    pub(crate) async fn explain(
        &self,
        api: CompletionApi,
        head: Parts,
        body: RequestBody<'_>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        require_method(&head, Method::POST, "POST")?;
        let headers = CallHeaders::parse(&head.headers)?;
        let ReadRequest { body, hold: _hold } = self.read_body(body).await?;
        let req = CompletionRequest::parse(api, &body)?;
        let (work, _) = work_and_source(req, None);
        let req = headers.into_call(self.next_call_id(), fingerprint::of(&head, &body), work);
        match self.node.explain(req).await {
            Some(Ok(explanation)) => {
                let json =
                    serde_json::to_vec(&explanation).expect("an explanation serializes to JSON");
                let mut res = Response::new(full_body(Bytes::from(json)));
                res.headers_mut().insert(CONTENT_TYPE, JSON);
                Ok(res)
            }
            Some(Err(refusal)) => Ok(Problem::from_refusal(&refusal, clock::now()).response()),
            None => Ok(Problem::interrupted().response()),
        }
    }
}
