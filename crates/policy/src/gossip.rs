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

/// Interval between two rounds of gossip, in milliseconds.
const GOSSIP_MS: u64 = 1_000;

/// Pause between the first snapshot requests, in milliseconds.
const SNAPSHOT_RETRY_MS: u64 = 100;

/// Number of snapshot requests at the short pause. A router that has a
/// configuration stops after these; one without continues at the gossip interval.
const SNAPSHOT_TRIES: u32 = 3;

/// Number of routers that a round of gossip is sent to.
const GOSSIP_FANOUT: usize = 3;

impl Node {
    /// Handles a message from another router.
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
            PeerMessage::Leaving(instances) => self.on_leaving_instances(&instances, out),
            PeerMessage::Strikes(strikes) => self.on_strikes(now, &strikes, out),
            PeerMessage::SnapshotRequest => self.send_snapshot(from, out),
            PeerMessage::Snapshot(snapshot) => self.on_snapshot(now, *snapshot, out),
            PeerMessage::CellLoad(loads) => self.on_cell_loads(now, &loads),
            PeerMessage::Place(req) => self.on_placement_query(now, from, &req, out),
            PeerMessage::Placed(placed) => self.on_placement_response(now, &placed, out),
        }
    }

    /// Sends a message to all other routers on the membership list.
    pub(crate) fn broadcast(&self, message: &PeerMessage, out: &mut Vec<Action>) {
        for (vm, router) in self.routers.iter() {
            out.push(Action::SendPeer {
                to: vm.clone(),
                address: router.address,
                message: message.clone(),
            });
        }
    }

    /// Sends a message to the router on `vm`, unless that router is unknown.
    pub(crate) fn send_peer(&self, vm: &str, message: PeerMessage, out: &mut Vec<Action>) {
        let Some(router) = self.routers.get(vm) else {
            return;
        };
        out.push(Action::SendPeer {
            to: vm.to_owned(),
            address: router.address,
            message,
        });
    }

    /// Runs a round of gossip, expires old strikes and shares, and polls the strike record.
    pub(crate) fn on_gossip(&mut self, now: Time, out: &mut Vec<Action>) {
        let jitter_ms = self.rng.random_range(0..GOSSIP_MS / 10);
        self.timers
            .add(now.plus_millis(GOSSIP_MS + jitter_ms), Timer::Gossip);
        self.strikes.expire(now);
        self.shares.expire(now);
        self.poll_strike_record(now, out);
        let updates = self.gossip_messages(now);
        for vm in self.next_gossip_peers() {
            for message in &updates {
                self.send_peer(&vm, message.clone(), out);
            }
        }
    }

    /// Returns the messages of a round of gossip: updates that others may have missed.
    fn gossip_messages(&self, now: Time) -> Vec<PeerMessage> {
        let mut updates = vec![PeerMessage::Version(self.active_config.version())];
        let instances = self.fleet.leaving_instances();
        if !instances.is_empty() && !self.has_mutation(Mutation::ForgetLeaving) {
            updates.push(PeerMessage::Leaving(instances));
        }
        let strikes = self.strikes.recent(now);
        if !strikes.is_empty() {
            updates.push(PeerMessage::Strikes(strikes));
        }
        updates
    }

    /// Requests a snapshot from a few routers, and again until one with a configuration is
    /// received or [`SNAPSHOT_TRIES`] says to stop.
    pub(crate) fn request_snapshot(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.has_mutation(Mutation::SkipSnapshot) {
            return;
        }
        let enough = self.active_config.version() > 0 && self.snapshot_tries >= SNAPSHOT_TRIES;
        if self.has_snapshot || enough || self.routers.len() == 0 {
            return;
        }
        self.snapshot_tries += 1;
        let pause_ms = match self.snapshot_tries {
            0..=SNAPSHOT_TRIES => SNAPSHOT_RETRY_MS,
            _ => GOSSIP_MS,
        };
        self.timers.add(now.plus_millis(pause_ms), Timer::Snapshot);
        for vm in self.next_gossip_peers() {
            self.send_peer(&vm, PeerMessage::SnapshotRequest, out);
        }
    }

    /// Returns the names of the VMs of the next few routers, in rotation.
    pub(crate) fn next_gossip_peers(&mut self) -> Vec<String> {
        let vms: Vec<String> = self.routers.iter().map(|(vm, _)| vm.clone()).collect();
        if vms.is_empty() {
            return vms;
        }
        let fanout = GOSSIP_FANOUT.min(vms.len());
        let start = self.gossip_cursor % vms.len();
        self.gossip_cursor = (start + fanout) % vms.len();
        vms.iter()
            .cycle()
            .skip(start)
            .take(fanout)
            .cloned()
            .collect()
    }

    fn on_leaving_instances(&mut self, instances: &[ServerInstance], out: &mut Vec<Action>) {
        for instance in instances {
            if let Some(server) = self.fleet.find(&instance.server) {
                self.announce_leaving(server, instance.incarnation, out);
            }
        }
    }

    /// Records strikes reported by other routers and forwards those that were unknown.
    fn on_strikes(&mut self, now: Time, strikes: &[Strike], out: &mut Vec<Action>) {
        let limit = self.crash_limit();
        let updates: Vec<Strike> = strikes
            .iter()
            .filter(|strike| self.strikes.add_if_live(now, strike, limit))
            .cloned()
            .collect();
        if updates.is_empty() {
            return;
        }
        let message = PeerMessage::Strikes(updates);
        for vm in self.next_gossip_peers() {
            self.send_peer(&vm, message.clone(), out);
        }
    }

    fn send_snapshot(&mut self, from: &str, out: &mut Vec<Action>) {
        let config = self
            .active_config
            .config()
            .map(|cfg| (self.active_config.version(), cfg.clone()));
        let snapshot = Snapshot {
            config,
            leaving: self.fleet.leaving_instances(),
            strikes: self.strikes.all(),
            cells: self.cell_loads.all(),
        };
        self.send_peer(from, PeerMessage::Snapshot(Box::new(snapshot)), out);
    }

    fn on_snapshot(&mut self, now: Time, snapshot: Snapshot, out: &mut Vec<Action>) {
        if let Some((version, cfg)) = snapshot.config {
            self.has_snapshot = true;
            self.on_config(version, &cfg, out);
        }
        self.on_leaving_instances(&snapshot.leaving, out);
        self.on_strikes(now, &snapshot.strikes, out);
        self.on_cell_loads(now, &snapshot.cells);
    }
}
