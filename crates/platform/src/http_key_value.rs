//! HTTP client of the key-value service.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::FutureExt;

use crate::http_client::Access;
use crate::http_client::CallSpec;
use crate::http_client::HttpClient;
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

/// Calls the key-value service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpKeyValue {
    client: HttpClient,
}

impl HttpKeyValue {
    /// Creates a client; connections are opened on demand.
    pub fn new(address: SocketAddr) -> HttpKeyValue {
        HttpKeyValue {
            client: HttpClient::new(address),
        }
    }

    fn decode<H, V>(&self, spec: CallSpec, held: H) -> Result<V>
    where
        V: TryFrom<H, Error = String>,
    {
        V::try_from(held).map_err(|reason| self.client.invalid_response(spec, reason))
    }

    fn decode_entry(&self, spec: CallSpec, entry: Entry) -> Result<(String, Versioned)> {
        Ok((entry.key, self.decode(spec, entry.held)?))
    }
}

impl KeyValue for HttpKeyValue {
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Versioned>>> {
        let spec = read_call("get", path::GET);
        let message = GetRequest {
            key: key.to_owned(),
        };
        async move {
            let response: GetResponse = self.client.call(spec, message).await?;
            response
                .held
                .map(|held| self.decode(spec, held))
                .transpose()
        }
        .boxed()
    }

    fn list(&self, prefix: &str) -> BoxFuture<'_, Result<Vec<(String, Versioned)>>> {
        let spec = read_call("list", path::LIST);
        let message = ListRequest {
            prefix: prefix.to_owned(),
        };
        async move {
            let response: ListResponse = self.client.call(spec, message).await?;
            response
                .entries
                .into_iter()
                .map(|entry| self.decode_entry(spec, entry))
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
        let spec = write_call("compare_and_swap", path::COMPARE_AND_SWAP);
        let message = CompareAndSwapRequest {
            key: key.to_owned(),
            expected,
            value: Value::from(value.as_ref()),
            lease: lease.map(|lease| lease.0),
        };
        async move {
            let response: SwapResponse = self.client.call(spec, message).await?;
            self.decode(spec, response)
        }
        .boxed()
    }

    fn delete(&self, key: &str, expected: Version) -> BoxFuture<'_, Result<SwapOutcome>> {
        let spec = write_call("delete", path::DELETE);
        let message = DeleteRequest {
            key: key.to_owned(),
            expected,
        };
        async move {
            let response: SwapResponse = self.client.call(spec, message).await?;
            self.decode(spec, response)
        }
        .boxed()
    }

    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, Result<LeaseId>> {
        let spec = write_call("grant", path::GRANT);
        async move {
            let response: GrantResponse = self.client.call(spec, GrantRequest { ttl_ms }).await?;
            Ok(LeaseId(response.lease))
        }
        .boxed()
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool>> {
        let spec = write_call("renew", path::RENEW);
        let message = RenewRequest { lease: lease.0 };
        async move {
            let response: RenewResponse = self.client.call(spec, message).await?;
            Ok(response.renewed)
        }
        .boxed()
    }

    fn watch(&self, key: &str, seen: Version, wait_ms: u64) -> BoxFuture<'_, Result<Change>> {
        let spec = CallSpec {
            wait_ms,
            ..read_call("watch", path::WATCH)
        };
        let message = WatchRequest {
            key: key.to_owned(),
            seen,
            wait_ms,
        };
        async move {
            let response: WatchResponse = self.client.call(spec, message).await?;
            self.decode(spec, response)
        }
        .boxed()
    }
}

fn read_call(name: &'static str, path: &'static str) -> CallSpec {
    CallSpec {
        name,
        path,
        access: Access::Read,
        wait_ms: 0,
    }
}

fn write_call(name: &'static str, path: &'static str) -> CallSpec {
    CallSpec {
        name,
        path,
        access: Access::Write,
        wait_ms: 0,
    }
}
