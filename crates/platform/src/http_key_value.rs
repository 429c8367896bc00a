//! The key-value service over HTTP.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::FutureExt;

use crate::http_client::Effect;
use crate::http_client::HttpClient;
use crate::http_client::Step;
use crate::wire::path;
use crate::wire::CompareAndSwapRequest;
use crate::wire::DeleteRequest;
use crate::wire::Entry;
use crate::wire::GetRequest;
use crate::wire::GetResponse;
use crate::wire::GrantRequest;
use crate::wire::GrantResponse;
use crate::wire::ListRequest;
use crate::wire::ListResponse;
use crate::wire::RenewRequest;
use crate::wire::RenewResponse;
use crate::wire::SwapResponse;
use crate::wire::Value;
use crate::wire::WatchRequest;
use crate::wire::WatchResponse;
use crate::Change;
use crate::KeyValue;
use crate::LeaseId;
use crate::Result;
use crate::SwapOutcome;
use crate::Version;
use crate::Versioned;

/// The key-value service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpKeyValue {
    client: HttpClient,
}

impl HttpKeyValue {
    /// Creates an adapter that connects when first used.
    pub fn new(address: SocketAddr) -> HttpKeyValue {
        HttpKeyValue {
            client: HttpClient::new(address),
        }
    }

    fn versioned<H, V>(&self, step: Step, held: H) -> Result<V>
    where
        V: TryFrom<H, Error = String>,
    {
        V::try_from(held).map_err(|reason| self.client.bad_answer(step, reason))
    }

    fn entry(&self, step: Step, entry: Entry) -> Result<(String, Versioned)> {
        Ok((entry.key, self.versioned(step, entry.held)?))
    }
}

impl KeyValue for HttpKeyValue {
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Versioned>>> {
        let step = read("get", path::GET);
        let message = GetRequest {
            key: key.to_owned(),
        };
        async move {
            let answer: GetResponse = self.client.call(step, message).await?;
            answer
                .held
                .map(|held| self.versioned(step, held))
                .transpose()
        }
        .boxed()
    }

    fn list(&self, prefix: &str) -> BoxFuture<'_, Result<Vec<(String, Versioned)>>> {
        let step = read("list", path::LIST);
        let message = ListRequest {
            prefix: prefix.to_owned(),
        };
        async move {
            let answer: ListResponse = self.client.call(step, message).await?;
            answer
                .entries
                .into_iter()
                .map(|entry| self.entry(step, entry))
                .collect()
        }
        .boxed()
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'_, Result<SwapOutcome>> {
        let step = write("compare_and_swap", path::COMPARE_AND_SWAP);
        let message = CompareAndSwapRequest {
            key: key.to_owned(),
            expected,
            value: Value::from(value.as_ref()),
            lease: lease.map(|lease| lease.0),
        };
        async move {
            let answer: SwapResponse = self.client.call(step, message).await?;
            self.versioned(step, answer)
        }
        .boxed()
    }

    fn delete(&self, key: &str, expected: Version) -> BoxFuture<'_, Result<SwapOutcome>> {
        let step = write("delete", path::DELETE);
        let message = DeleteRequest {
            key: key.to_owned(),
            expected,
        };
        async move {
            let answer: SwapResponse = self.client.call(step, message).await?;
            self.versioned(step, answer)
        }
        .boxed()
    }

    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, Result<LeaseId>> {
        let step = write("grant", path::GRANT);
        async move {
            let answer: GrantResponse = self.client.call(step, GrantRequest { ttl_ms }).await?;
            Ok(LeaseId(answer.lease))
        }
        .boxed()
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool>> {
        let step = write("renew", path::RENEW);
        let message = RenewRequest { lease: lease.0 };
        async move {
            let answer: RenewResponse = self.client.call(step, message).await?;
            Ok(answer.renewed)
        }
        .boxed()
    }

    fn watch(&self, key: &str, seen: Version, wait_ms: u64) -> BoxFuture<'_, Result<Change>> {
        let step = Step {
            wait_ms,
            ..read("watch", path::WATCH)
        };
        let message = WatchRequest {
            key: key.to_owned(),
            seen,
            wait_ms,
        };
        async move {
            let answer: WatchResponse = self.client.call(step, message).await?;
            self.versioned(step, answer)
        }
        .boxed()
    }
}

fn read(name: &'static str, path: &'static str) -> Step {
    Step {
        name,
        path,
        effect: Effect::Read,
        wait_ms: 0,
    }
}

fn write(name: &'static str, path: &'static str) -> Step {
    Step {
        name,
        path,
        effect: Effect::Write,
        wait_ms: 0,
    }
}
