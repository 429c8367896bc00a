//! What both commands do at their start: read the settings, check them, run.

use std::error::Error;
use std::fmt::Display;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

/// Exit code for a router that can't run.
const FAILED: u8 = 1;

/// Reads the settings from `path`, and runs with them unless they are only to be
/// checked. `missing` says what was expected where there is no path.
pub fn start<S, E, R, F>(
    path: Option<PathBuf>,
    check: bool,
    missing: &str,
    read: R,
    run: F,
) -> ExitCode
where
    E: Display,
    R: FnOnce(&Path) -> Result<S, E>,
    F: FnOnce(S, PathBuf) -> Result<(), Box<dyn Error>>,
{
    let Some(path) = path else {
        eprintln!("--settings: expected {missing}");
        return ExitCode::from(BAD_SETTINGS);
    };
    let settings = match read(&path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if check {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    match run(settings, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(FAILED)
        }
    }
}
