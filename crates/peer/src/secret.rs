//! The shared secret and its authentication codes.

use std::fmt;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// Length of an authentication code, in bytes.
pub const AUTH_CODE_BYTES: usize = 32;

/// The secret that all routers share, as an HMAC-SHA-256 key.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl Secret {
    /// Creates a key from a secret of any length.
    pub fn new(secret: &[u8]) -> Secret {
        Secret(Hmac::new_from_slice(secret).expect("HMAC takes a key of any length"))
    }

    /// Returns the authentication code of the concatenated `parts`.
    pub(crate) fn auth_code(&self, parts: &[&[u8]]) -> [u8; AUTH_CODE_BYTES] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Returns whether `code` is the authentication code of `parts`, compared
    /// in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], code: &[u8]) -> bool {
        self.mac(parts).verify_slice(code).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}
