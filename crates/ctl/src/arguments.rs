//! Command-line arguments and the dispatch to the commands.

use std::net::SocketAddr;

use argh::FromArgs;
use snafu::ensure;

use crate::error::ArgumentSnafu;
use crate::rollout::Progress;
use crate::ApplyCommand;
use crate::CheckCommand;
use crate::CheckConfigurationCommand;
use crate::ConfigStore;
use crate::DiffCommand;
use crate::ExitCode;
use crate::ExplainCommand;
use crate::HistoryCommand;
use crate::Outcome;
use crate::PlatformClient;
use crate::Result;
use crate::RollbackCommand;
use crate::ServersCommand;
use crate::StatusCommand;
use crate::TimelineCommand;
use crate::TraceCommand;

/// Global option that takes a value: the addresses of the platform.
const PLATFORM_OPTION: &str = "--platform";

/// Global options without a value.
const GLOBAL_SWITCHES: [&str; 2] = ["--json", "--version"];

/// Checks, changes and shows the configuration of turmerichollow.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// addresses of the platform's key-value service, separated by commas
    #[argh(option, default = "Addresses::default()")]
    pub platform: Addresses,
    /// print one JSON document
    #[argh(switch)]
    pub json: bool,
    /// print the version of the program
    #[argh(switch)]
    pub version: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// A command with its arguments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a folder.
    Check(CheckCommand),
    /// Checks a configuration of the users' platform, and compares it with the one in force.
    CheckConfiguration(CheckConfigurationCommand),
    /// Shows what applying a folder would change.
    Diff(DiffCommand),
    /// Applies a folder.
    Apply(ApplyCommand),
    /// Shows routers, versions in force, backend servers and leases.
    Status(StatusCommand),
    /// Lists earlier versions.
    History(HistoryCommand),
    /// Publishes an earlier version as a new one.
    Rollback(RollbackCommand),
    /// Shows to which backend server a completion would be sent, and why.
    Explain(ExplainCommand),
    /// Shows which backend servers get requests of a router, and why the others don't.
    Servers(ServersCommand),
    /// Shows the log lines of one request from router logs.
    Trace(TraceCommand),
    /// Shows how the routers' views changed, from their logs.
    Timeline(TimelineCommand),
}

/// Addresses of the platform, separated by commas on the command line.
#[derive(Clone, Debug, Default)]
pub struct Addresses(Vec<SocketAddr>);

impl std::str::FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Addresses, String> {
        let addresses = text.split(',').map(|addr| {
            addr.parse()
                .map_err(|_| format!("expected an IP address with a port, found {addr:?}"))
        });
        addresses
            .collect::<std::result::Result<_, String>>()
            .map(Addresses)
    }
}

impl Arguments {
    /// Runs the command, prints its outcome and returns the exit code.
    pub async fn run(self) -> ExitCode {
        if self.version {
            println!("turmerichollowctl {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::Ok;
        }
        let json = self.json;
        let outcome = self.execute().await.unwrap_or_else(Outcome::from);
        outcome.print(json);
        outcome.code
    }

    /// Runs the command and returns its outcome; progress messages go to standard error.
    pub async fn execute(self) -> Result<Outcome> {
        let progress = |line: &str| eprintln!("{line}");
        match self.command {
            Some(command) => command.run(&self.platform, &progress).await,
            None => ArgumentSnafu {
                argument: "command",
                expected:
                    "one of check, check-configuration, diff, apply, status, history, rollback, explain, servers, trace, timeline; see --help",
            }
            .fail(),
        }
    }
}

impl Command {
    async fn run(self, platform: &Addresses, progress: &Progress) -> Result<Outcome> {
        match self {
            Command::Check(command) => command.run(),
            Command::CheckConfiguration(command) => command.run().await,
            Command::Diff(command) => command.run(&platform.store()?).await,
            Command::Apply(command) => command.run(&platform.store()?, progress).await,
            Command::Status(command) => command.run(&platform.store()?).await,
            Command::History(command) => command.run(&platform.store()?).await,
            Command::Rollback(command) => command.run(&platform.store()?, progress).await,
            Command::Explain(command) => command.run().await,
            Command::Servers(command) => command.run().await,
            Command::Trace(command) => command.run(),
            Command::Timeline(command) => command.run(),
        }
    }
}

impl Addresses {
    /// Returns a store over the platform at these addresses; an error if none is given.
    fn store(&self) -> Result<ConfigStore> {
        ensure!(
            !self.0.is_empty(),
            ArgumentSnafu {
                argument: PLATFORM_OPTION,
                expected: "an IP address with a port, such as 10.0.0.1:7000",
            }
        );
        Ok(ConfigStore::new(PlatformClient::connect(&self.0)))
    }
}

/// Moves the global options in front of the command, so that they may be given after it.
pub fn global_options_first(args: Vec<String>) -> Vec<String> {
    let mut global_options = Vec::new();
    let mut others = Vec::new();
    let mut args = args.into_iter();
    while let Some(arg) = args.next() {
        match arg.as_str() {
            PLATFORM_OPTION => {
                global_options.push(arg);
                global_options.extend(args.next());
            }
            switch if GLOBAL_SWITCHES.contains(&switch) => global_options.push(arg),
            _ => others.push(arg),
        }
    }
    global_options.extend(others);
    global_options
}
