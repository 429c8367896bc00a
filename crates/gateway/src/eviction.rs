//! Which connection is closed when there is no room: decided on what each of them does and holds.
//!
//! A request that a backend server may run is not the fault of its caller, nor is the wait for it. So
//! connections that have none are closed first, and else those whose callers don't send or take what
//! is held for them.

use policy::Time;

use crate::connection_key::ConnectionKey;
use crate::connection_usage::ConnectionUsage;

/// Time for which bytes wait for their caller before its connection may be evicted, in milliseconds.
const MIN_WAITING_MS: u64 = 1_000;

/// Bytes that must wait for their caller before its connection may be evicted.
const MIN_WAITING_BYTES: u64 = 4 << 10;

/// Bytes that a caller must have sent on behind a request before its connection may be evicted.
const MIN_BEHIND_BYTES: u64 = 4 << 10;

/// Returns the idle connection to evict: that which holds the most for the longest.
pub fn idle<'a, C>(connections: C, now: Time) -> Option<(ConnectionKey, &'a mut ConnectionUsage)>
where
    C: Iterator<Item = (&'a ConnectionKey, &'a mut ConnectionUsage)>,
{
    let idle = connections.filter(|(_, usage)| usage.is_idle());
    let chosen = idle.max_by_key(|(_, usage)| usage.idle_cost(now));
    chosen.map(|(key, usage)| (*key, usage))
}

/// Returns the connection to evict whose caller doesn't send or take what is held for it.
pub fn slow<'a, C>(connections: C, now: Time) -> Option<(ConnectionKey, &'a mut ConnectionUsage)>
where
    C: Iterator<Item = (&'a ConnectionKey, &'a mut ConnectionUsage)>,
{
    let slow =
        connections.filter(|(_, usage)| usage.is_slow(now, MIN_WAITING_BYTES, MIN_WAITING_MS));
    let chosen = slow.max_by_key(|(_, usage)| usage.waiting_cost(now));
    chosen.map(|(key, usage)| (*key, usage))
}

/// Returns the connection to evict whose caller has sent the most behind a request that has no whole response.
pub fn pipelining<'a, C>(connections: C) -> Option<(ConnectionKey, &'a mut ConnectionUsage)>
where
    C: Iterator<Item = (&'a ConnectionKey, &'a mut ConnectionUsage)>,
{
    let pipelining = connections
        .filter(|(_, usage)| !usage.is_closing() && usage.behind_bytes() >= MIN_BEHIND_BYTES);
    let chosen = pipelining.max_by_key(|(_, usage)| usage.behind_bytes());
    chosen.map(|(key, usage)| (*key, usage))
}
