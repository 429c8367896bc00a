//! Records in the store of the builds that each service has or had lately.
//!
//! A record is written before streams begin at its build, and deleted once no server has had the
//! build for as long as a stream can last. So the records of a service prove which builds there
//! were, without a clock that several machines share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use policy::Time;

use crate::backend_server::instance_hash;
use crate::Build;
use crate::Registration;

/// Time after a listing in which this router has read all registrations that were written before
/// it, in milliseconds.
const REGISTRATIONS_READ_MS: u64 = 3_000;

/// A record that a service has a build. Its name is unique for each time that the build comes, so
/// that a late deletion of an earlier record doesn't delete it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BuildRecord {
    /// Name of the service.
    pub service: Arc<str>,
    /// The build.
    pub build: Build,
    /// Hash of the incarnation of the first server of the build.
    pub first_server: u64,
}

impl BuildRecord {
    /// Returns the name of the record after the prefix of its kind.
    pub fn path(&self) -> String {
        format!("{}/{}/{:x}", self.service, self.build, self.first_server)
    }

    /// Returns the record of a path; none if it is not one.
    pub fn from_path(path: &str) -> Option<BuildRecord> {
        let mut parts = path.rsplitn(3, '/');
        let first_server = u64::from_str_radix(parts.next()?, 16).ok()?;
        let build = Build::from_hash(u64::from_str_radix(parts.next()?, 16).ok()?);
        Some(BuildRecord {
            service: parts.next()?.into(),
            build,
            first_server,
        })
    }
}

/// A build that servers of a service have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PresentBuild {
    /// The build.
    pub build: Build,
    /// Hash of the incarnation of one of its servers.
    pub server: u64,
}

impl PresentBuild {
    /// Returns the build of a registered server.
    pub fn of(registration: &Registration) -> PresentBuild {
        PresentBuild {
            build: Build::new(&registration.build),
            server: instance_hash(registration),
        }
    }
}

/// The builds that a router sees at the servers of a service.
#[derive(Clone, Debug)]
pub struct ServiceBuilds {
    /// Name of the service.
    pub service: Arc<str>,
    /// Builds that registered servers have.
    pub present: Vec<PresentBuild>,
    /// Builds that servers have, or had within the time that a stream can last.
    pub lately: Vec<Build>,
    /// Whether the router has seen the servers for that time.
    pub is_history_known: bool,
}

/// What is to be done about the records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BuildRecordChanges {
    /// Records to write.
    pub written: Vec<BuildRecord>,
    /// Records to delete.
    pub deleted: Vec<BuildRecord>,
    /// Whether the records must be read again before more of them may be deleted.
    pub needs_reading: bool,
}

/// The records of builds, as a router knows them.
#[derive(Clone, Debug, Default)]
pub struct BuildRecords {
    /// When they were last read; none before the first time.
    read_at: Option<Time>,
    /// Records that were written in the present era of the store.
    valid: BTreeSet<BuildRecord>,
    /// Records of an earlier era, which prove nothing: later changes to them may be lost.
    outdated: BTreeSet<BuildRecord>,
    /// Whether records were deleted since they were read; other routers may have written more.
    deleted_since_read: bool,
    /// Services whose servers this router has seen.
    seen: BTreeSet<Arc<str>>,
    /// The record under which each present build came.
    present: BTreeMap<(Arc<str>, Build), BuildRecord>,
}

impl BuildRecords {
    /// Replaces what is known by what was read at `read_at`.
    pub fn replace(
        &mut self,
        read_at: Time,
        valid: BTreeSet<BuildRecord>,
        outdated: BTreeSet<BuildRecord>,
    ) {
        self.read_at = Some(read_at);
        self.valid = valid;
        self.outdated = outdated;
        self.deleted_since_read = false;
    }

    /// Returns whether the records were read.
    pub fn is_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// Forgets what was read, as an era of the store has begun.
    pub fn begin_era(&mut self) {
        self.outdated.append(&mut self.valid);
    }

    /// Returns the only build that a service has had for as long as a stream can last, if the
    /// records prove it.
    pub fn only(&self, service: &str) -> Option<Build> {
        self.read_at?;
        let mut builds = self.of_service(service).map(|record| record.build);
        let first = builds.next()?;
        builds.all(|build| build == first).then_some(first)
    }

