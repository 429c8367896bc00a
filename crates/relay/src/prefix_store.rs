//! Prefix stores: services that keep prompt parts beyond the capacity of the engines' caches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendServer;
use crate::Configuration;

/// Factor by which a transfer between failure domains of a region takes longer.
const CROSS_DOMAIN_FACTOR: u64 = 2;

/// A store of prompt parts that engines have prefilled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixStore {
    /// Address to which engines save and from which they fetch.
    pub address: SocketAddr,
    /// Failure domain of the store.
    pub domain: Arc<str>,
    /// Bandwidth of its link, in megabits per second. Transfers use the link one after another.
    pub link_mbps: u64,
}

/// Direction of a transfer between an engine and a prefix store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferKind {
    /// The engine sends the part to the store.
    Save,
    /// The engine gets the part from the store.
    Fetch,
}

/// Transfer of a prompt part between an engine and a prefix store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Address of the prefix store.
    pub store: SocketAddr,
    /// Direction of the transfer.
    pub kind: TransferKind,
    /// Time for which the transfer occupies the store's link, in milliseconds.
    pub link_ms: u32,
}

/// The configured prefix stores and the regions of failure domains.
#[derive(Clone, Copy, Debug)]
pub struct PrefixStores<'a> {
    /// Configuration with the prefix stores, if one is in force.
    pub configuration: Option<&'a Configuration>,
    /// Region of each failure domain. A domain that isn't listed is a region of its own.
    pub regions: &'a BTreeMap<Arc<str>, Arc<str>>,
}

impl<'a> PrefixStores<'a> {
    /// Returns the prefix store that engines of a failure domain use: one of the same domain
    /// or else of the same region. A transfer between regions takes longer than prefill.
    pub fn near(&self, domain: &str) -> Option<&'a PrefixStore> {
        let region = self.region(domain);
        let stores = self.configuration?.prefix_stores();
        let near = stores.filter(|store| self.region(&store.domain) == region);
        near.min_by_key(|store| (&*store.domain != domain, store.address))
    }

    /// Returns the transfer of `tokens` tokens between an engine and a prefix store near it.
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
        let factor = if engine.registration.domain == store.domain {
            1
        } else {
            CROSS_DOMAIN_FACTOR
        };
        Transfer {
            store: store.address,
            kind,
            link_ms: u32::try_from(factor * bits / bits_per_ms).unwrap_or(u32::MAX),
        }
    }

    fn region<'b>(&'b self, domain: &'b str) -> &'b str {
        self.regions.get(domain).map_or(domain, |region| region)
    }
}
