//! Stores that keep prompt parts beyond the engines' memories.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendServer;
use crate::Configuration;

/// How much longer a transfer between failure domains of a region takes.
const ACROSS_DOMAINS: u64 = 2;

/// A store of prompt parts that engines have read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixStore {
    /// Address that engines save to and fetch from.
    pub address: SocketAddr,
    /// Failure domain in which it stands.
    pub domain: Arc<str>,
    /// Speed of its link, over which transfers run one after another, in megabits a second.
    pub link_mbps: u64,
}

/// What happens to a prompt part at a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferKind {
    /// An engine sends it there.
    Save,
    /// An engine takes it from there.
    Fetch,
}

/// A prompt part on its way between an engine and a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Address of the store.
    pub store: SocketAddr,
    /// What happens there.
    pub kind: TransferKind,
    /// Time for which it takes the store's link, in milliseconds.
    pub link_ms: u32,
}

/// The stores, and which of them is near an engine.
#[derive(Clone, Copy, Debug)]
pub struct PrefixStores<'a> {
    /// Configuration that names them.
    pub configuration: Option<&'a Configuration>,
    /// Region of each failure domain.
    pub regions: &'a BTreeMap<Arc<str>, Arc<str>>,
}

impl<'a> PrefixStores<'a> {
    /// Returns the store that engines of a failure domain use: that of the domain,
    /// or else one of its region. Across regions a transfer takes longer than reading.
    pub fn near(&self, domain: &str) -> Option<&'a PrefixStore> {
        let region = self.region(domain);
        let stores = self.configuration?.prefix_stores();
        let near = stores.filter(|store| self.region(&store.domain) == region);
        near.min_by_key(|store| (&*store.domain != domain, store.address))
    }

    /// Returns a transfer of so many tokens between an engine and a store near it.
    pub fn transfer(
        &self,
        kind: TransferKind,
        engine: &BackendServer,
        store: &PrefixStore,
        tokens: u64,
    ) -> Transfer {
        let services = self.configuration.map(|c| &c.services);
        let spec = services.and_then(|services| services.get(&engine.registration.service));
        let bits = tokens * spec.map_or(0, |spec| spec.token_bytes) * 8;
        let bits_per_ms = (store.link_mbps * 1_000).max(1);
        let times = if engine.registration.domain == store.domain {
            1
        } else {
            ACROSS_DOMAINS
        };
        Transfer {
            store: store.address,
            kind,
            link_ms: u32::try_from(times * bits / bits_per_ms).unwrap_or(u32::MAX),
        }
    }

    fn region<'b>(&'b self, domain: &'b str) -> &'b str {
        self.regions.get(domain).map_or(domain, |region| region)
    }
}
