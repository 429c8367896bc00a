//! In-memory plain service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use backend::Error;
use backend::PlainService;
use backend::ResponseMemory;
use backend::Result;
use backend::ServiceRequest;
use backend::ServiceResponse;
use futures::future::BoxFuture;
use futures::FutureExt;
use tokio::sync::watch;

/// In-memory plain service. It records its calls and numbers its responses from 1.
pub struct FakeService {
    calls: Mutex<Vec<ServiceRequest>>,
    held: watch::Sender<bool>,
    broken: Mutex<bool>,
}

impl FakeService {
    pub fn new() -> FakeService {
        FakeService {
            calls: Mutex::default(),
            held: watch::channel(false).0,
            broken: Mutex::default(),
        }
    }

    /// Sets whether responses are held back.
    pub fn set_held(&self, held: bool) {
        self.held.send_replace(held);
    }

    /// Makes the next call run and then fail with a broken connection.
    pub fn break_next(&self) {
        *self.broken.lock().unwrap() = true;
    }

    pub fn calls(&self) -> Vec<ServiceRequest> {
        self.calls.lock().unwrap().clone()
    }
}

impl PlainService for FakeService {
    fn call(
        &self,
        peer: SocketAddr,
        req: ServiceRequest,
        _: Arc<dyn ResponseMemory>,
    ) -> BoxFuture<'_, Result<ServiceResponse>> {
        async move {
            let number = {
                let mut calls = self.calls.lock().unwrap();
                calls.push(req);
                calls.len()
            };
            if std::mem::take(&mut *self.broken.lock().unwrap()) {
                return Err(Error::Broken {
                    step: "call",
                    peer: peer.to_string(),
                    reason: "died".to_owned(),
                });
            }
            let mut held = self.held.subscribe();
            held.wait_for(|held| !held).await.unwrap();
            Ok(ServiceResponse {
                status: 201,
                content_type: Some("text/plain".to_owned()),
                body: format!("answer {number}").into(),
            })
        }
        .boxed()
    }
}
