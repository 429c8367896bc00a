//! Finds what is wrong in a configuration before it is put in force.
//!
//! A configuration that can be decoded may still contain entries that match no request, names that
//! lead nowhere, and limits that contradict each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use crate::CallerLimits;
use crate::Configuration;
use crate::Quota;
use crate::QuotaUnit;
use crate::Route;
use crate::RouteKind;
use crate::Workspace;

/// Smallest limit on request heads that has an effect, in bytes.
const MIN_HEAD_LIMIT_BYTES: usize = 8 << 10;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Requests are refused, or served otherwise than the entry says.
    Error,
    /// The entry has no effect, or less than it seems to have.
    Warning,
}

/// Something wrong with one field of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ConfigurationFinding {
    /// How much it matters.
    pub severity: Severity,
    /// Kind and name of the entry, such as `route r1`.
    pub entry: String,
    /// Field of the entry.
    pub field: &'static str,
    /// What is wrong.
    pub problem: String,
}

impl fmt::Display for ConfigurationFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        let ConfigurationFinding {
            entry,
            field,
            problem,
            ..
        } = self;
        write!(f, "{severity}: {entry}: {field}: {problem}")
    }
}

/// Returns all findings, errors first.
pub fn check_configuration(configuration: &Configuration) -> Vec<ConfigurationFinding> {
    let mut findings = Vec::new();
    for route in &configuration.routes {
        check_route(route, configuration, &mut findings);
    }
    check_matches(configuration, &mut findings);
    check_services(configuration, &mut findings);
    check_names(configuration, &mut findings);
    check_keys(configuration, &mut findings);
    for workspace in &configuration.workspaces {
        check_workspace(workspace, &mut findings);
    }
    check_limits(configuration.limits, &mut findings);
    findings.sort();
    findings
}

/// Adds a finding about one entry.
fn add<E, P>(
    findings: &mut Vec<ConfigurationFinding>,
    severity: Severity,
    entry: E,
    field: &'static str,
    problem: P,
) where
    E: Into<String>,
    P: Into<String>,
{
    findings.push(ConfigurationFinding {
        severity,
        entry: entry.into(),
        field,
        problem: problem.into(),
    });
}

fn check_route(
    route: &Route,
    configuration: &Configuration,
    findings: &mut Vec<ConfigurationFinding>,
) {
    let entry = || format!("route {}", route.name);
    let mut error =
        |field, problem: String| add(findings, Severity::Error, entry(), field, problem);
    if route.host.is_empty() {
        error("host", "empty, matches no request".to_owned());
    }
    let prefix = &route.path_prefix;
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        let problem = format!("expected a slash at both ends, found {prefix:?}");
        error("path_prefix", problem);
    }
    for share in &route.shares {
        match configuration.services.get(&share.service) {
            None => error("shares", format!("no service is named {}", share.service)),
            Some(service) if service.prefix_store.is_some() => {
                let problem = format!("service {} is a prefix store", share.service);
                error("shares", problem);
            }
            Some(_) => {}
        }
    }
    if route.timeout_ms == 0 {
        error("timeout_ms", "0, no request is answered in time".to_owned());
    } else if route.objective_ms > route.timeout_ms {
        let (objective, timeout) = (route.objective_ms, route.timeout_ms);
        let problem =
            format!("objective of {objective} ms is longer than the timeout of {timeout} ms");
        error("objective_ms", problem);
    }
    if route.kind == RouteKind::Once && route.max_attempts > 1 {
        let problem = "a request that runs at most once is executed by one server only";
        add(
            findings,
            Severity::Warning,
            entry(),
            "max_attempts",
            problem,
        );
    }
}

/// Finds routes that match no request, as an earlier one has the same host and path prefix.
fn check_matches(configuration: &Configuration, findings: &mut Vec<ConfigurationFinding>) {
    let mut first = BTreeMap::<(&str, &str), &Arc<str>>::new();
    for route in &configuration.routes {
        let matched = (route.host.as_str(), route.path_prefix.as_str());
        if let Some(earlier) = first.get(&matched) {
            let problem =
                format!("never matches: route {earlier} has the same host and path prefix");
            let entry = format!("route {}", route.name);
            add(findings, Severity::Error, entry, "path_prefix", problem);
        } else {
            first.insert(matched, &route.name);
        }
    }
}

