//! Choice of the connection to close when there is no room.
//!
//! The wait for a backend server isn't caused by the caller. For a new connection, one without a request that a
//! backend server may run is closed first, then one whose caller doesn't send or take what is held for it, then
//! the one with the most pipelined bytes. For more buffered bytes, only the second kind is closed.

use policy::Time;

use crate::connection_key::ConnectionKey;
use crate::connection_usage::ConnectionUsage;

/// Time for which bytes wait for their caller before its connection may be evicted, in milliseconds.
const MIN_WAITING_MS: u64 = 1_000;

/// Bytes that must wait for their caller before its connection may be evicted.
const MIN_WAITING_BYTES: u64 = 4 << 10;

/// Pipelined bytes from which on a connection with a running request may be evicted.
const MIN_PIPELINED_BYTES: u64 = 4 << 10;

/// Returns the idle connection to evict: the one with the highest product of bytes and idle time.
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

/// Returns the connection to evict with the most pipelined bytes.
pub fn pipelining<'a, C>(connections: C) -> Option<(ConnectionKey, &'a mut ConnectionUsage)>
where
    C: Iterator<Item = (&'a ConnectionKey, &'a mut ConnectionUsage)>,
{
    let pipelining = connections
        .filter(|(_, usage)| !usage.is_closing() && usage.pipelined_bytes() >= MIN_PIPELINED_BYTES);
    let chosen = pipelining.max_by_key(|(_, usage)| usage.pipelined_bytes());
    chosen.map(|(key, usage)| (*key, usage))
}
