//! HTTP client of the membership list.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use futures::FutureExt;

use crate::http_client::Access;
use crate::http_client::CallSpec;
use crate::http_client::HttpClient;
use crate::wire::path;
use crate::wire::EmptyResponse;
use crate::wire::MemberRecord;
use crate::wire::MembersRequest;
use crate::wire::MembersResponse;
use crate::Member;
use crate::Members;
use crate::MembershipList;
use crate::Result;

/// Calls the membership list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpMembershipList {
    client: HttpClient,
}

impl HttpMembershipList {
    /// Creates a client; connections are opened on demand.
    pub fn new(address: SocketAddr) -> HttpMembershipList {
        HttpMembershipList {
            client: HttpClient::new(address),
        }
    }
}

impl MembershipList for HttpMembershipList {
    fn members(&self, seen: u64, wait_ms: u64) -> BoxFuture<'_, Result<Members>> {
        let spec = CallSpec {
            name: "members",
            path: path::MEMBERS,
            access: Access::Read,
            wait_ms,
        };
        async move {
            let message = MembersRequest { seen, wait_ms };
            let response: MembersResponse = self.client.call(spec, message).await?;
            Ok(response.into())
        }
        .boxed()
    }

    fn announce(&self, member: Member) -> BoxFuture<'_, Result<()>> {
        let spec = CallSpec {
            name: "announce",
            path: path::ANNOUNCE,
            access: Access::Write,
            wait_ms: 0,
        };
        async move {
            let message = MemberRecord::from(member);
            let _: EmptyResponse = self.client.call(spec, message).await?;
            Ok(())
        }
        .boxed()
    }
}
