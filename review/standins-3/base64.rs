//! Standard base64 with padding, in which the store carries values.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes `bytes`.
pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let index = (word >> (18 - 6 * i) & 63) as usize;
            out.push(if i <= chunk.len() { ALPHABET[index] as char } else { '=' });
        }
    }
    out
}

/// Decodes `text`; returns `None` if it has other characters.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.trim_end_matches('=').bytes() {
        let digit = ALPHABET.iter().position(|&c| c == byte)?;
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    Some(out)
}
