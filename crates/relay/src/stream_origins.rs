//! At which build streams began.
//!
//! A caller may take a stream up at any router, often because the one that served it was killed. So
//! that router notifies a few others of the build before it passes the first event on.

use std::collections::HashMap;
use std::collections::VecDeque;

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Build;

/// Time for which a stream's build is known after its first event, in milliseconds; longer than
/// a caller waits.
const KEPT_MS: u64 = 30_000;

/// Maximum number of streams that are known.
const MAX_STREAMS: usize = 20_000;

/// A stream, as the hash of the id of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// Returns the stream that began in response to the request `id`.
    pub fn new(id: &str) -> StreamId {
        StreamId(policy::name_hash(id))
    }

    /// Returns the hash by which the routers are chosen that record the stream.
    pub fn hash(self) -> u64 {
        self.0
    }
}

/// The build at which a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// The build.
    pub build: Build,
}

/// Where a stream may go on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamBuild {
    /// At any build, as no event has been passed on.
    #[default]
    Any,
    /// Only at this build.
    Only(Build),
    /// Nowhere, as it isn't certain which build wrote its events.
    Unknown,
}

impl StreamBuild {
    /// Returns whether the stream has begun, so that it can go on only where it began.
    pub fn is_bound(self) -> bool {
        self != StreamBuild::Any
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownStream {
    build: Build,
    /// Whether it began at this router.
    began_here: bool,
}

/// The builds of the streams that began at this router, or of which others have notified it.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    by_stream: HashMap<StreamId, KnownStream>,
    /// Streams in the order in which they were recorded, with the time until which they are kept.
    kept_until: VecDeque<(Time, StreamId)>,
}

impl StreamOrigins {
    /// Records a stream that begins at this router.
    pub fn begin(&mut self, now: Time, origin: StreamOrigin) {
        self.insert(now, origin, true);
    }

    /// Records a stream that began at another router.
    pub fn record(&mut self, now: Time, origin: StreamOrigin) {
        self.insert(now, origin, false);
    }

    /// Returns the build of a stream, if it is known.
    pub fn build(&self, stream: StreamId) -> Option<Build> {
        Some(self.by_stream.get(&stream)?.build)
    }

    /// Returns the streams that began at this router.
    pub fn begun_here(&self) -> Vec<StreamOrigin> {
        let streams = self.by_stream.iter();
        let here = streams.filter(|(_, known)| known.began_here);
        here.map(|(stream, known)| StreamOrigin {
            stream: *stream,
            build: known.build,
        })
        .collect()
    }

    fn insert(&mut self, now: Time, origin: StreamOrigin, began_here: bool) {
        self.remove_expired(now);
        let known = KnownStream {
            build: origin.build,
            began_here,
        };
        // The first event binds the stream; a later record is the same or wrong.
        if let std::collections::hash_map::Entry::Vacant(vacant) =
            self.by_stream.entry(origin.stream)
        {
            vacant.insert(known);
            let until = now.plus_millis(KEPT_MS);
            self.kept_until.push_back((until, origin.stream));
        }
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some((until, stream)) = self.kept_until.front().copied() {
            if until > now && self.kept_until.len() < MAX_STREAMS {
                return;
            }
            self.kept_until.pop_front();
            self.by_stream.remove(&stream);
        }
    }
}

/// What one router knows of the build of a stream that a caller takes up. While the routers that
/// serve a service know that it has only one build, they send each other nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamKnowledge {
    /// Its build, if the router has recorded the stream.
    pub recorded: Option<Build>,
    /// The only build that the service has had for as long as a stream can last, if the router has
    /// known the service's servers for so long.
    pub only: Option<Build>,
}

impl StreamKnowledge {
    /// Returns what a router knows that has known the service's servers for long enough if
    /// `is_history_known`, and has seen `builds` in that time.
    pub fn new(
        recorded: Option<Build>,
        builds: &[Build],
        is_history_known: bool,
    ) -> StreamKnowledge {
        let only = match builds {
            [only] if is_history_known => Some(*only),
            _ => None,
        };
        StreamKnowledge { recorded, only }
    }

    /// Returns the build at which the stream may go on, by this router's knowledge and that of
    /// others; none if it is unknown. `builds` are those that this router has seen.
    pub fn build(self, others: &[StreamKnowledge], builds: &[Build]) -> Option<Build> {
        let all = || others.iter().copied().chain([self]);
        let recorded = all().find_map(|knowledge| knowledge.recorded);
        let only = all().find_map(|knowledge| knowledge.only);
        recorded.or_else(|| only.filter(|only| builds == [*only]))
    }
}
