//! Watches paths to backend servers, each by an idle connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use relay::ServerKey;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::now;
use crate::connection_pool::PooledConnection;
use crate::context::Context;
use crate::dialer::dial_over;
use crate::health_check;
use crate::path_watch::PathWatch;
use crate::path_watch::WatchedPath;

/// Interval at which the end of an idle connection is noticed. A cut that is shorter may be missed.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time that an idle connection must last, in milliseconds: a server may close it after a while, a path that
/// closes each one is cut.
const MIN_IDLE_MS: u64 = 100;

/// Longest time of a check, in milliseconds.
const CHECK_MS: u64 = 1_500;

/// Returns the watch of a path, which begins now unless the path is watched already.
pub fn begin(cx: &Rc<Context>, path: WatchedPath) -> Rc<PathWatch> {
    if let Some(watch) = cx.path_watches.present(path) {
        return watch;
    }
    let watch = cx.path_watches.add(path);
    spawn_local(run(Rc::clone(cx), path, Rc::downgrade(&watch)));
    watch
}

/// Watches a path until it is cut or its watch is dropped.
async fn run(cx: Rc<Context>, path: WatchedPath, watch: Weak<PathWatch>) {
    while keep_open(&cx, path, &watch).await {
        // A server may close idle connections, but must respond then.
        let deadline = now().plus_millis(CHECK_MS);
        let checked = health_check::run(&cx, path.server, path.path, deadline).await;
        if checked.is_err() {
            break;
        }
    }
    if let Some(watch) = watch.upgrade() {
        watch.record_cut();
    }
}

/// Keeps an idle connection open until it ends or the watch is dropped. Returns false if none can be kept.
async fn keep_open(cx: &Context, path: WatchedPath, watch: &Weak<PathWatch>) -> bool {
    let opened_at = now();
    let Some(address) = server_address(cx, path.server) else {
        return false;
    };
    let Ok(dialed) = dial_over(cx, path.server, address, path.path).await else {
        return false;
    };
    let connection = PooledConnection::new(dialed);
    while !connection.is_closed() {
        if watch.strong_count() == 0 {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    now().millis_since(opened_at) >= MIN_IDLE_MS
}

fn server_address(cx: &Context, key: ServerKey) -> Option<SocketAddr> {
    let view = cx.view.borrow();
    Some(view.fleet.get(key)?.registration.address)
}
