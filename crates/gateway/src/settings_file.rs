//! Watches and reloads the settings file while the process runs.

use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use tokio::time::sleep;

use crate::context::Context;
use crate::log_event::LogEvent;
use crate::process_event::ProcessEvent;
use crate::settings::Settings;

/// Interval at which the file's modification time is checked.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The settings file and its modification time when last read.
pub struct SettingsFile {
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl SettingsFile {
    /// Starts with the file's present modification time.
    pub fn new(path: PathBuf) -> SettingsFile {
        let mut file = SettingsFile {
            path,
            modified: None,
        };
        file.modified = file.modified_at();
        file
    }

    /// Completes once the file has changed.
    pub async fn changed(&mut self) {
        loop {
            sleep(POLL_INTERVAL).await;
            let modified = self.modified_at();
            if modified.is_some() && modified != self.modified {
                self.modified = modified;
                return;
            }
        }
    }

    /// Reloads the file. Only a change of the seeds takes effect; others need a restart.
    pub fn reload(&mut self, cx: &Context, cause: &str) {
        self.modified = self.modified_at();
        let settings = match Settings::read(&self.path) {
            Ok(settings) => settings,
            Err(e) => {
                let reason = &e;
                ProcessEvent::ReloadRejected { cause, reason }.write();
                return;
            }
        };
        let seeds_changed = *cx.seeds.borrow() != settings.seeds;
        *cx.seeds.borrow_mut() = settings.seeds.clone();
        let needs_restart = Settings {
            seeds: cx.settings.seeds.clone(),
            ..settings
        } != cx.settings;
        ProcessEvent::Reloaded {
            cause,
            seeds_changed,
            needs_restart,
        }
        .write();
    }

    fn modified_at(&self) -> Option<SystemTime> {
        let metadata = std::fs::metadata(&self.path).ok()?;
        metadata.modified().ok()
    }
}
