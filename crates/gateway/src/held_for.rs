//! What buffered bytes are held for.

/// Bytes up to which a request and a response are small.
const SMALL_REQUEST_BYTES: u64 = 128 << 10;
const SMALL_RESPONSE_BYTES: u64 = 64 << 10;

/// What buffered bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldFor {
    /// A request's body, heads and state.
    Request,
    /// What the caller has yet to take of its response.
    Response,
}

impl HeldFor {
    /// Returns the bytes up to which it is small.
    pub fn small_bytes(self) -> u64 {
        match self {
            HeldFor::Request => SMALL_REQUEST_BYTES,
            HeldFor::Response => SMALL_RESPONSE_BYTES,
        }
    }
}
