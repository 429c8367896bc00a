//! What a backend server has said of limits on its requests and of the rejections that it stands.

use policy::Time;

use crate::BackendServer;
use crate::Brittleness;
use crate::BrittlenessStatement;
use crate::BrittlenessUpdate;
use crate::LimitStatement;
use crate::LimitUpdate;
use crate::RateLimit;
use crate::ServerState;
use crate::ServerStatement;

impl BackendServer {
    /// Returns the limit on its requests; none if it names none, or one that limits nothing.
    pub fn limit(&self) -> Option<RateLimit> {
        let limit = self.limit_statement?.value;
        limit.filter(|limit| !limit.is_unlimited())
    }

    /// Returns the time since it named its limit, in milliseconds; none without a limit.
    pub fn limit_age_ms(&self, now: Time) -> Option<u64> {
        self.limit()?;
        let statement = self.limit_statement?;
        Some(now.millis_since(statement.said_at))
    }

    /// Records the limit that a response names to a request sent at `sent_at`, or that it names
    /// none. Returns whether the limit has changed.
    pub fn record_limit(&mut self, now: Time, limit: Option<RateLimit>, sent_at: Time) -> bool {
        let before = self.limit();
        let known = self.limit_statement;
        self.limit_statement = LimitStatement::after_response(known, limit, sent_at, now);
        self.limit() != before
    }

    /// Merges what it said of a limit to another router. Returns whether the limit has changed.
    pub fn merge_limit(&mut self, other: LimitStatement) -> bool {
        let before = self.limit();
        let known = self.limit_statement;
        self.limit_statement = Some(known.map_or(other, |known| known.merge(other)));
        self.limit() != before
    }

    /// Returns how many rejections it stands; none if it names no number.
    pub fn brittleness(&self) -> Option<Brittleness> {
        self.brittleness_statement?.value
    }

    /// Records the rejections that it stands by a response to a request sent at `sent_at`, or that it
    /// names none. Returns whether that has changed.
    pub fn record_brittleness(
        &mut self,
        now: Time,
        brittleness: Option<Brittleness>,
        sent_at: Time,
    ) -> bool {
        let before = self.brittleness();
        let known = self.brittleness_statement;
        self.brittleness_statement =
            BrittlenessStatement::after_response(known, brittleness, sent_at, now);
        self.brittleness() != before
    }

    /// Merges what it said of rejections to another router. Returns whether that has changed.
    pub fn merge_brittleness(&mut self, other: BrittlenessStatement) -> bool {
        let before = self.brittleness();
        let known = self.brittleness_statement;
        self.brittleness_statement = Some(known.map_or(other, |known| known.merge(other)));
        self.brittleness() != before
    }

    /// Returns what it has said of rejections, for another router; none if it never did.
    pub fn brittleness_update(&self, now: Time) -> Option<BrittlenessUpdate> {
        let statement = self.brittleness_statement?;
        Some(BrittlenessUpdate::new(now, statement))
    }

    /// Returns what it has said of a limit, for another router; none if it never named one.
    pub fn limit_update(&self, now: Time) -> Option<LimitUpdate> {
        let statement = self.limit_statement?;
        Some(LimitUpdate::new(now, statement))
    }

    /// Returns what it has said of itself that other routers are to know, if anything.
    pub(crate) fn statement(&self, now: Time) -> Option<ServerStatement> {
        let leaving = self.says_leaving && self.registration.state == ServerState::Ready;
        let limit = self.limit_statement.filter(|said| said.is_announced(now));
        let brittleness = self
            .brittleness_statement
            .filter(|said| said.is_announced(now));
        (leaving || limit.is_some() || brittleness.is_some()).then(|| ServerStatement {
            server: self.instance_hash,
            leaving,
            limit: limit.map(|said| LimitUpdate::new(now, said)),
            brittleness: brittleness.map(|said| BrittlenessUpdate::new(now, said)),
        })
    }
}
