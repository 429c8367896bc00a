//! The file of settings while the process runs.

use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use tokio::time::sleep;

use crate::context::Context;
use crate::log_event::LogEvent;
use crate::process_event::ProcessEvent;
use crate::settings::Settings;

/// Time between looks at whether the file has changed.
const LOOK: Duration = Duration::from_secs(2);

/// The file of settings, read again when it changes.
pub struct SettingsFile {
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl SettingsFile {
    /// Begins with the file as it is.
    pub fn new(path: PathBuf) -> SettingsFile {
        let mut file = SettingsFile {
            path,
            modified: None,
        };
        file.modified = file.modified_at();
        file
    }

    /// Returns once the file has changed.
    pub async fn changed(&mut self) {
        loop {
            sleep(LOOK).await;
            let modified = self.modified_at();
            if modified.is_some() && modified != self.modified {
                self.modified = modified;
                return;
            }
        }
    }

    /// Reads the file again. Seeds are taken over; what else has changed needs a new process.
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
