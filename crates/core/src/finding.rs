//! Findings of the checks on settings, configuration and scenarios, with their JSON pointers.

use std::fmt;

/// One error in a JSON document, with the JSON pointer (RFC 6901) of the invalid value.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// JSON pointer of the invalid value; empty for the whole document.
    pub pointer: String,
    /// Description of the error, and of what would be accepted.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pointer = if self.pointer.is_empty() { "/" } else { &self.pointer };
        write!(f, "{pointer}: {}", self.text)
    }
}

/// Collects findings, so that all of them are reported together.
#[derive(Debug, Default)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding at `pointer`.
    pub fn add(&mut self, pointer: impl Into<String>, text: impl Into<String>) {
        self.list.push(Finding { pointer: pointer.into(), text: text.into() });
    }

    /// Adds a finding at `pointer` unless `ok` holds.
    pub fn check(&mut self, ok: bool, pointer: &str, text: impl FnOnce() -> String) {
        if !ok {
            self.add(pointer, text());
        }
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by JSON pointer.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Vec<Finding>> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort();
        Err(self.list)
    }
}

/// Escapes `~` and `/` in one reference token of a JSON pointer.
pub fn pointer_token(token: &str) -> String {
    token.replace('~', "~0").replace('/', "~1")
}
