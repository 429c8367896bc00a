//! Polls the membership list and announces this VM on it.

use std::sync::Arc;
use std::time::Duration;

use platform::Member;
use platform::Members;
use platform::MembershipList;
use platform::Role;
use policy::Event;
use policy::Incarnation;
use policy::MemberRole;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::jitter;
use crate::NodeHandle;
use crate::RouterState;

/// Time for which the platform holds a request for the list without a change, in milliseconds.
const LONG_POLL_MS: u64 = 10_000;

/// Timeout of a request for the list; longer than the time for which the platform holds it.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum time between two announcements of an unchanged state. The list drops a VM that stops
/// announcing itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(12);

/// Mean time between two attempts while the list is unreachable, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 1_000;

/// Polls the membership list for the node and announces this VM on it.
pub struct MembershipTask {
    /// Client of the membership list.
    pub membership: Arc<dyn MembershipList>,
    /// Handle of the node's actor.
    pub node: NodeHandle,
    /// State of the router, for whether it is leaving.
    pub state: watch::Receiver<RouterState>,
    /// Entry of this VM on the list, as it was last announced.
    pub member: Member,
}

impl MembershipTask {
    /// Runs until the router's tasks are aborted.
    pub async fn run(mut self) {
        let membership = Arc::clone(&self.membership);
        let mut seen = 0;
        let mut announced_at = self.announce().await;
        loop {
            tokio::select! {
                members = fetch_members(membership.as_ref(), seen) => match members {
                    Some(members) => {
                        seen = members.version;
                        self.send_members(members);
                        if announced_at.elapsed() >= ANNOUNCE_INTERVAL {
                            announced_at = self.announce().await;
                        }
                    }
                    None => sleep(jitter::around(RETRY_INTERVAL_MS)).await,
                },
                () = self.leaving_changed() => announced_at = self.announce().await,
            }
        }
    }

    /// Waits until the router's `leaving` state differs from the announced one.
    async fn leaving_changed(&mut self) {
        let announced = self.member.leaving;
        let changed = self
            .state
            .wait_for(|state| state.leaving != announced)
            .await
            .is_ok();
        if !changed {
            std::future::pending().await
        }
    }

    /// Announces this VM and returns the time of the announcement, whether it succeeded or not.
    async fn announce(&mut self) -> Instant {
        self.member.leaving = self.state.borrow().leaving;
        let announcement = self.membership.announce(self.member.clone());
        match timeout(ANNOUNCE_TIMEOUT, announcement).await {
            Ok(Ok(())) => log::info!("event=announced leaving={}", self.member.leaving),
            Ok(Err(e)) => log::warn!("event=not_announced reason={:?}", e.to_string()),
            Err(_) => log::warn!("event=not_announced reason=timeout"),
        }
        Instant::now()
    }

    /// Sends the list to the node.
    fn send_members(&self, members: Members) {
        let members = members.members.into_iter().map(to_policy_member).collect();
        self.node.send_event(Event::Members(members));
    }
}

async fn fetch_members(membership: &dyn MembershipList, seen: u64) -> Option<Members> {
    match timeout(LONG_POLL_TIMEOUT, membership.members(seen, LONG_POLL_MS)).await {
        Ok(Ok(members)) => Some(members),
        Ok(Err(e)) => {
            log::warn!("event=members_not_read reason={:?}", e.to_string());
            None
        }
        Err(_) => None,
    }
}

fn to_policy_member(member: Member) -> policy::Member {
    policy::Member {
        name: member.name,
        role: match member.role {
            Role::Router => MemberRole::Router,
            Role::BackendServer => MemberRole::BackendServer,
        },
        address: member.address,
        region: member.region,
        failure_domain: member.failure_domain,
        incarnation: Incarnation(member.incarnation),
        leaving: member.leaving,
    }
}
