//! The live routers, from the membership list and the status records that routers publish.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use platform::Member;
use platform::Role;
use platform::RouterStatus;
use platform::ROUTER_STATUS_PREFIX;
use serde::Serialize;
use snafu::ResultExt;

use crate::error::PlatformSnafu;
use crate::ConfigStore;
use crate::Result;

/// A router that isn't shutting down, so that it may receive requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LiveRouter {
    /// Name of the router's VM.
    pub vm: String,
    /// Version of the configuration that it has applied; `None` if it has no status record.
    pub version: Option<u64>,
}

impl fmt::Display for LiveRouter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.version {
            Some(version) => write!(f, "{} (version {version})", self.vm),
            None => write!(f, "{} (no record)", self.vm),
        }
    }
}

/// Reads the membership list of the platform.
pub(crate) async fn read_members(store: &ConfigStore) -> Result<Vec<Member>> {
    let step = "read the membership list";
    let members = store.client().members().await;
    Ok(members.context(PlatformSnafu { step })?.members)
}

/// Reads the status records that routers publish.
pub(crate) async fn read_statuses(store: &ConfigStore) -> Result<Vec<RouterStatus>> {
    let step = "list the routers' records";
    store.list_records(step, ROUTER_STATUS_PREFIX).await
}

/// Returns the routers that aren't leaving, sorted by name.
///
/// The membership list lags behind, so a router with a status record is included
/// even if the list doesn't contain it yet.
pub(crate) fn live_routers(members: &[Member], statuses: &[RouterStatus]) -> Vec<LiveRouter> {
    let listed = members.iter().filter(|member| member.role == Role::Router);
    let mut live: BTreeMap<&str, Option<u64>> = listed
        .clone()
        .map(|member| (member.name.as_str(), None))
        .collect();
    live.extend(
        statuses
            .iter()
            .map(|status| (status.vm.as_str(), Some(status.version))),
    );
    let leaving: BTreeSet<&str> = listed
        .filter(|member| member.leaving)
        .map(|member| member.name.as_str())
        .chain(
            statuses
                .iter()
                .filter(|status| status.leaving)
                .map(|status| status.vm.as_str()),
        )
        .collect();
    live.into_iter()
        .filter(|(vm, _)| !leaving.contains(vm))
        .map(|(vm, version)| LiveRouter {
            vm: vm.to_owned(),
            version,
        })
        .collect()
}
