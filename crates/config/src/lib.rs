//! The operators' folder of configuration files.
//!
//! A folder of small JSON files, merged in the order of their names, declares
//! workspaces, models, priorities, backend servers, plain services and limits.

mod backend_server;
mod config;
mod limits;
mod manifest;
mod model;
mod priority;
mod service;
mod workspace;

pub use crate::backend_server::BackendServer;
pub use crate::config::Config;
pub use crate::limits::Limits;
pub use crate::manifest::FileEntry;
pub use crate::manifest::Manifest;
pub use crate::manifest::FILE_PREFIX;
pub use crate::manifest::HEAD_KEY;
pub use crate::model::Model;
pub use crate::priority::Priority;
pub use crate::service::Call;
pub use crate::service::Service;
pub use crate::workspace::Quota;
pub use crate::workspace::Weights;
pub use crate::workspace::Workspace;
