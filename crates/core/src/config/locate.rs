//! Finds the places of the faults that keep a JSON value from being read into a type.
//!
//! The reader of a type reports one fault without its place. The place is found by trial: taking
//! the faulty part away, or putting a missing member in, changes the report.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::finding::pointer_token;
use crate::finding::Findings;

/// Most faults reported for one value.
const MAX_FAULTS: usize = 16;

/// Reads `value` as a `T`; faults are added to `findings` with their places below `at`.
pub fn read_located<T: DeserializeOwned>(
    at: &str,
    value: &Value,
    findings: &mut Findings,
) -> Option<T> {
    let fault = match T::deserialize(value) {
        Ok(read) => return Some(read),
        Err(e) => e.to_string(),
    };
    collect::<T>(at, value.clone(), fault, findings);
    None
}

fn collect<T: DeserializeOwned>(
    at: &str,
    mut value: Value,
    mut fault: String,
    findings: &mut Findings,
) {
    let mut removed: Vec<String> = Vec::new();
    for _ in 0..MAX_FAULTS {
        if let Some(member) = missing_member(&fault) {
            if !removed.iter().any(|place| place.rsplit('/').next() == Some(member)) {
                let place = missing_place::<T>(&value, member, &fault);
                findings.add(format!("{at}{place}"), fault);
            }
            return;
        }
        let place = faulty_place::<T>(&value, &fault);
        findings.add(format!("{at}{place}"), fault);
        if place.is_empty() || !take(&mut value, &place) {
            return;
        }
        removed.push(place);
        match read::<T>(&value) {
            Ok(()) => return,
            Err(next) => fault = next,
        }
    }
}

fn read<T: DeserializeOwned>(value: &Value) -> Result<(), String> {
    T::deserialize(value).map(|_| ()).map_err(|e| e.to_string())
}

fn missing_member(fault: &str) -> Option<&str> {
    fault.strip_prefix("missing field `")?.split('`').next()
}

/// Returns the pointers of the members or elements of the value at `place`.
fn children(value: &Value, place: &str) -> Vec<String> {
    match value.pointer(place) {
        Some(Value::Object(members)) => {
            members.keys().map(|key| format!("{place}/{}", pointer_token(key))).collect()
        }
        Some(Value::Array(list)) => (0..list.len()).map(|i| format!("{place}/{i}")).collect(),
        _ => Vec::new(),
    }
}

/// Returns the deepest place whose removal changes the report.
fn faulty_place<T: DeserializeOwned>(value: &Value, fault: &str) -> String {
    let mut place = String::new();
    loop {
        let matters = |child: &String| {
            let mut trial = value.clone();
            take(&mut trial, child) && read::<T>(&trial).err().as_deref() != Some(fault)
        };
        match children(value, &place).into_iter().find(matters) {
            Some(child) => place = child,
            None => return place,
        }
    }
}

/// Returns the deepest object that accepts `member`, whose absence was reported.
fn missing_place<T: DeserializeOwned>(value: &Value, member: &str, fault: &str) -> String {
    let unknown = format!("unknown field `{member}`");
    let mut found = String::new();
    let mut open = vec![String::new()];
    while let Some(place) = open.pop() {
        open.extend(children(value, &place));
        let mut trial = value.clone();
        let Some(Value::Object(members)) = trial.pointer_mut(&place) else { continue };
        if members.insert(member.to_owned(), Value::Null).is_some() {
            continue;
        }
        let next = read::<T>(&trial).err().unwrap_or_default();
        let accepted = next != fault && !next.starts_with(&unknown);
        if accepted && depth(&place) > depth(&found) {
            found = place;
        }
    }
    found
}

fn depth(place: &str) -> usize {
    place.matches('/').count()
}

fn take(value: &mut Value, place: &str) -> bool {
    let Some((parent, token)) = place.rsplit_once('/') else { return false };
    match value.pointer_mut(parent) {
        Some(Value::Object(members)) => {
            let key = token.replace("~1", "/").replace("~0", "~");
            members.remove(&key).is_some()
        }
        Some(Value::Array(list)) => match token.parse::<usize>() {
            Ok(i) if i < list.len() => {
                list.remove(i);
                true
            }
            _ => false,
        },
        _ => false,
    }
}
