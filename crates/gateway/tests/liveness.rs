//! How soon connections end whose peer is gone.

use std::time::Duration;

use gateway::Liveness;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time after a disruption within which everything is as without it.
const STABLE: Duration = Duration::from_millis(3_000);

/// Time that a router needs to hear a change once its connection to the store has ended: a new
/// connection and a call, a message to another router and that one's question, a poll each.
const NEXT_CALL: Duration = Duration::from_millis(900);

/// Time for which a sound server may be silent.
const SOUND_SILENCE: Duration = Duration::from_millis(1_500);

// Guards against CONFIG: connections to the store hang, and a change arrives too late.
#[test]
fn a_silent_connection_to_the_store_ends_in_time_to_hear_a_change_on_another() {
    assert!(Liveness::STORE.idle_limit() + NEXT_CALL <= STABLE);
}

#[test]
fn a_silent_connection_to_a_server_outlasts_the_silence_of_a_sound_one() {
    assert!(Liveness::PATIENT.idle_limit() > SOUND_SILENCE);
    assert!(Liveness::PATIENT.unacknowledged > SOUND_SILENCE);
}

#[tokio::test]
async fn the_kernel_has_the_options_from_which_the_limit_follows() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();

    Liveness::STORE.apply(&stream).unwrap();

    let socket = SockRef::from(&stream);
    let first = socket.tcp_keepalive_time().unwrap();
    let interval = socket.tcp_keepalive_interval().unwrap();
    let timeout = socket.tcp_user_timeout().unwrap().unwrap();
    let mut probe = first;
    while probe < timeout {
        probe += interval;
    }
    assert!(socket.keepalive().unwrap());
    assert_eq!(probe, Liveness::STORE.idle_limit());
}
