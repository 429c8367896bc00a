//! Announcements to other routers.

use std::cell::RefCell;

use policy::Time;

use crate::clock::now;

/// Time for which an announcement is repeated in messages, as datagrams get lost, in milliseconds.
const ANNOUNCE_MS: u64 = 600;

/// An announcement that is repeated in messages for a while.
#[derive(Clone, Debug)]
pub struct Announced<T> {
    at: Time,
    /// What is announced.
    pub value: T,
}

impl<T> Announced<T> {
    /// Returns an announcement that begins now.
    pub fn new(value: T) -> Announced<T> {
        Announced { at: now(), value }
    }

    /// Returns whether it is still to be repeated.
    pub fn is_recent(&self, now: Time) -> bool {
        now.millis_since(self.at) < ANNOUNCE_MS
    }
}

/// Adds an announcement unless it is already in the list; returns whether it was added.
pub fn announce<T>(list: &RefCell<Vec<Announced<T>>>, value: T) -> bool
where
    T: PartialEq,
{
    let mut list = list.borrow_mut();
    if list.iter().any(|announced| announced.value == value) {
        return false;
    }
    list.push(Announced::new(value));
    true
}
