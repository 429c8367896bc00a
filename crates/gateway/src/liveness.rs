//! Socket options by which a TCP connection finds out that its peer is gone.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe, and the time between probes; the shortest that the
/// kernel accepts.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How soon a connection ends whose peer acknowledges nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// Time for which sent bytes or probes may stay unacknowledged. The kernel looks at it whenever a
    /// probe is due, whatever number of probes is set.
    pub unacknowledged: Duration,
}

impl Liveness {
    /// A backend server or another router, which may be silent for a while.
    pub const PATIENT: Liveness = Liveness {
        unacknowledged: Duration::from_millis(2_500),
    };

    /// The store: a call that is repeated on another connection costs little, a change that isn't
    /// delivered may break a time limit.
    pub const STORE: Liveness = Liveness {
        unacknowledged: Duration::from_millis(1_500),
    };

    /// Returns the time from the last sign of a peer that is gone to the end of an idle connection.
    pub fn idle_limit(self) -> Duration {
        let probes = self
            .unacknowledged
            .as_millis()
            .div_ceil(PROBE_INTERVAL.as_millis());
        // The first probe must have gone out before one can be unacknowledged.
        PROBE_INTERVAL * u32::try_from(probes.max(2)).unwrap_or(u32::MAX)
    }

    /// Sets the options of a connection, and disables Nagle's algorithm.
    pub fn apply(self, stream: &TcpStream) -> io::Result<()> {
        set_keepalive(stream)?;
        SockRef::from(stream).set_tcp_user_timeout(Some(self.unacknowledged))
    }
}

/// Has an idle connection end whose peer is gone, and disables Nagle's algorithm. Unlike
/// [`Liveness::apply`] it leaves a peer alone that acknowledges nothing new as it doesn't read: the
/// kernel counts a closed window as unacknowledged.
pub fn set_keepalive(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
