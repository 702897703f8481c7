//! Reads typed fields of JSON objects and collects all findings.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde_json::Map;
use serde_json::Value;

use crate::finding::pointer_token;
use crate::finding::Findings;
use crate::name::is_valid_name;

/// Reads the fields of one JSON object and reports missing, invalid and unknown ones.
#[derive(Debug)]
pub struct Fields<'a> {
    map: Option<&'a Map<String, Value>>,
    /// JSON pointer of the object.
    at: String,
    /// Fields that were requested, which are the known ones.
    seen: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Creates a reader of `value`, whose JSON pointer is `at`; adds a finding if it is no object.
    pub fn new(value: &'a Value, at: &str, findings: &mut Findings) -> Self {
        let map = value.as_object();
        findings.check(map.is_some(), at, || "must be an object".to_owned());
        Self { map, at: at.to_owned(), seen: Vec::new() }
    }

    /// Returns the JSON pointer of a field.
    pub fn field_pointer(&self, field: &str) -> String {
        format!("{}/{}", self.at, pointer_token(field))
    }

    /// Returns the JSON value of a field and marks the field as known.
    pub fn value(&mut self, field: &'static str) -> Option<&'a Value> {
        self.seen.push(field);
        self.map.and_then(|map| map.get(field))
    }

    /// Returns a required string, or an empty one after adding a finding.
    pub fn text(&mut self, field: &'static str, findings: &mut Findings) -> String {
        match self.value(field) {
            Some(Value::String(text)) => text.clone(),
            Some(_) => self.default_with_finding(field, "must be a string", findings),
            None => self.default_with_finding(field, "is required", findings),
        }
    }

    /// Returns a required name; adds a finding if it is not valid (see [`is_valid_name`]).
    pub fn name(&mut self, field: &'static str, findings: &mut Findings) -> String {
        let text = self.text(field, findings);
        findings.check(text.is_empty() || is_valid_name(&text), &self.field_pointer(field), || {
            "a name has 1 to 64 of a-z, 0-9, '-', '_' and '.'".to_owned()
        });
        text
    }

    /// Returns a required IP address and port, or `0.0.0.0:0` after adding a finding.
    pub fn address(&mut self, field: &'static str, findings: &mut Findings) -> SocketAddr {
        let text = self.text(field, findings);
        if let Ok(address) = text.parse() {
            return address;
        }
        if !text.is_empty() {
            findings.add(self.field_pointer(field), "must be an IP address and a port");
        }
        SocketAddr::from(([0, 0, 0, 0], 0))
    }

    /// Returns a whole number within `range`, or `default` when the field is absent.
    pub fn number(
        &mut self,
        field: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> u64 {
        let Some(value) = self.value(field) else {
            return default;
        };
        if let Some(number) = value.as_u64().filter(|number| range.contains(number)) {
            return number;
        }
        let text = format!("must be a whole number from {} to {}", range.start(), range.end());
        findings.add(self.field_pointer(field), text);
        default
    }

    /// Returns a boolean, or `default` when the field is absent.
    pub fn flag(&mut self, field: &'static str, default: bool, findings: &mut Findings) -> bool {
        match self.value(field) {
            None => default,
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                findings.add(self.field_pointer(field), "must be true or false");
                default
            }
        }
    }

    /// Returns the elements of an array with their JSON pointers; an absent array is empty.
    pub fn list(
        &mut self,
        field: &'static str,
        findings: &mut Findings,
    ) -> Vec<(String, &'a Value)> {
        match self.value(field) {
            None => Vec::new(),
            Some(Value::Array(list)) => {
                let field_pointer = self.field_pointer(field);
                list.iter()
                    .enumerate()
                    .map(|(i, value)| (format!("{field_pointer}/{i}"), value))
                    .collect()
            }
            Some(_) => {
                findings.add(self.field_pointer(field), "must be an array");
                Vec::new()
            }
        }
    }

    /// Adds a finding for each field that was never requested.
    pub fn finish(self, findings: &mut Findings) {
        let Some(map) = self.map else {
            return;
        };
        for field in map.keys().filter(|field| !self.seen.contains(&field.as_str())) {
            findings.add(self.field_pointer(field), "unknown field");
        }
    }

    /// Returns the default value and adds a finding for `field`; adds none if the value that should
    /// contain the field is no object, which is a finding already.
    fn default_with_finding<T: Default>(
        &self,
        field: &str,
        text: &str,
        findings: &mut Findings,
    ) -> T {
        if self.map.is_some() {
            findings.add(self.field_pointer(field), text);
        }
        T::default()
    }
}
