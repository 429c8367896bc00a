//! The membership list over HTTP.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use futures::FutureExt;

use crate::http_client::Effect;
use crate::http_client::HttpClient;
use crate::http_client::Step;
use crate::wire::path;
use crate::wire::EmptyResponse;
use crate::wire::MemberRecord;
use crate::wire::MembersRequest;
use crate::wire::MembersResponse;
use crate::Member;
use crate::Members;
use crate::MembershipList;
use crate::Result;

/// The membership list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpMembershipList {
    client: HttpClient,
}

impl HttpMembershipList {
    /// Creates an adapter that connects when first used.
    pub fn new(address: SocketAddr) -> HttpMembershipList {
        HttpMembershipList {
            client: HttpClient::new(address),
        }
    }
}

impl MembershipList for HttpMembershipList {
    fn members(&self, seen: u64, wait_ms: u64) -> BoxFuture<'_, Result<Members>> {
        let step = Step {
            name: "members",
            path: path::MEMBERS,
            effect: Effect::Read,
            wait_ms,
        };
        async move {
            let message = MembersRequest { seen, wait_ms };
            let answer: MembersResponse = self.client.call(step, message).await?;
            Ok(answer.into())
        }
        .boxed()
    }

    fn announce(&self, member: Member) -> BoxFuture<'_, Result<()>> {
        let step = Step {
            name: "announce",
            path: path::ANNOUNCE,
            effect: Effect::Write,
            wait_ms: 0,
        };
        async move {
            let message = MemberRecord::from(member);
            let _: EmptyResponse = self.client.call(step, message).await?;
            Ok(())
        }
        .boxed()
    }
}
