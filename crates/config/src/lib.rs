//! The operators' folder of configuration files.
//!
//! A folder of small JSON files, merged in the order of their names, declares
//! workspaces, models, priorities, backend servers, plain services and limits.

mod assemble;
mod backend_server;
mod check;
mod config;
mod diff;
mod digest;
mod folder;
mod form;
mod limits;
mod manifest;
mod merge;
mod model;
mod priority;
mod problem;
mod rebase;
mod references;
mod schema;
mod service;
mod strict_json;
mod workspace;

pub use crate::assemble::assemble;
pub use crate::assemble::folder_of;
pub use crate::assemble::AssembleError;
pub use crate::backend_server::BackendServer;
pub use crate::check::check;
pub use crate::check::Checked;
pub use crate::check::Override;
pub use crate::check::MAX_FILE_BYTES;
pub use crate::config::Config;
pub use crate::diff::diff;
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
pub use crate::rebase::Conflict;
pub use crate::rebase::Conflicts;
pub use crate::rebase::Maker;
pub use crate::rebase::Rebased;
pub use crate::service::Call;
pub use crate::service::Service;
pub use crate::workspace::CostWeights;
pub use crate::workspace::Quota;
pub use crate::workspace::Workspace;
