//! Recent use of the capacity by each workspace, relative to its share.

use std::collections::BTreeMap;

use crate::interner::NameKey;
use crate::Time;

/// Half-life of recorded use, in milliseconds.
const HALF_LIFE_MS: f64 = 5_000.0;

/// Fraction of the total use below which a workspace counts as idle.
const IDLE_FRACTION: f64 = 0.001;

/// A sum that decays exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    amount: f64,
    as_of: Time,
}

/// Recent use of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    tokens: DecayingSum,
    share: u32,
}

/// Prompt tokens recently admitted for each workspace.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    by_workspace: BTreeMap<NameKey, Usage>,
    total: DecayingSum,
    /// Sum of the shares of all workspaces that are not idle.
    active_shares: u32,
}

impl Shares {
    /// Records that a request was admitted.
    pub(crate) fn add(&mut self, now: Time, workspace: NameKey, share: u32, tokens: u64) {
        let tokens = tokens as f64;
        let share = share.max(1);
        let used = self.by_workspace.entry(workspace).or_default();
        if used.share == 0 {
            self.active_shares += share;
        }
        used.share = share;
        used.tokens.add(now, tokens);
        self.total.add(now, tokens);
    }

    /// Returns a workspace's use relative to its fair share: 1 if it has used
    /// exactly its share, more if it has used more.
    pub(crate) fn fair_share_ratio(&self, now: Time, workspace: NameKey) -> f64 {
        let Some(used) = self.by_workspace.get(&workspace) else {
            return 0.0;
        };
        let total = self.total.at(now);
        if total <= 0.0 {
            return 0.0;
        }
        let fair = f64::from(used.share) / f64::from(self.active_shares.max(used.share));
        used.tokens.at(now) / total / fair
    }

    /// Drops workspaces that have become idle.
    pub(crate) fn expire(&mut self, now: Time) {
        let least = self.total.at(now) * IDLE_FRACTION;
        self.by_workspace
            .retain(|_, used| used.tokens.at(now) > least);
        self.active_shares = self.by_workspace.values().map(|used| used.share).sum();
    }
}

impl DecayingSum {
    fn at(&self, now: Time) -> f64 {
        let ms = now.micros_since(self.as_of) as f64 / 1_000.0;
        self.amount * (-ms / HALF_LIFE_MS).exp2()
    }

    fn add(&mut self, now: Time, amount: f64) {
        self.amount = self.at(now) + amount;
        self.as_of = now;
    }
}
