//! Standard base64 with padding.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes `bytes`.
pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0u32, |word, b| word << 8 | u32::from(*b));
        let word = word << (8 * (3 - group.len()));
        for i in 0..4 {
            if i <= group.len() {
                out.push(ALPHABET[(word >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Decodes `text`; `None` if it is not base64.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let mut word = 0u32;
    let mut bits = 0;
    for byte in text.bytes().filter(|b| *b != b'=') {
        let digit = ALPHABET.iter().position(|a| *a == byte)? as u32;
        word = word << 6 | digit;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    Some(out)
}
