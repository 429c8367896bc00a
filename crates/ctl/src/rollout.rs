//! Waits until every live router has applied a version.

use std::fmt;
use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::fleet;
use crate::fleet::LiveRouter;
use crate::ConfigStore;
use crate::ExitCode;
use crate::Result;

/// Time between two polls of the routers' state.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Callback that prints a progress message.
pub type Progress = dyn Fn(&str) + Send + Sync;

/// Which live routers have applied a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Rollout {
    /// Live routers that have applied this version or a later one.
    pub in_force: Vec<LiveRouter>,
    /// Live routers that haven't applied it yet.
    pub lagging: Vec<LiveRouter>,
    /// Why the routers' state can't be read; `None` if it was read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unseen: Option<String>,
}

impl Rollout {
    /// Returns whether the version is in force on every live router.
    pub fn is_complete(&self) -> bool {
        self.lagging.is_empty() && self.unseen.is_none()
    }

    /// Returns the exit code of a command whose change was accepted: `Lagging` until the rollout
    /// is complete.
    pub fn exit_code(&self) -> ExitCode {
        match self.is_complete() {
            true => ExitCode::Ok,
            false => ExitCode::Lagging,
        }
    }
}

impl fmt::Display for Rollout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(reason) = &self.unseen {
            return write!(f, "the state of the routers can't be read: {reason}");
        }
        let live = self.in_force.len() + self.lagging.len();
        match live {
            0 => return write!(f, "no live router"),
            _ => write!(
                f,
                "in force on {} of {live} live routers",
                self.in_force.len()
            )?,
        }
        if self.lagging.is_empty() {
            return Ok(());
        }
        let lagging: Vec<String> = self.lagging.iter().map(LiveRouter::to_string).collect();
        write!(f, "; lagging: {}", lagging.join(", "))
    }
}

/// Waits until `version` is in force on every live router, or until the deadline.
///
/// Reports each change of the rollout to `progress` and returns its last state.
pub(crate) async fn wait(
    store: &ConfigStore,
    version: u64,
    deadline: Instant,
    progress: &Progress,
) -> Rollout {
    let store = ConfigStore::new(store.client().with_deadline(deadline));
    let mut last_reported = None;
    loop {
        let rollout = poll(&store, version).await.unwrap_or_else(|e| Rollout {
            unseen: Some(e.to_string()),
            ..Rollout::default()
        });
        if rollout.is_complete() || Instant::now() + POLL_INTERVAL > deadline {
            return rollout;
        }
        if last_reported.as_ref() != Some(&rollout) {
            progress(&format!("version {version}: {rollout}"));
            last_reported = Some(rollout);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads the routers' present state; routers without a status record count as lagging.
async fn poll(store: &ConfigStore, version: u64) -> Result<Rollout> {
    let members = fleet::read_members(store).await?;
    let statuses = fleet::read_statuses(store).await?;
    let live = fleet::live_routers(&members, &statuses);
    let (in_force, lagging) = live
        .into_iter()
        .partition(|router| router.version.is_some_and(|applied| applied >= version));
    Ok(Rollout {
        in_force,
        lagging,
        unseen: None,
    })
}
