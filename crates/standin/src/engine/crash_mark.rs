//! Mark in a prompt that crashes an engine.

/// Marks a prompt that crashes an engine: `[crash]` the first stage, `[crash:N]` stage N from 0.
pub const CRASH_MARK: &str = "[crash";

/// Returns the stage that a prompt with [`CRASH_MARK`] crashes, counted from 0.
pub(super) fn crash_stage(prompt: &str) -> Option<usize> {
    let rest = &prompt[prompt.find(CRASH_MARK)? + CRASH_MARK.len()..];
    let digits: String =
        rest.trim_start_matches(':').chars().take_while(char::is_ascii_digit).collect();
    Some(digits.parse().unwrap_or(0))
}
