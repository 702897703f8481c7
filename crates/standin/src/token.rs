//! The deterministic function that the stand-in models compute instead of inference.
//!
//! A token depends on the model, the prompt, all earlier tokens and each layer in order. A layer
//! that is missing, repeated, out of order or of another version therefore changes the token.

use yuccanotch_core::digest::fast_hash;

const SYLLABLES: [&str; 32] = [
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
    "ma", "me", "mi", "mo", "na", "ne", "ni", "no", "ra", "re", "ri", "ro", "sa", "se", "si", "so",
];
const MIN_ANSWER_TOKENS: u64 = 8;
const MAX_ANSWER_TOKENS: u64 = 64;

/// Returns a hash of two values that depends on their order.
fn hash_pair(a: u64, b: u64) -> u64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&a.to_le_bytes());
    buf[8..].copy_from_slice(&b.to_le_bytes());
    fast_hash(&buf)
}

/// Returns the context hash of an answer before its first token.
pub(crate) fn initial_context(model: &str, prompt: &str) -> u64 {
    hash_pair(fast_hash(model.as_bytes()), fast_hash(prompt.as_bytes()))
}

/// Returns the context hash after one more token.
pub(crate) fn extend_context(context: u64, token: &str) -> u64 {
    hash_pair(context, fast_hash(token.as_bytes()))
}

/// Returns the activation hash after one more layer.
pub(crate) fn apply_layer(activation: u64, version_hash: u64, layer: u16) -> u64 {
    hash_pair(activation, version_hash ^ (u64::from(layer) << 48))
}

/// Returns the hash of a version's name, for use in [`apply_layer`].
pub(crate) fn version_hash(version: &str) -> u64 {
    fast_hash(version.as_bytes())
}

/// Returns the text of the token for the activation after the last layer.
pub(crate) fn token_text(activation: u64) -> String {
    let mut token = String::with_capacity(8);
    token.push(' ');
    for i in 0..3 {
        let at = (activation >> (5 * i)) as usize % SYLLABLES.len();
        token.push_str(SYLLABLES[at]);
    }
    token
}

/// Returns the number of tokens in the answer to `prompt` without a token limit.
pub fn answer_len(prompt: &str) -> u32 {
    let span = MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS + 1;
    let len = MIN_ANSWER_TOKENS + fast_hash(prompt.as_bytes()) % span;
    u32::try_from(len).unwrap_or(u32::MAX)
}

/// Returns all tokens of the answer that a model of `layers` layers gives to `prompt`, at most
/// `max_tokens` of them.
pub fn expected_answer(
    model: &str,
    version: &str,
    layers: u16,
    prompt: &str,
    max_tokens: u32,
) -> Vec<String> {
    let version = version_hash(version);
    let mut context = initial_context(model, prompt);
    let mut answer = Vec::new();
    for _ in 0..answer_len(prompt).min(max_tokens) {
        let activation = (0..layers).fold(context, |state, l| apply_layer(state, version, l));
        let token = token_text(activation);
        context = extend_context(context, &token);
        answer.push(token);
    }
    answer
}
