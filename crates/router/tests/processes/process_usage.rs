//! What a process of the system takes of its VM, as the kernel counts it.
#![allow(dead_code)]

use std::collections::HashSet;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::Instant;

/// Interval between two measurements.
const INTERVAL: Duration = Duration::from_millis(100);

/// State of a listening socket in the kernel's table of sockets.
const LISTEN: &str = "0A";

/// Most that a process took at any measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory, and bytes that were received and not yet read.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Returns what a process takes now.
    pub fn of(id: u32) -> ProcessUsage {
        let sockets = sockets(id);
        ProcessUsage {
            memory_bytes: resident_bytes(id) + unread_bytes(id, &sockets),
            descriptors: descriptors(id),
        }
    }

    /// Returns the most that a process takes within some time.
    pub async fn peak(id: u32, time: Duration) -> ProcessUsage {
        let until = Instant::now() + time;
        let mut peak = ProcessUsage::default();
        while Instant::now() < until {
            let usage = ProcessUsage::of(id);
            peak.memory_bytes = peak.memory_bytes.max(usage.memory_bytes);
            peak.descriptors = peak.descriptors.max(usage.descriptors);
            sleep(INTERVAL).await;
        }
        peak
    }
}

fn resident_bytes(id: u32) -> u64 {
    // The file can't be read once the process has ended.
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let mut lines = status.lines();
    let resident = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = resident.map(|text| text.trim().trim_end_matches(" kB").parse::<u64>());
    kibibytes.map_or(0, |kibibytes| kibibytes.unwrap() << 10)
}

fn descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Returns the inodes of the sockets of a process.
fn sockets(id: u32) -> HashSet<u64> {
    let Ok(entries) = fs::read_dir(format!("/proc/{id}/fd")) else {
        return HashSet::new();
    };
    let inodes = entries.flatten().filter_map(|entry| {
        let link = fs::read_link(entry.path()).ok()?;
        link.to_string_lossy()
            .starts_with("socket:")
            .then_some(())?;
        fs::metadata(entry.path()).ok().map(|file| file.ino())
    });
    inodes.collect()
}

/// Returns the bytes that wait to be read in some sockets of a process.
fn unread_bytes(id: u32, sockets: &HashSet<u64>) -> u64 {
    let table = fs::read_to_string(format!("/proc/{id}/net/tcp")).unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let inode: u64 = fields.get(9)?.parse().ok()?;
        let (_, unread) = fields[4].split_once(':')?;
        (fields[3] != LISTEN && sockets.contains(&inode)).then_some(())?;
        u64::from_str_radix(unread, 16).ok()
    });
    unread.sum()
}
