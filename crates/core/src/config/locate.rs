//! Finds the JSON pointers of the errors that prevent a JSON value from being deserialized.
//!
//! Deserialization reports only the first error and not its JSON pointer. The pointer is found by
//! trial: the error changes when the faulty value is removed or the missing member is inserted.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::finding::pointer_token;
use crate::finding::Findings;

/// Maximum number of errors that are reported for one value.
const MAX_ERRORS_PER_VALUE: usize = 16;

/// Deserializes `value` as a `T`, or adds its errors to `findings`.
///
/// `at` is the JSON pointer of `value`, to which the pointers of the errors are appended.
pub fn read_located<T: DeserializeOwned>(
    at: &str,
    value: &Value,
    findings: &mut Findings,
) -> Option<T> {
    let error = match T::deserialize(value) {
        Ok(read) => return Some(read),
        Err(e) => e.to_string(),
    };
    collect_errors::<T>(at, value.clone(), error, findings);
    None
}

/// Adds the errors of `value` to `findings`, removing each faulty value to find the next error.
fn collect_errors<T: DeserializeOwned>(
    at: &str,
    mut value: Value,
    mut error: String,
    findings: &mut Findings,
) {
    let mut removed: Vec<String> = Vec::new();
    for _ in 0..MAX_ERRORS_PER_VALUE {
        if let Some(member) = missing_member(&error) {
            if !removed.iter().any(|pointer| pointer.rsplit('/').next() == Some(member)) {
                let pointer = missing_member_pointer::<T>(&value, member, &error);
                findings.add(format!("{at}{pointer}"), error);
            }
            return;
        }
        let pointer = faulty_pointer::<T>(&value, &error);
        findings.add(format!("{at}{pointer}"), error);
        if pointer.is_empty() || !remove_value(&mut value, &pointer) {
            return;
        }
        removed.push(pointer);
        match read::<T>(&value) {
            Ok(()) => return,
            Err(next) => error = next,
        }
    }
}

fn read<T: DeserializeOwned>(value: &Value) -> Result<(), String> {
    T::deserialize(value).map(|_| ()).map_err(|e| e.to_string())
}

/// Returns the name of the member whose absence serde reported.
fn missing_member(error: &str) -> Option<&str> {
    error.strip_prefix("missing field `")?.split('`').next()
}

/// Returns the pointers of the members or elements of the value at `pointer`.
fn children(value: &Value, pointer: &str) -> Vec<String> {
    match value.pointer(pointer) {
        Some(Value::Object(members)) => {
            members.keys().map(|key| format!("{pointer}/{}", pointer_token(key))).collect()
        }
        Some(Value::Array(list)) => (0..list.len()).map(|i| format!("{pointer}/{i}")).collect(),
        _ => Vec::new(),
    }
}

/// Returns the pointer of the deepest value whose removal changes the error.
fn faulty_pointer<T: DeserializeOwned>(value: &Value, error: &str) -> String {
    let mut pointer = String::new();
    loop {
        let changes_error = |child: &String| {
            let mut trial = value.clone();
            remove_value(&mut trial, child) && read::<T>(&trial).err().as_deref() != Some(error)
        };
        match children(value, &pointer).into_iter().find(changes_error) {
            Some(child) => pointer = child,
            None => return pointer,
        }
    }
}

/// Returns the pointer of the deepest object that accepts `member`, whose absence was reported.
fn missing_member_pointer<T: DeserializeOwned>(value: &Value, member: &str, error: &str) -> String {
    let unknown = format!("unknown field `{member}`");
    let mut found = String::new();
    let mut pending = vec![String::new()];
    while let Some(pointer) = pending.pop() {
        pending.extend(children(value, &pointer));
        let mut trial = value.clone();
        let Some(Value::Object(members)) = trial.pointer_mut(&pointer) else { continue };
        if members.insert(member.to_owned(), Value::Null).is_some() {
            continue;
        }
        let next = read::<T>(&trial).err().unwrap_or_default();
        let accepted = next != error && !next.starts_with(&unknown);
        if accepted && depth(&pointer) > depth(&found) {
            found = pointer;
        }
    }
    found
}

fn depth(pointer: &str) -> usize {
    pointer.matches('/').count()
}

fn remove_value(value: &mut Value, pointer: &str) -> bool {
    let Some((parent, token)) = pointer.rsplit_once('/') else { return false };
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
