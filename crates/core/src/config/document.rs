//! A declaration as a JSON object of sections, each of which is an object of named entries.

use std::collections::BTreeMap;

use serde_json::Map;
use serde_json::Value;

use crate::finding::pointer_token;
use crate::finding::Finding;

/// The entries of one section by name, as unchecked JSON.
pub type Section = Map<String, Value>;

/// A declaration as JSON, before it is deserialized into [`crate::config::Declaration`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Document {
    sections: BTreeMap<String, Section>,
}

impl Document {
    /// Creates a document without sections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the sections by name.
    pub fn sections(&self) -> &BTreeMap<String, Section> {
        &self.sections
    }

    /// Adds entries to a section, which is created if it does not exist.
    pub fn extend(&mut self, section: &str, entries: Section) {
        self.sections.entry(section.to_owned()).or_default().extend(entries);
    }

    /// Returns the document as one JSON value.
    pub fn to_value(&self) -> Value {
        let section =
            |(name, entries): (&String, &Section)| (name.clone(), Value::Object(entries.clone()));
        Value::Object(self.sections.iter().map(section).collect())
    }

    /// Returns the document changed by a JSON merge patch (RFC 7396).
    ///
    /// # Errors
    ///
    /// Returns a finding for the result or each of its members that is not an object.
    pub fn merged(&self, patch: &Value) -> Result<Self, Vec<Finding>> {
        let mut value = self.to_value();
        json_patch::merge(&mut value, patch);
        Self::try_from(value)
    }
}

impl TryFrom<Value> for Document {
    type Error = Vec<Finding>;

    fn try_from(value: Value) -> Result<Self, Self::Error> {
        let Value::Object(members) = value else {
            let text = "must be an object".to_owned();
            return Err(vec![Finding { pointer: String::new(), text }]);
        };
        let mut document = Self::new();
        let mut findings = Vec::new();
        for (name, member) in members {
            match member {
                Value::Object(entries) if entries.is_empty() => {}
                Value::Object(entries) => document.extend(&name, entries),
                _ => findings.push(Finding {
                    pointer: format!("/{}", pointer_token(&name)),
                    text: "must be an object of named entries".to_owned(),
                }),
            }
        }
        if findings.is_empty() {
            Ok(document)
        } else {
            Err(findings)
        }
    }
}
