//! Stores that keep prompt parts beyond the engines' memories.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Configuration;

/// A store of prompt parts that engines have read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixStore {
    /// Address that engines save to and fetch from.
    pub address: SocketAddr,
    /// Failure domain in which it stands.
    pub domain: Arc<str>,
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

    fn region<'b>(&'b self, domain: &'b str) -> &'b str {
        self.regions.get(domain).map_or(domain, |region| region)
    }
}
