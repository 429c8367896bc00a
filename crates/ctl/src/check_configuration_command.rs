//! `check-configuration`: checks a configuration of the users' platform before it is sent, and
//! shows what differs from the one in force.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use config::diff_values;
use config::Difference;
use relay::check_configuration;
use relay::Configuration;
use relay::ConfigurationFinding;
use relay::Severity;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;
use snafu::ResultExt;

use crate::error::BadConfigurationSnafu;
use crate::error::ReadRequestSnafu;
use crate::ExitCode;
use crate::Outcome;
use crate::Result;

/// Checks a configuration of the users' platform before it is sent, and shows what differs from
/// the one in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check-configuration")]
pub struct CheckConfigurationCommand {
    /// file with the configuration as JSON
    #[argh(positional)]
    pub file: PathBuf,
    /// address of the platform's store with the configuration in force
    #[argh(option)]
    pub store: Option<SocketAddr>,
    /// file with the configuration in force, instead of the store
    #[argh(option)]
    pub in_force: Option<PathBuf>,
}

#[derive(Serialize)]
struct Report {
    version: u64,
    findings: Vec<ConfigurationFinding>,
    /// Version in force, if it was read.
    in_force: Option<u64>,
    differences: Vec<Difference>,
}

impl CheckConfigurationCommand {
    /// Returns the findings and differences. The exit code is that of a refusal if there is an error
    /// among the findings.
    pub async fn run(self) -> Result<Outcome> {
        let next = read(&self.file)?;
        let in_force = self.in_force().await?;
        let mut findings = check_configuration(&next);
        findings.extend(
            in_force
                .as_ref()
                .and_then(|now| version_finding(&next, now)),
        );
        findings.sort();
        let has_error = findings.iter().any(|f| f.severity == Severity::Error);
        let differences = in_force
            .as_ref()
            .map(|now| diff_values(&entries(now), &entries(&next)));
        let report = Report {
            version: next.version,
            findings,
            in_force: in_force.map(|now| now.version),
            differences: differences.unwrap_or_default(),
        };
        let code = match has_error {
            true => ExitCode::Refused,
            false => ExitCode::Ok,
        };
        Ok(Outcome::new(&report, code))
    }

    async fn in_force(&self) -> Result<Option<Configuration>> {
        if let Some(file) = &self.in_force {
            return read(file).map(Some);
        }
        let Some(store) = self.store else {
            return Ok(None);
        };
        let source = format!("store {store}");
        let read = adapter::configuration_in_force(store).await;
        read.or_else(|reason| BadConfigurationSnafu { source, reason }.fail())
    }
}

fn read(file: &Path) -> Result<Configuration> {
    let content = fs::read(file).context(ReadRequestSnafu { file })?;
    let source = file.display().to_string();
    adapter::decode_configuration(&content)
        .or_else(|reason| BadConfigurationSnafu { source, reason }.fail())
}

/// Returns a finding if routers would ignore a configuration, as they take only higher versions.
fn version_finding(next: &Configuration, now: &Configuration) -> Option<ConfigurationFinding> {
    (next.version <= now.version).then(|| ConfigurationFinding {
        severity: Severity::Error,
        entry: "configuration".to_owned(),
        field: "version",
        problem: format!(
            "{} is not higher than {}, which is in force",
            next.version, now.version
        ),
    })
}

/// Returns the entries of a configuration by name. API keys are shown as hashes, as they are
/// secret.
fn entries(configuration: &Configuration) -> Value {
    let routes = configuration.routes.iter();
    let routes: BTreeMap<&str, Value> = routes.map(|r| (&*r.name, json!(r))).collect();
    let workspaces = configuration.workspaces.iter();
    let workspaces: BTreeMap<&str, Value> = workspaces
        .map(|workspace| {
            let mut entry = json!(workspace);
            let keys = workspace.keys.iter();
            let hashes = keys.map(|key| format!("{:016x}", policy::name_hash(key)));
            entry["keys"] = json!(hashes.collect::<Vec<String>>());
            (&*workspace.name, entry)
        })
        .collect();
    json!({
        "routes": routes,
        "workspaces": workspaces,
        "services": configuration.services,
        "limits": configuration.limits,
    })
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "version {}: {} findings",
            self.version,
            self.findings.len()
        )?;
        for finding in &self.findings {
            write!(f, "\n{finding}")?;
        }
        if let Some(version) = self.in_force {
            let count = self.differences.len();
            write!(f, "\nversion {version} is in force: {count} differences")?;
        }
        for difference in &self.differences {
            write!(f, "\n{difference}")?;
        }
        Ok(())
    }
}
