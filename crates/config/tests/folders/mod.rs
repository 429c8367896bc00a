//! Folders and manifests for the tests.
#![allow(dead_code)]

use config::sha256_hex;
use config::FileEntry;
use config::Folder;
use config::Manifest;

/// SHA-256 of the token of workspace `w` in [`VALID`].
pub const TOKEN_SHA256: &str = "0000000000000000000000000000000000000000000000000000000000000001";

/// A valid file with an entry in each section but `limits`.
pub const VALID: &str = r#"{
    "workspaces": {"w": {"token_sha256": "0000000000000000000000000000000000000000000000000000000000000001"}},
    "models": {"m": {"weights_version": 7}},
    "priorities": {"high": {"rank": 9, "default_deadline_ms": 1000}},
    "backend_servers": {"b1": {"address": "127.0.0.1:4001", "region": "r", "failure_domain": "f", "models": ["m"]}},
    "services": {"s": {"replicas": {"s1": "127.0.0.1:5001"},
        "calls": [{"method": "GET", "path_prefix": "/", "idempotent": true}]}}
}"#;

pub fn folder(files: &[(&str, &str)]) -> Folder {
    let files = files
        .iter()
        .map(|(name, content)| ((*name).to_owned(), (*content).to_owned()));
    Folder {
        files: files.collect(),
    }
}

pub fn manifest(version: u64, author: &str, folder: &Folder) -> Manifest {
    let entry = |content: &String| FileEntry {
        sha256: sha256_hex(content.as_bytes()),
        version,
        author: author.to_owned(),
    };
    Manifest {
        version,
        author: author.to_owned(),
        files: folder
            .files
            .iter()
            .map(|(name, content)| (name.clone(), entry(content)))
            .collect(),
        ..Manifest::default()
    }
}
