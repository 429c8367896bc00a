//! Messages to and from other routers.

use rand::Rng;

use crate::mutation::Mutation;
use crate::timers::Timer;
use crate::Action;
use crate::Node;
use crate::PeerMessage;
use crate::ServerInstance;
use crate::Snapshot;
use crate::Strike;
use crate::Time;

/// Pause between two rounds of gossip, in milliseconds.
const GOSSIP_MS: u64 = 1_000;

/// Pause after which other routers are asked for a snapshot, in milliseconds.
const SNAPSHOT_RETRY_MS: u64 = 100;

/// Times that other routers are asked for a snapshot once a configuration is in force.
const SNAPSHOT_TRIES: u32 = 3;

/// Routers that are told the version in force in one round.
const GOSSIP_WIDTH: usize = 3;

impl Node {
    /// Takes a message of another router in.
    pub(crate) fn on_peer(
        &mut self,
        now: Time,
        from: &str,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::Config { version, config } => self.on_config(version, &config, out),
            PeerMessage::ConfigDelta(delta) => self.on_config_delta(from, &delta, out),
            PeerMessage::Version(version) => self.on_peer_version(from, version, out),
            PeerMessage::Leaving(marks) => self.on_leaving_marks(&marks, out),
            PeerMessage::Strikes(strikes) => self.on_strikes(now, &strikes, out),
            PeerMessage::SnapshotRequest => self.give_snapshot(from, out),
            PeerMessage::Snapshot(snapshot) => self.on_snapshot(now, *snapshot, out),
            PeerMessage::CellLoad(loads) => self.on_cell_loads(now, &loads),
            PeerMessage::Place(req) => self.on_place(now, from, &req, out),
            PeerMessage::Placed(placed) => self.on_placed(now, &placed, out),
        }
    }

    /// Sends a message to all other routers.
    pub(crate) fn tell_all(&self, message: &PeerMessage, out: &mut Vec<Action>) {
        for (vm, router) in self.routers.iter() {
            out.push(Action::SendPeer {
                to: vm.clone(),
                address: router.address,
                message: message.clone(),
            });
        }
    }

    /// Sends a message to the router on `vm`, if it is on the membership list.
    pub(crate) fn tell(&self, vm: &str, message: PeerMessage, out: &mut Vec<Action>) {
        let Some(router) = self.routers.get(vm) else {
            return;
        };
        out.push(Action::SendPeer {
            to: vm.to_owned(),
            address: router.address,
            message,
        });
    }

    /// Runs a round of gossip.
    pub(crate) fn on_gossip(&mut self, now: Time, out: &mut Vec<Action>) {
        let jitter_ms = self.rng.random_range(0..GOSSIP_MS / 10);
        self.timers
            .add(now.plus_millis(GOSSIP_MS + jitter_ms), Timer::Gossip);
        self.strikes.expire(now);
        self.shares.expire(now);
        self.look_again_at_strike_record(now, out);
        let news = self.round_of_gossip(now);
        for vm in self.some_routers() {
            for message in &news {
                self.tell(&vm, message.clone(), out);
            }
        }
    }

    /// Returns what other routers may have missed.
    fn round_of_gossip(&self, now: Time) -> Vec<PeerMessage> {
        let mut news = vec![PeerMessage::Version(self.rollout.version())];
        let marks = self.fleet.leaving_marks();
        if !marks.is_empty() && !self.is_off(Mutation::ForgetLeaving) {
            news.push(PeerMessage::Leaving(marks));
        }
        let strikes = self.strikes.latest(now);
        if !strikes.is_empty() {
            news.push(PeerMessage::Strikes(strikes));
        }
        news
    }

    /// Asks other routers for what they know, until a snapshot has come.
    pub(crate) fn ask_for_snapshot(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.is_off(Mutation::SkipSnapshot) {
            return;
        }
        let enough = self.rollout.version() > 0 && self.snapshot_tries >= SNAPSHOT_TRIES;
        if self.has_snapshot || enough || self.routers.len() == 0 {
            return;
        }
        self.snapshot_tries += 1;
        let pause_ms = match self.snapshot_tries {
            0..=SNAPSHOT_TRIES => SNAPSHOT_RETRY_MS,
            _ => GOSSIP_MS,
        };
        self.timers.add(now.plus_millis(pause_ms), Timer::Snapshot);
        for vm in self.some_routers() {
            self.tell(&vm, PeerMessage::SnapshotRequest, out);
        }
    }

    /// Returns a few routers, each time the next ones.
    pub(crate) fn some_routers(&mut self) -> Vec<String> {
        let vms: Vec<String> = self.routers.iter().map(|(vm, _)| vm.clone()).collect();
        if vms.is_empty() {
            return vms;
        }
        let width = GOSSIP_WIDTH.min(vms.len());
        let start = self.gossip_cursor % vms.len();
        self.gossip_cursor = (start + width) % vms.len();
        vms.iter()
            .cycle()
            .skip(start)
            .take(width)
            .cloned()
            .collect()
    }

    fn on_leaving_marks(&mut self, marks: &[ServerInstance], out: &mut Vec<Action>) {
        for mark in marks {
            if let Some(server) = self.fleet.find(&mark.server) {
                self.learn_leaving(server, mark.incarnation, out);
            }
        }
    }

    /// Takes strikes of other routers in and passes on what is news.
    fn on_strikes(&mut self, now: Time, strikes: &[Strike], out: &mut Vec<Action>) {
        let limit = self.crash_limit();
        let news: Vec<Strike> = strikes
            .iter()
            .filter(|strike| self.strikes.add_live(now, strike, limit))
            .cloned()
            .collect();
        if news.is_empty() {
            return;
        }
        let message = PeerMessage::Strikes(news);
        for vm in self.some_routers() {
            self.tell(&vm, message.clone(), out);
        }
    }

    fn give_snapshot(&mut self, from: &str, out: &mut Vec<Action>) {
        let config = self
            .rollout
            .config()
            .map(|cfg| (self.rollout.version(), cfg.clone()));
        let snapshot = Snapshot {
            config,
            leaving: self.fleet.leaving_marks(),
            strikes: self.strikes.all(),
            cells: self.cell_loads.all(),
        };
        self.tell(from, PeerMessage::Snapshot(Box::new(snapshot)), out);
    }

    fn on_snapshot(&mut self, now: Time, snapshot: Snapshot, out: &mut Vec<Action>) {
        if let Some((version, cfg)) = snapshot.config {
            self.has_snapshot = true;
            self.on_config(version, &cfg, out);
        }
        self.on_leaving_marks(&snapshot.leaving, out);
        self.on_strikes(now, &snapshot.strikes, out);
        self.on_cell_loads(now, &snapshot.cells);
    }
}
