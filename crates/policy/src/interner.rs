//! Interned names.

use std::collections::HashMap;
use std::sync::Arc;

/// Key of an interned name, valid for the lifetime of the interner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct NameKey(pub(crate) u32);

/// Assigns a small key to each name.
#[derive(Debug, Default)]
pub(crate) struct Interner {
    names: Vec<Arc<str>>,
    keys: HashMap<Arc<str>, NameKey>,
}

impl Interner {
    /// Returns the key of `name`, adding the name if it is new.
    pub(crate) fn intern(&mut self, name: &str) -> NameKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = NameKey(u32::try_from(self.names.len()).expect("fewer than 2^32 names"));
        let name: Arc<str> = name.into();
        self.names.push(name.clone());
        self.keys.insert(name, key);
        key
    }

    /// Returns the key of `name` if it was interned.
    pub(crate) fn find(&self, name: &str) -> Option<NameKey> {
        self.keys.get(name).copied()
    }

    /// Returns the name of `key`.
    pub(crate) fn name(&self, key: NameKey) -> &Arc<str> {
        &self.names[key.0 as usize]
    }
}