/// Finds services to which no route leads.
fn check_services(configuration: &Configuration, findings: &mut Vec<ConfigurationFinding>) {
    let shares = configuration.routes.iter().flat_map(|route| &route.shares);
    let used: BTreeSet<&str> = shares.map(|share| &*share.service).collect();
    for service in configuration.services.values() {
        let entry = || format!("service {}", service.name);
        if service.prefix_store.is_none() && !used.contains(&*service.name) {
            let problem = "no route leads to it";
            add(findings, Severity::Warning, entry(), "name", problem);
        }
        if service.max_connections == Some(0) {
            let problem = "0, its servers accept no connection";
            add(
                findings,
                Severity::Error,
                entry(),
                "max_connections",
                problem,
            );
        }
    }
}

/// Finds names that several routes or workspaces have.
fn check_names(configuration: &Configuration, findings: &mut Vec<ConfigurationFinding>) {
    let routes = configuration.routes.iter().map(|route| &*route.name);
    check_unique("route", routes, findings);
    let workspaces = configuration.workspaces.iter().map(|w| &*w.name);
    check_unique("workspace", workspaces, findings);
}

fn check_unique<'a, I>(kind: &str, names: I, findings: &mut Vec<ConfigurationFinding>)
where
    I: Iterator<Item = &'a str>,
{
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            let entry = format!("{kind} {name}");
            add(
                findings,
                Severity::Error,
                entry,
                "name",
                "used more than once",
            );
        }
    }
}

/// Finds API keys that several workspaces have: only the last of them gets their requests.
fn check_keys(configuration: &Configuration, findings: &mut Vec<ConfigurationFinding>) {
    let mut holders = BTreeMap::<&str, &Arc<str>>::new();
    for workspace in &configuration.workspaces {
        let entry = || format!("workspace {}", workspace.name);
        for key in &workspace.keys {
            if key.is_empty() {
                add(
                    findings,
                    Severity::Error,
                    entry(),
                    "keys",
                    "contains an empty key",
                );
            }
            let other = holders.insert(key, &workspace.name);
            if let Some(other) = other.filter(|other| **other != workspace.name) {
                let problem = format!("workspace {other} has the same key");
                add(findings, Severity::Error, entry(), "keys", problem);
            }
        }
    }
}

fn check_workspace(workspace: &Workspace, findings: &mut Vec<ConfigurationFinding>) {
    let entry = || format!("workspace {}", workspace.name);
    if workspace.keys.is_empty() {
        let problem = "none, no request belongs to it";
        add(findings, Severity::Warning, entry(), "keys", problem);
    }
    if let Some(problem) = workspace.quota.and_then(quota_problem) {
        add(findings, Severity::Warning, entry(), "quota", problem);
    }
}

/// Returns what is contradictory in a quota, if anything.
fn quota_problem(quota: Quota) -> Option<String> {
    let per_request = match quota.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens { plain } => plain,
    };
    let most = quota.rate_per_s.saturating_add(quota.burst);
    if per_request > most {
        return Some(format!(
            "a request counts {per_request}, more than a second's rate and the burst: {most}"
        ));
    }
    let problem = "burst of 0: requests after a rest wait as if there had been none";
    (quota.burst == 0).then(|| problem.to_owned())
}

fn check_limits(limits: CallerLimits, findings: &mut Vec<ConfigurationFinding>) {
    if limits.max_body_bytes == 0 {
        let problem = "0, every request with a body is refused";
        add(
            findings,
            Severity::Error,
            "limits",
            "max_body_bytes",
            problem,
        );
    }
    if limits.max_head_bytes < MIN_HEAD_LIMIT_BYTES {
        let problem = format!("less than {MIN_HEAD_LIMIT_BYTES} has no effect");
        add(
            findings,
            Severity::Warning,
            "limits",
            "max_head_bytes",
            problem,
        );
    }
    if limits.idle_timeout_ms < limits.head_timeout_ms {
        let problem = "shorter than head_timeout_ms, which then counts for idle connections too";
        add(
            findings,
            Severity::Warning,
            "limits",
            "idle_timeout_ms",
            problem,
        );
    }
}
