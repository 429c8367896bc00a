//! Paths to backend servers that are watched while responses over them aren't read.
//!
//! A response without a length is whole if its server is found to run right after the end. While a caller
//! doesn't take what is there, the router doesn't read on and learns of the end late. So an idle
//! connection over the same path is kept open meanwhile (`path_watch_task`): what cuts the path ends that
//! one too, and the server is checked at once.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::rc::Weak;

use relay::ServerKey;

use crate::dialed::ConnectionPath;

/// A path to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WatchedPath {
    /// Incarnation of the server.
    pub server: ServerKey,
    /// Way that connections take.
    pub path: ConnectionPath,
}

/// A path that is watched until all owners have dropped this.
#[derive(Debug, Default)]
pub struct PathWatch {
    was_cut: Cell<bool>,
}

impl PathWatch {
    /// Returns whether the path or the server's process ended since the watch began.
    pub fn was_cut(&self) -> bool {
        self.was_cut.get()
    }

    /// Records that the path or the server's process ended.
    pub fn record_cut(&self) {
        self.was_cut.set(true);
    }
}

/// The paths that are watched.
#[derive(Debug, Default)]
pub struct PathWatches(RefCell<HashMap<WatchedPath, Weak<PathWatch>>>);

impl PathWatches {
    /// Returns the watch of a path that is watched and was not cut since.
    pub fn present(&self, path: WatchedPath) -> Option<Rc<PathWatch>> {
        let watch = self.0.borrow().get(&path)?.upgrade()?;
        (!watch.was_cut()).then_some(watch)
    }

    /// Returns a new watch of a path, which the caller must begin. Forgets watches that were dropped.
    pub fn add(&self, path: WatchedPath) -> Rc<PathWatch> {
        let watch = Rc::new(PathWatch::default());
        let mut watches = self.0.borrow_mut();
        watches.retain(|_, watch| watch.strong_count() > 0);
        watches.insert(path, Rc::downgrade(&watch));
        watch
    }
}
