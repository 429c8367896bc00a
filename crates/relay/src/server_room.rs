//! What a backend server has room for, for one router among many.
//!
//! Reports of other routers are some hundred milliseconds old, and all routers see the same ones.
//! If each sent a request to a server that is reported to have room for one, most would be
//! rejected. Therefore each router takes only its part of the room that reports show, with a
//! random rounding, and keeps the room of its own requests that end. Whatever the reports say, a
//! router may have its own share of all slots in flight. The routers whose reports are missing, as in
//! a network partition, are left their share of each server.

use policy::Time;

use crate::BackendServer;
use crate::Fleet;

/// Requests at a server up to which it has room, as a percentage of its slots. Those beyond the
/// slots wait there, so that a slot that becomes free isn't idle until a router learns of it.
const ROOM_PERCENT: u32 = 105;

/// The same for the requests of a workspace that is over its share.
const OVER_SHARE_ROOM_PERCENT: u32 = 85;

/// The same for streams of which callers have received a part.
const RESUMED_ROOM_PERCENT: u32 = 200;

/// Time between two renewals of a part, in milliseconds: that between two reports.
const RENEWAL_MS: u64 = 250;

/// Room of one backend server for this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerRoom {
    renew_at: Option<Time>,
    /// Requests that may still be sent before the next renewal.
    left: u32,
    is_open: bool,
}

/// What room is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomNeed {
    /// A request of a workspace that is over its share.
    OverShare,
    /// Any other request.
    Usual,
    /// A stream of which a caller has received a part.
    Resumed,
}

impl RoomNeed {
    /// Returns the requests at a server up to which it has room, as a percentage of its slots.
    fn percent(self) -> u32 {
        match self {
            RoomNeed::OverShare => OVER_SHARE_ROOM_PERCENT,
            RoomNeed::Usual => ROOM_PERCENT,
            RoomNeed::Resumed => RESUMED_ROOM_PERCENT,
        }
    }
}

/// A router among others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Routers {
    /// Hash of this router's name.
    pub own_hash: u64,
    /// Number of routers, this one included.
    pub count: usize,
}

/// What the room of all servers of a service depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoomState {
    /// This router and the others.
    pub routers: Routers,
    /// Number of routers whose loads are known, this one included.
    pub known: usize,
    /// Whether this router has fewer requests in flight than its share of all slots.
    pub is_below_share: bool,
    /// What the room is needed for.
    pub need: RoomNeed,
}

/// Returns the requests that a router may have in flight at a service in any case.
fn own_share(slots: u32, routers: usize) -> u32 {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    (slots / routers.max(1)).max(1)
}

impl ServerRoom {
    /// Returns whether this router may send the server a request.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Returns whether the server has room in this router's part of the reported room.
    pub(crate) fn has_part(&self) -> bool {
        self.left > 0
    }

    /// Counts a request that this router sends.
    pub(crate) fn begin(&mut self) {
        self.left = self.left.saturating_sub(1);
    }

    /// Counts the end of a request of this router, which may send another one instead.
    pub(crate) fn end(&mut self) {
        self.left = self.left.saturating_add(1);
    }

    /// Returns the room of a server as of `now`.
    pub(crate) fn renewed(now: Time, server: &BackendServer, state: RoomState) -> ServerRoom {
        let mut room = server.room;
        let slots = server.registration.slots.max(1);
        let requests = server.load(now).requests;
        // The routers whose loads are unknown have their share of the slots.
        let slots = (slots as usize * state.known).div_ceil(state.routers.count.max(1)) as u32;
        let free = |percent: u32| (slots * percent).div_ceil(100).saturating_sub(requests);
        let has_room = free(state.need.percent()) > 0;
        if room.renew_at.is_none_or(|at| at <= now) {
            room.renew_at = Some(now.plus_millis(RENEWAL_MS));
            room.left = part(now, free(ROOM_PERCENT), server.instance_hash, state);
        }
        let may_send = room.left > 0 || state.is_below_share || state.need == RoomNeed::Resumed;
        room.is_open = has_room && may_send;
        room
    }
}

impl Fleet {
    /// Renews the room that the servers of a service have for the next request of this router.
    pub fn renew_rooms(&mut self, now: Time, service: &str, routers: Routers, need: RoomNeed) {
        let servers = self.of_service(service).filter(|(_, s)| s.is_ready());
        let (mut own, mut slots) = (0, 0);
        for (_, server) in servers {
            own += server.own_load().requests;
            slots += server.registration.slots;
        }
        let known = self.reporters.counted(now, |_| true);
        let known = known.map_or(routers.count, |others| others as usize + 1);
        let state = RoomState {
            routers,
            known: known.min(routers.count).max(1),
            need,
            is_below_share: own < own_share(slots, routers.count),
        };
        let rooms = self.of_service(service);
        let rooms = rooms.map(|(key, server)| (key, ServerRoom::renewed(now, server, state)));
        for (key, room) in rooms.collect::<Vec<_>>() {
            if let Some(server) = self.get_mut(key) {
                server.room = room;
            }
        }
    }
}

/// Returns this router's part of the free room, which only those share whose loads are known,
/// rounded at random.
fn part(now: Time, free: u32, server: u64, state: RoomState) -> u32 {
    let random = policy::rendezvous_weight(server ^ now.0, state.routers.own_hash);
    let known = state.known as u64;
    u32::try_from((u64::from(free) + random % known) / known).unwrap_or(free)
}
