//! Limits on the buffers of requests and responses: on their sum, on each service and on large ones.

use crate::held_for::HeldFor;
use crate::service_key::ServiceKey;
use crate::service_usage::ServiceBytes;

/// Share of the buffers that requests may take, in percent. The rest is for the responses to accepted
/// requests.
const REQUESTS_PERCENT: u64 = 70;

/// Fill level of the buffers up to which requests are accepted, and up to which responses are read, in percent.
/// The level for requests is higher, so that responses don't keep all of them out.
const ACCEPTED_PERCENT: u64 = 96;
const RESPONSES_PERCENT: u64 = 92;

/// Share of the buffers, and of those for requests, that one service may take, in percent. The rest is left to
/// the other services.
const SERVICE_PERCENT: u64 = 85;

/// Share of the buffers that all large requests may take together, and likewise all large responses, in
/// percent. A single one may take more.
const LARGE_PERCENT: u64 = 40;

/// Share of the buffers that a single response may take, in percent.
const SINGLE_PERCENT: u64 = 75;

/// What is buffered at a port when one of its connections needs more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Buffered {
    /// Bytes of requests and responses.
    pub sum: u64,
    /// Bytes of requests.
    pub requests: u64,
    /// Service of the connection's request and what is buffered for that service, if it is known.
    pub service: Option<(ServiceKey, ServiceBytes)>,
    /// Bytes of the connection's own request or response.
    pub own: u64,
}

/// Limit that more bytes would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// That on all requests or responses.
    Sum,
    /// That on one service.
    Service(ServiceKey),
    /// That on large requests or responses.
    Large(HeldFor),
}

/// Limits on the buffers of a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Bytes of requests and responses.
    pub bytes: u64,
}

impl BufferLimits {
    /// Returns whether a response of `bytes` bytes can never be held, whatever is closed.
    pub fn is_too_large(self, bytes: u64) -> bool {
        bytes > self.percent(SINGLE_PERCENT)
    }

    /// Returns which limit `bytes` more bytes of a request or response would exceed, none if they fit.
    /// `large_others` returns the bytes of the other large ones.
    pub fn shortage<F>(
        self,
        buffered: Buffered,
        bytes: u64,
        held_for: HeldFor,
        large_others: F,
    ) -> Option<Shortage>
    where
        F: FnOnce() -> u64,
    {
        if self.exceeds_sum(buffered, bytes, held_for) {
            return Some(Shortage::Sum);
        }
        if let Some((service, of_service)) = buffered.service {
            if self.exceeds_service(of_service, bytes, held_for) {
                return Some(Shortage::Service(service));
            }
        }
        let own = buffered.own.saturating_add(bytes);
        if own <= held_for.small_bytes() {
            return None;
        }
        let others = large_others();
        let fits = others == 0 || others.saturating_add(own) <= self.percent(LARGE_PERCENT);
        (!fits).then_some(Shortage::Large(held_for))
    }

    fn exceeds_sum(self, buffered: Buffered, bytes: u64, held_for: HeldFor) -> bool {
        let sum = buffered.sum.saturating_add(bytes);
        match held_for {
            HeldFor::Request => {
                let requests = buffered.requests.saturating_add(bytes);
                sum > self.percent(ACCEPTED_PERCENT) || requests > self.percent(REQUESTS_PERCENT)
            }
            HeldFor::Response => sum > self.percent(RESPONSES_PERCENT),
        }
    }

    fn exceeds_service(self, of_service: ServiceBytes, bytes: u64, held_for: HeldFor) -> bool {
        let sum = of_service.sum.saturating_add(bytes);
        let requests = of_service.requests.saturating_add(bytes);
        let most_requests = self.percent(REQUESTS_PERCENT) / 100 * SERVICE_PERCENT;
        let exceeds_requests = held_for == HeldFor::Request && requests > most_requests;
        exceeds_requests || sum > self.percent(SERVICE_PERCENT)
    }

    fn percent(self, percent: u64) -> u64 {
        self.bytes / 100 * percent
    }
}
