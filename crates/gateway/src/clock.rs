//! Clock for leases and deadlines.

use policy::Time;
use rustix::time::clock_gettime;
use rustix::time::ClockId;

/// Time of the VM's boot, in microseconds. Ages in messages are less, so that what was before the boot
/// has a time too.
const BOOTED_AT_US: u64 = 100 * 86_400 * 1_000_000;

/// Returns the time by a clock that runs from the VM's boot on. Unlike the runtime's clock it advances
/// while the VM is suspended, so that a lease holder that was suspended finds its lease
/// expired.
pub fn now() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(at.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(at.tv_nsec).unwrap_or(0);
    Time(BOOTED_AT_US + secs * 1_000_000 + nanos / 1_000)
}
