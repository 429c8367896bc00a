//! Encodes and decodes hexadecimal text.

const DIGITS: &[u8; 16] = b"0123456789abcdef";

/// Returns bytes as lower-case hexadecimal.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    text
}

/// Decodes hexadecimal text, `None` if it is malformed.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits
        .chunks_exact(2)
        .map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?))
        .collect()
}

fn digit(ascii: u8) -> Option<u8> {
    let value = char::from(ascii).to_digit(16)?;
    u8::try_from(value).ok()
}
