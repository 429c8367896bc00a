//! Checks across entries: undeclared names, duplicate tokens and addresses, unreachable calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::merge::Merged;
use crate::Call;
use crate::Config;
use crate::Problem;

/// Adds the problems that span several entries to `out`.
///
/// `config` holds the entries of `merged` that match the schema.
pub(crate) fn check(config: &Config, merged: &Merged, out: &mut Vec<Problem>) {
    let mut checks = CrossChecks { merged, out };
    checks.check_token_hashes(config);
    checks.check_references(config);
    checks.check_addresses(config);
    checks.check_calls(config);
}

/// Checks the entries of a configuration against each other and collects the problems.
struct CrossChecks<'a> {
    merged: &'a Merged,
    out: &'a mut Vec<Problem>,
}

impl CrossChecks<'_> {
    fn check_token_hashes(&mut self, config: &Config) {
        let mut first_uses = BTreeMap::new();
        for (name, workspace) in &config.workspaces {
            match first_uses.get(&workspace.token_sha256) {
                None => {
                    first_uses.insert(&workspace.token_sha256, name);
                }
                Some(other) => self.add_problem(
                    "workspaces",
                    name,
                    ".token_sha256",
                    "a token of its own".into(),
                    format!("the token of workspace {other:?}"),
                ),
            }
        }
    }

    fn check_references(&mut self, config: &Config) {
        for (name, server) in &config.backend_servers {
            self.check_declared(name, "models", &server.models);
            self.check_declared(name, "workspaces", &server.workspaces);
        }
    }

    /// Checks that `section` declares all `names` to which a backend server refers.
    fn check_declared(&mut self, server: &str, section: &str, names: &[String]) {
        let entries = self.merged.sections.get(section);
        for (i, name) in names.iter().enumerate() {
            if entries.is_some_and(|entries| entries.contains_key(name)) {
                continue;
            }
            self.add_problem(
                "backend_servers",
                server,
                &format!(".{section}[{i}]"),
                format!("a name that {section} declares"),
                format!("{name:?}"),
            );
        }
    }

    fn check_addresses(&mut self, config: &Config) {
        let mut first_uses = BTreeMap::new();
        for (name, server) in &config.backend_servers {
            let field = ".address".to_owned();
            self.check_address(
                &mut first_uses,
                server.address,
                "backend_servers",
                name,
                field,
            );
        }
        for (name, service) in &config.services {
            for (replica, address) in &service.replicas {
                let field = format!(".replicas.{replica}");
                self.check_address(&mut first_uses, *address, "services", name, field);
            }
        }
    }

    /// Checks that no other server or replica has the address.
    ///
    /// `first_uses` maps each address to the path of the field where it first occurred.
    fn check_address(
        &mut self,
        first_uses: &mut BTreeMap<SocketAddr, String>,
        address: SocketAddr,
        section: &str,
        name: &str,
        field: String,
    ) {
        let path = format!("{section}.{name}{field}");
        match first_uses.get(&address) {
            None => {
                first_uses.insert(address, path);
            }
            Some(other) => {
                let expected = "an address of its own".into();
                let found = format!("{address}, the address of {other}");
                self.add_problem(section, name, &field, expected, found);
            }
        }
    }

    fn check_calls(&mut self, config: &Config) {
        for (name, service) in &config.services {
            for (i, call) in service.calls.iter().enumerate() {
                let earlier = &service.calls[..i];
                let Some(j) = earlier.iter().position(|other| covers(other, call)) else {
                    continue;
                };
                self.add_problem(
                    "services",
                    name,
                    &format!(".calls[{i}]"),
                    "a call that no earlier one covers".into(),
                    format!("calls[{j}] covers it, and the first match decides"),
                );
            }
        }
    }

    fn add_problem(
        &mut self,
        section: &str,
        name: &str,
        field: &str,
        expected: String,
        found: String,
    ) {
        let entry = self.merged.sections.get(section).and_then(|s| s.get(name));
        self.out.push(Problem {
            file: entry.map(|entry| entry.file.clone()).unwrap_or_default(),
            field: format!("{section}.{name}{field}"),
            expected,
            found,
        });
    }
}

/// Returns whether `earlier` matches every request that `later` matches.
fn covers(earlier: &Call, later: &Call) -> bool {
    earlier.method == later.method && later.path_prefix.starts_with(&earlier.path_prefix)
}
