//! What a router records about suspects, and what it lets through.

use policy::Arrival;
use policy::Time;
use relay::Admission;
use relay::SuspectKey;
use relay::SuspectUpdate;

use crate::clock::now;
use crate::context::Context;
use crate::log_event::LogEvent;
use crate::suspect_event::SuspectEvent;

impl Context {
    /// Adds a strike against each suspect for the crash of a backend server, given by its instance
    /// hash, and sends the new ones to the other routers.
    pub fn add_strikes(&self, suspects: &[SuspectKey], server: u64) {
        let evidence = &mut self.view.borrow_mut().crash_evidence;
        for suspect in suspects.iter().copied() {
            let was_blocked = evidence.is_blocked(now(), suspect);
            let Some(strikes) = evidence.add_strike(now(), suspect, server) else {
                continue;
            };
            SuspectEvent::Strike {
                suspect,
                server,
                strikes,
            }
            .write();
            if !was_blocked && evidence.is_blocked(now(), suspect) {
                let source = "own";
                SuspectEvent::Blocked { suspect, source }.write();
            }
            self.peers.wake.notify_one();
        }
    }

    /// Clears suspects, as a request of theirs was run to its end.
    pub fn clear_suspects(&self, suspects: &[SuspectKey]) {
        let evidence = &mut self.view.borrow_mut().crash_evidence;
        for suspect in suspects.iter().copied() {
            let strikes = evidence.clear(now(), suspect);
            if strikes > 0 {
                SuspectEvent::Cleared { suspect, strikes }.write();
                self.peers.wake.notify_one();
            }
        }
    }

    /// Records that a backend server, given by its instance hash, has ended.
    pub fn settle_ended(&self, server: u64) {
        let ended = self.view.borrow_mut().unsettled.server_ended(now(), server);
        self.add_strikes(&ended, server);
    }

    /// Records that a backend server has responded to a request sent at `sent_at`.
    pub fn settle_alive(&self, server: u64, sent_at: Time) {
        let unsettled = &mut self.view.borrow_mut().unsettled;
        unsettled.server_lives(now(), server, sent_at);
    }

    /// Merges the state of a suspect that another router (`peer`) sent or a record in the store
    /// (`store`) holds.
    pub fn merge_suspect(&self, message: Arrival, update: &SuspectUpdate, source: &str) {
        let is_hub = self.peers.topology.borrow_mut().is_hub(now());
        let evidence = &mut self.view.borrow_mut().crash_evidence;
        if evidence.merge(message, update, is_hub) {
            let suspect = update.suspect;
            SuspectEvent::Blocked { suspect, source }.write();
        }
    }

    /// Returns whether a request with these suspects may be sent to a backend server now.
    pub fn admission(&self, suspects: &[SuspectKey]) -> Admission {
        let view = self.view.borrow();
        let topology = self.peers.topology.borrow();
        let rank = |suspect: SuspectKey| topology.rank_for(suspect.hash());
        let is_registered = |server| view.fleet.is_registered(now(), server);
        let evidence = &view.crash_evidence;
        evidence.admission(now(), suspects, rank, is_registered)
    }

    /// Records that a request is sent as a trial of its blocked suspects.
    pub fn begin_trial(&self, suspects: &[SuspectKey]) {
        let evidence = &mut self.view.borrow_mut().crash_evidence;
        for suspect in suspects {
            if evidence.begin_trial(now(), *suspect) {
                SuspectEvent::Trial { suspect: *suspect }.write();
            }
        }
        self.peers.wake.notify_one();
    }
}
