//! Reads, checks, merges and compares the operators' configuration files.
//!
//! Operators keep a folder of small JSON files that declare workspaces, models,
//! priorities, backend servers, plain services and limits. The files are merged
//! in the order of their names into one [`Config`]. A [`Manifest`] lists the
//! files of one published version.

mod assemble;
mod backend_server;
mod check;
mod config;
mod cross_checks;
mod diff;
mod digest;
mod folder;
mod limits;
mod manifest;
mod merge;
mod model;
mod priority;
mod problem;
mod rebase;
mod schema;
mod service;
mod strict_json;
mod validate;
mod workspace;

pub use crate::assemble::assemble;
pub use crate::assemble::verified_folder;
pub use crate::assemble::AssembleError;
pub use crate::backend_server::BackendServer;
pub use crate::check::check;
pub use crate::check::CheckedConfig;
pub use crate::check::Override;
pub use crate::check::MAX_FILE_BYTES;
pub use crate::config::Config;
pub use crate::diff::diff;
pub use crate::diff::diff_values;
pub use crate::diff::Difference;
pub use crate::digest::sha256_hex;
pub use crate::folder::Folder;
pub use crate::folder::ReadFolderError;
pub use crate::limits::Limits;
pub use crate::manifest::FileEntry;
pub use crate::manifest::Manifest;
pub use crate::manifest::FILE_PREFIX;
pub use crate::manifest::HEAD_KEY;
pub use crate::model::Model;
pub use crate::priority::Priority;
pub use crate::problem::Problem;
pub use crate::problem::Problems;
pub use crate::rebase::next_base;
pub use crate::rebase::rebase;
pub use crate::rebase::ChangeMetadata;
pub use crate::rebase::Conflict;
pub use crate::rebase::Conflicts;
pub use crate::rebase::RebasedChange;
pub use crate::service::Call;
pub use crate::service::Service;
pub use crate::workspace::CostWeights;
pub use crate::workspace::Quota;
pub use crate::workspace::Workspace;
