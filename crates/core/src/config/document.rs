//! A declaration as a JSON document of sections, each a map of named entries.

use std::collections::BTreeMap;

use serde_json::Map;
use serde_json::Value;

use crate::finding::pointer_token;
use crate::finding::Finding;

/// Entries of one section by name, as the operators wrote them.
pub type Section = Map<String, Value>;

/// A declaration before it is read into types.
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

    /// Adds the entries of a chunk to a section.
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
    /// Returns findings when the result is not an object of objects.
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
