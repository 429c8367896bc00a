//! Clock for leases and deadlines.

use policy::Time;
use rustix::time::clock_gettime;
use rustix::time::ClockId;

/// Returns the time since the VM's boot. Unlike the runtime's clock it advances
/// while the VM is suspended, so that a lease holder that was suspended finds its lease
/// expired.
pub fn now() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(at.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(at.tv_nsec).unwrap_or(0);
    Time(secs * 1_000_000 + nanos / 1_000)
}
