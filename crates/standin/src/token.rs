//! The function that the stand-in models compute.
//!
//! A token depends on the model, the prompt, all tokens before it and each layer in order, so that
//! a layer that is missing, repeated, out of order or of another version gives another token.

use yuccanotch_core::digest::fast_hash;

const SYLLABLES: [&str; 32] = [
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
    "ma", "me", "mi", "mo", "na", "ne", "ni", "no", "ra", "re", "ri", "ro", "sa", "se", "si", "so",
];
const MIN_ANSWER_TOKENS: u64 = 8;
const MAX_ANSWER_TOKENS: u64 = 64;

/// Returns the hash of two values, in order.
fn hash_pair(a: u64, b: u64) -> u64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&a.to_le_bytes());
    buf[8..].copy_from_slice(&b.to_le_bytes());
    fast_hash(&buf)
}

/// Returns the context of an answer before its first token.
pub(crate) fn initial_context(model: &str, prompt: &str) -> u64 {
    hash_pair(fast_hash(model.as_bytes()), fast_hash(prompt.as_bytes()))
}

/// Returns the context after one more token.
pub(crate) fn extend_context(context: u64, token: &str) -> u64 {
    hash_pair(context, fast_hash(token.as_bytes()))
}

/// Returns the activation after one more layer.
pub(crate) fn apply_layer(activation: u64, version_hash: u64, layer: u16) -> u64 {
    hash_pair(activation, version_hash ^ (u64::from(layer) << 48))
}

/// Returns the hash of a version's name, as passed to [`apply_layer`].
pub(crate) fn version_hash(version: &str) -> u64 {
    fast_hash(version.as_bytes())
}

/// Returns the token for the activation after the last layer.
pub(crate) fn token_text(activation: u64) -> String {
    let mut token = String::with_capacity(8);
    token.push(' ');
    for i in 0..3 {
        let at = (activation >> (5 * i)) as usize % SYLLABLES.len();
        token.push_str(SYLLABLES[at]);
    }
    token
}

/// Returns the tokens of the answer to `prompt` when nothing limits its length.
pub fn answer_len(prompt: &str) -> u32 {
    let span = MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS + 1;
    let len = MIN_ANSWER_TOKENS + fast_hash(prompt.as_bytes()) % span;
    u32::try_from(len).unwrap_or(u32::MAX)
}

/// Returns the whole answer that a model of `layers` layers gives to `prompt`.
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
