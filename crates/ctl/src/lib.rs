//! The operators' command line, `turmerichollowctl`.
//!
//! Most commands read or change the configuration in the platform's key-value
//! service. `check-configuration` checks a configuration of the users' platform. `explain` and `servers` query a router; `trace` and `timeline` read router logs.
//! Each command reports its outcome as text or as one JSON document.

mod apply_command;
mod arguments;
mod author;
mod base_file;
mod check_command;
mod check_configuration_command;
mod checked_folder;
mod config_store;
mod diff_command;
mod error;
mod explain_command;
mod fleet;
mod history_command;
mod loading_slot;
mod log_files;
mod log_line;
mod outcome;
mod platform_client;
mod prune;
mod publish;
mod rollback_command;
mod rollout;
mod router_client;
mod servers_command;
mod status_command;
mod timeline_command;
mod trace_command;

pub use crate::apply_command::ApplyCommand;
pub use crate::apply_command::ApplyReport;
pub use crate::arguments::global_options_first;
pub use crate::arguments::Arguments;
pub use crate::arguments::Command;
pub use crate::base_file::BASE_FILE;
pub use crate::check_command::CheckCommand;
pub use crate::check_configuration_command::CheckConfigurationCommand;
pub use crate::config_store::ConfigStore;
pub use crate::diff_command::DiffCommand;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::explain_command::ExplainCommand;
pub use crate::history_command::HistoryCommand;
pub use crate::log_files::LogFiles;
pub use crate::log_line::LogLine;
pub use crate::outcome::ExitCode;
pub use crate::outcome::Outcome;
pub use crate::platform_client::PlatformClient;
pub use crate::rollback_command::RollbackCommand;
pub use crate::servers_command::ServersCommand;
pub use crate::status_command::StatusCommand;
pub use crate::timeline_command::Timeline;
pub use crate::timeline_command::TimelineCommand;
pub use crate::trace_command::RequestTrace;
pub use crate::trace_command::TraceCommand;
