//! Deserialization of a merged value that goes on after an error, to report all of them at once.

use {
    super::node::join,
    crate::config::{Config, Finding},
    serde_json::Value,
    serde_path_to_error::{Path, Segment},
};

/// Maximum number of findings; decoding stops there.
const MAX_FINDINGS: usize = 200;

/// Deserializes a configuration.
///
/// # Errors
///
/// Returns a finding for each unknown or missing key and each value of a wrong type. After each
/// error, the faulty value is removed and the rest is deserialized again. If a key is missing, the
/// faulty value is the object that lacks it.
pub fn decode(value: &Value) -> Result<Config, Vec<Finding>> {
    let mut rest = value.clone();
    let mut findings = Vec::new();
    loop {
        match serde_path_to_error::deserialize(&rest) {
            Ok(config) if findings.is_empty() => return Ok(config),
            Ok(_) => return Err(findings),
            Err(error) => {
                let fault = Fault::new(error.path(), &error.inner().to_string());
                // Removing a required value causes a second error, that it is missing, at its path.
                let is_reported = |finding: &Finding| finding.path == fault.finding.path;
                if !findings.iter().any(is_reported) {
                    findings.push(fault.finding.clone());
                }
                if !remove(&mut rest, &fault.faulty_value) || findings.len() >= MAX_FINDINGS {
                    return Err(findings);
                }
            }
        }
    }
}

/// A deserialization error.
struct Fault {
    finding: Finding,
    /// JSON pointer of the value to remove before the rest is deserialized again.
    faulty_value: String,
}

impl Fault {
    fn new(path: &Path, message: &str) -> Self {
        let error_pointer = pointer(path);
        if let Some(key) = quoted_name(message, "unknown field") {
            // The error's path may already end with the unknown key.
            let pointer = if error_pointer.ends_with(&join("", key)) {
                error_pointer
            } else {
                join(&error_pointer, key)
            };
            let known = message.split_once("expected ").map_or("", |(_, known)| known);
            let remedy = format!("remove it or use {known}");
            return Self::finding(&pointer, "is an unknown key", &remedy, pointer.clone());
        }
        if let Some(key) = quoted_name(message, "missing field") {
            let pointer = join(&error_pointer, key);
            return Self::finding(&pointer, "is missing", "give a value", error_pointer);
        }
        Self::finding(&error_pointer, message, "correct the value", error_pointer.clone())
    }

    fn finding(pointer: &str, what: &str, remedy: &str, faulty_value: String) -> Self {
        let finding = Finding { path: pointer.into(), what: what.into(), remedy: remedy.into() };
        Self { finding, faulty_value }
    }
}

/// Returns the name between backticks in a message that starts with `kind`.
fn quoted_name<'a>(message: &'a str, kind: &str) -> Option<&'a str> {
    message.strip_prefix(kind)?.split('`').nth(1)
}

/// Converts the path of an error to a JSON pointer.
fn pointer(path: &Path) -> String {
    let mut pointer = String::new();
    for segment in path {
        match segment {
            Segment::Map { key } => pointer = join(&pointer, key),
            Segment::Seq { index } => pointer = join(&pointer, &index.to_string()),
            Segment::Enum { .. } | Segment::Unknown => {}
        }
    }
    pointer
}

/// Removes the value at a JSON pointer. Returns whether it was removed; the root never is.
fn remove(value: &mut Value, pointer: &str) -> bool {
    let Some((parent, token)) = pointer.rsplit_once('/') else { return false };
    let token = token.replace("~1", "/").replace("~0", "~");
    match value.pointer_mut(parent) {
        Some(Value::Object(members)) => members.remove(&token).is_some(),
        Some(Value::Array(items)) => match token.parse::<usize>() {
            Ok(index) if index < items.len() => {
                items.remove(index);
                true
            }
            _ => false,
        },
        _ => false,
    }
}
