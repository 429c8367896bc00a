//! Ends of attempts that prove something only with what their backend server does next.

use std::collections::VecDeque;

use policy::Time;

use crate::SuspectKey;

/// Time within which a backend server must prove that it lives or has ended, in milliseconds. A
/// server takes longer to start again, possibly under the same id.
const SETTLED_MS: u64 = 1_500;

/// Maximum number of ends that are kept.
const MAX_UNSETTLED: usize = 256;

/// An attempt that has ended.
#[derive(Clone, Debug)]
struct Unsettled {
    /// Instance hash of the backend server.
    server: u64,
    suspects: Vec<SuspectKey>,
    at: Time,
}

/// Ends of attempts that are not settled yet, earliest first.
#[derive(Clone, Debug, Default)]
pub struct UnsettledEnds {
    ends: VecDeque<Unsettled>,
}

impl UnsettledEnds {
    /// Adds the end of an attempt at a backend server, given by its instance hash.
    pub fn add(&mut self, now: Time, server: u64, suspects: &[SuspectKey]) {
        self.remove_old(now);
        if self.ends.len() >= MAX_UNSETTLED {
            self.ends.pop_front();
        }
        self.ends.push_back(Unsettled {
            server,
            suspects: suspects.to_vec(),
            at: now,
        });
    }

    /// Records that a backend server has responded to a request sent at `sent_at`, and so lived
    /// then: what ended before proves nothing.
    pub fn server_lives(&mut self, now: Time, server: u64, sent_at: Time) {
        self.settle(now, |end| end.server == server && end.at < sent_at);
    }

    /// Records that a backend server has ended. Returns the suspects whose requests it may have been
    /// running.
    pub fn server_ended(&mut self, now: Time, server: u64) -> Vec<SuspectKey> {
        let settled = self.settle(now, |end| end.server == server);
        settled.into_iter().flat_map(|end| end.suspects).collect()
    }

    /// Removes and returns the ends for which `is_settled` is true.
    fn settle<F>(&mut self, now: Time, is_settled: F) -> Vec<Unsettled>
    where
        F: Fn(&Unsettled) -> bool,
    {
        self.remove_old(now);
        if !self.ends.iter().any(&is_settled) {
            return Vec::new();
        }
        let ends = std::mem::take(&mut self.ends);
        let (settled, open) = ends.into_iter().partition(is_settled);
        self.ends = open;
        Vec::from_iter::<VecDeque<Unsettled>>(settled)
    }

    fn remove_old(&mut self, now: Time) {
        self.ends
            .retain(|end| now.millis_since(end.at) < SETTLED_MS);
    }
}