    /// Returns whether there are records of a service.
    pub fn has_any(&self, service: &str) -> bool {
        self.of_service(service).next().is_some()
    }

    /// Returns the record to write before the first server of a build is used; none if nothing is
    /// known of the service yet, so that its records prove nothing.
    pub fn missing(&self, service: &Arc<str>, first: PresentBuild) -> Option<BuildRecord> {
        let wanted = record(service, first);
        let is_needed = self.has_any(service) && !self.valid.contains(&wanted);
        is_needed.then_some(wanted)
    }

    /// Returns what is to be written and deleted, by the builds that this router sees.
    pub fn changes(&mut self, now: Time, services: &[ServiceBuilds]) -> BuildRecordChanges {
        let mut changes = BuildRecordChanges::default();
        let Some(read_at) = self.read_at else {
            changes.needs_reading = true;
            return changes;
        };
        for builds in services {
            self.note_present(builds);
            changes.written.extend(self.unwritten(builds));
        }
        // A record that was read is that of a build which has come back if the registrations that
        // this router has read since have it.
        if now.millis_since(read_at) >= REGISTRATIONS_READ_MS {
            let known = self.valid.iter().chain(&self.outdated);
            let over = known.filter(|record| is_over(record, services));
            changes.deleted = over.cloned().collect();
        }
        let is_unchanged = changes.written.is_empty() && changes.deleted.is_empty();
        changes.needs_reading = is_unchanged && self.deleted_since_read;
        changes
    }

    /// Records that a record was written.
    pub fn set_written(&mut self, record: BuildRecord) {
        self.outdated.remove(&record);
        let key = (Arc::clone(&record.service), record.build);
        self.present.insert(key, record.clone());
        self.valid.insert(record);
    }

    /// Records that a record was deleted.
    pub fn set_deleted(&mut self, record: &BuildRecord) {
        self.valid.remove(record);
        self.outdated.remove(record);
        self.deleted_since_read = true;
    }

    fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a BuildRecord> {
        let records = self.valid.iter();
        records.filter(move |record| &*record.service == service)
    }

    /// Notes which builds are present, and under which record each came.
    fn note_present(&mut self, builds: &ServiceBuilds) {
        let is_present = |build: Build| builds.present.iter().any(|p| p.build == build);
        self.present
            .retain(|(service, build), _| *service != builds.service || is_present(*build));
        let is_first_sight = self.seen.insert(Arc::clone(&builds.service));
        for present in &builds.present {
            let key = (Arc::clone(&builds.service), present.build);
            if self.present.contains_key(&key) {
                continue;
            }
            let known = self.of_service(&builds.service);
            let mut same = known.filter(|record| is_first_sight && record.build == present.build);
            let known = same.next().cloned();
            drop(same);
            let came = known.unwrap_or_else(|| record(&builds.service, *present));
            self.present.insert(key, came);
        }
    }

    /// Returns the records to write for a service. Without any, the only build is recorded once it
    /// is known that there was no other.
    fn unwritten(&self, builds: &ServiceBuilds) -> Vec<BuildRecord> {
        if !self.has_any(&builds.service) && builds.lately.len() == 1 && !builds.is_history_known {
            return Vec::new();
        }
        let came = self.present.values();
        let came = came.filter(|record| record.service == builds.service);
        let gone = builds.lately.iter();
        let gone = gone.filter(|build| !builds.present.iter().any(|p| p.build == **build));
        let gone = gone.map(|build| BuildRecord {
            service: Arc::clone(&builds.service),
            build: *build,
            first_server: 0,
        });
        let gone = gone.filter(|gone| {
            let mut known = self.of_service(&builds.service);
            known.all(|record| record.build != gone.build)
        });
        let came = came.filter(|record| !self.valid.contains(record));
        came.cloned().chain(gone).collect()
    }
}

fn is_over(record: &BuildRecord, services: &[ServiceBuilds]) -> bool {
    let builds = services.iter().find(|b| b.service == record.service);
    builds.is_some_and(|builds| builds.is_history_known && !builds.lately.contains(&record.build))
}

fn record(service: &Arc<str>, present: PresentBuild) -> BuildRecord {
    BuildRecord {
        service: Arc::clone(service),
        build: present.build,
        first_server: present.server,
    }
}
