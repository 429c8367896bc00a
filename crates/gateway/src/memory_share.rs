//! Shares of a VM's memory.

/// Memory that the process takes without callers, in bytes, and the largest part of a small VM that is set
/// aside for it, in percent.
const PROCESS_BYTES: u64 = 20 << 20;
const MAX_PROCESS_PERCENT: u64 = 30;

/// Returns a share of what a VM's memory leaves to callers, in bytes. Memory without a limit has shares
/// without one.
pub fn share_of_memory(memory_bytes: u64, percent: f64) -> u64 {
    if memory_bytes == u64::MAX {
        return u64::MAX;
    }
    let process_bytes = PROCESS_BYTES.min(memory_bytes / 100 * MAX_PROCESS_PERCENT);
    ((memory_bytes - process_bytes) as f64 * percent / 100.0) as u64
}
