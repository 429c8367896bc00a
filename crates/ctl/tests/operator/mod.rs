//! Operators with their own folders, and routers, that share one platform.
#![allow(dead_code)]

use std::fs;

use config::check;
use config::verified_folder;
use config::Config;
use config::Folder;
use config::Manifest;
use ctl::ApplyCommand;
use ctl::ConfigStore;
use ctl::Error;
use ctl::Outcome;
use ctl::PlatformClient;
use ctl::RollbackCommand;
use platform::KeyValue;
use platform::Member;
use platform::MembershipList;
use platform::Role;
use platform::RouterStatus;
use platform::ROUTER_STATUS_PREFIX;
use standins::Platform;
use tempfile::TempDir;

/// Time that commands wait for the routers, in seconds.
pub const WAIT_S: u64 = 10;

/// An operator with a folder of configuration files.
pub struct Operator {
    pub name: String,
    pub dir: TempDir,
}

impl Operator {
    pub fn new(name: &str) -> Operator {
        Operator {
            name: name.to_owned(),
            dir: tempfile::tempdir().expect("create a folder"),
        }
    }

    pub fn with(self, file: &str, content: &str) -> Operator {
        self.write(file, content);
        self
    }

    /// Copies another operator's folder with its base file, as a checkout from version control
    /// does.
    pub fn with_folder_of(self, other: &Operator) -> Operator {
        for entry in fs::read_dir(other.dir.path()).expect("list") {
            let path = entry.expect("list").path();
            let name = path.file_name().expect("a file has a name");
            fs::copy(&path, self.dir.path().join(name)).expect("copy");
        }
        self
    }

    pub fn write(&self, file: &str, content: &str) {
        fs::write(self.dir.path().join(file), content).expect("write a file");
    }

    pub fn remove(&self, file: &str) {
        fs::remove_file(self.dir.path().join(file)).expect("remove a file");
    }

    /// Replaces the files of the folder by those of the current version and returns that version.
    pub async fn check_out(&self, platform: &Platform) -> u64 {
        let (manifest, folder) = files_in_force(platform).await;
        for file in Folder::read(self.dir.path()).expect("read").files.keys() {
            self.remove(file);
        }
        for (file, content) in &folder.files {
            self.write(file, content);
        }
        manifest.version
    }

    pub async fn apply<P>(&self, platform: &P) -> Result<Outcome, Error>
    where
        P: KeyValue + MembershipList + Clone + 'static,
    {
        self.apply_on(platform, None).await
    }

    pub async fn apply_on<P>(&self, platform: &P, base: Option<u64>) -> Result<Outcome, Error>
    where
        P: KeyValue + MembershipList + Clone + 'static,
    {
        let command = ApplyCommand {
            dir: self.dir.path().to_owned(),
            base,
            author: Some(self.name.clone()),
            wait_s: WAIT_S,
        };
        command.run(&store(platform), &|_| {}).await
    }

    pub async fn roll_back(&self, platform: &Platform, version: u64) -> Result<Outcome, Error> {
        let command = RollbackCommand {
            version,
            author: Some(self.name.clone()),
            wait_s: WAIT_S,
        };
        command.run(&store(platform), &|_| {}).await
    }
}

pub fn store<P>(platform: &P) -> ConfigStore
where
    P: KeyValue + MembershipList + Clone + 'static,
{
    ConfigStore::new(PlatformClient::local(platform.clone()))
}

pub async fn manifest(platform: &Platform) -> Manifest {
    store(platform)
        .read_head()
        .await
        .expect("read the head")
        .manifest
}

pub async fn files_in_force(platform: &Platform) -> (Manifest, Folder) {
    let store = store(platform);
    let manifest = store.read_head().await.expect("read the head").manifest;
    let contents = store
        .read_contents(&manifest, &Folder::default())
        .await
        .expect("read the files");
    let folder = verified_folder(&manifest, &contents).expect("contents match their hashes");
    (manifest, folder)
}

/// Returns the current configuration, as routers read it.
pub async fn config_in_force(platform: &Platform) -> Config {
    let (_, folder) = files_in_force(platform).await;
    check(&folder).expect("valid").config
}

pub async fn list_router(platform: &Platform, vm: &str) {
    let member = Member {
        name: vm.to_owned(),
        role: Role::Router,
        address: "127.0.0.1:9000".parse().expect("an address"),
        region: "r".into(),
        failure_domain: "f".into(),
        incarnation: 1,
        leaving: false,
    };
    platform.announce(member).await.expect("announce");
}

pub async fn publish_status(platform: &Platform, vm: &str, version: u64) {
    let status = RouterStatus {
        vm: vm.to_owned(),
        incarnation: 1,
        address: "127.0.0.1:8000".parse().expect("an address"),
        version,
        leaving: false,
    };
    let key = format!("{ROUTER_STATUS_PREFIX}{vm}");
    let stored = platform.get(&key).await.expect("get");
    let expected = stored.map_or(0, |stored| stored.version);
    let value = serde_json::to_vec(&status).expect("serialise").into();
    platform
        .compare_and_swap(&key, expected, value, None)
        .await
        .expect("write the record");
}
