//! Start of both commands: reads and checks the settings, then runs.

use std::error::Error;
use std::fmt::Display;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid settings.
const BAD_SETTINGS: u8 = 2;

/// Exit code for a router that failed.
const FAILED: u8 = 1;

/// Reads the settings from `path` and runs with them, or only checks them if `check` is set.
/// `missing` states what was expected if there is no path. Returns the exit code of the process.
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
