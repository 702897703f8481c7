//! Findings of checks on settings, configuration and scenarios, collected with their place.

use std::fmt;

/// One fault of a JSON document, with the JSON pointer (RFC 6901) of its place.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// JSON pointer of the faulty value; empty for the whole document.
    pub pointer: String,
    /// What is wrong, and what would be accepted.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pointer = if self.pointer.is_empty() { "/" } else { &self.pointer };
        write!(f, "{pointer}: {}", self.text)
    }
}

/// Collects findings below a current place, so that all are reported together.
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

    /// Returns whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns `value` when nothing was found.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by place.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Vec<Finding>> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort();
        Err(self.list)
    }
}

/// Escapes one reference token of a JSON pointer.
pub fn pointer_token(token: &str) -> String {
    token.replace('~', "~0").replace('/', "~1")
}
