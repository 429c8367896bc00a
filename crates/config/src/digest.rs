//! SHA-256 of file contents.

use sha2::Digest;
use sha2::Sha256;

/// Returns the SHA-256 of `content` in lower-case hexadecimal, as in [`crate::FileEntry::sha256`].
pub fn sha256_hex(content: &[u8]) -> String {
    Sha256::digest(content)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
