//! The merged configuration of the system.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendServer;
use crate::Limits;
use crate::Model;
use crate::Priority;
use crate::Service;
use crate::Workspace;

/// Everything that the operators declare, merged from their files; absent sections are empty.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Workspace>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Priority classes by name.
    pub priorities: BTreeMap<String, Priority>,
    /// Backend servers by name.
    pub backend_servers: BTreeMap<String, BackendServer>,
    /// Plain services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits that apply to the whole system.
    pub limits: Limits,
}
