//! Every place at which a merged value does not have the form of a configuration.

use {
    super::node::join,
    crate::config::{Config, Finding},
    serde_json::Value,
    serde_path_to_error::{Path, Segment},
};

/// Most findings of one run.
const MAX_FINDINGS: usize = 200;

/// Reads a value as a configuration.
///
/// # Errors
///
/// Returns all unknown keys and values of a wrong type: after each, the value is left out and the
/// rest is read again.
pub fn decode(value: &Value) -> Result<Config, Vec<Finding>> {
    let mut rest = value.clone();
    let mut findings = Vec::new();
    loop {
        match serde_path_to_error::deserialize(&rest) {
            Ok(config) if findings.is_empty() => return Ok(config),
            Ok(_) => return Err(findings),
            Err(error) => {
                let wrong = Wrong::new(error.path(), &error.inner().to_string());
                // A value that was left out is missing afterwards.
                let is_known = |finding: &Finding| finding.path == wrong.finding.path;
                if !findings.iter().any(is_known) {
                    findings.push(wrong.finding.clone());
                }
                if !remove(&mut rest, &wrong.leave_out) || findings.len() >= MAX_FINDINGS {
                    return Err(findings);
                }
            }
        }
    }
}

struct Wrong {
    finding: Finding,
    /// Pointer of the value without which the rest can be read.
    leave_out: String,
}

impl Wrong {
    fn new(path: &Path, message: &str) -> Self {
        let at = pointer(path);
        if let Some(key) = quoted(message, "unknown field") {
            // The path may end with the unknown key already.
            let pointer = if at.ends_with(&join("", key)) { at } else { join(&at, key) };
            let known = message.split_once("expected ").map_or("", |(_, known)| known);
            let remedy = format!("remove it or use {known}");
            return Self::finding(&pointer, "is an unknown key", &remedy, pointer.clone());
        }
        if let Some(key) = quoted(message, "missing field") {
            let pointer = join(&at, key);
            return Self::finding(&pointer, "is missing", "give a value", at);
        }
        Self::finding(&at, message, "correct the value", at.clone())
    }

    fn finding(pointer: &str, what: &str, remedy: &str, leave_out: String) -> Self {
        let finding = Finding { path: pointer.into(), what: what.into(), remedy: remedy.into() };
        Self { finding, leave_out }
    }
}

fn quoted<'a>(message: &'a str, kind: &str) -> Option<&'a str> {
    message.strip_prefix(kind)?.split('`').nth(1)
}

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

/// Removes the value at a pointer; the whole document can't be removed.
fn remove(value: &mut Value, pointer: &str) -> bool {
    let Some((parent, token)) = pointer.rsplit_once('/') else { return false };
    let token = token.replace("~1", "/").replace("~0", "~");
    match value.pointer_mut(parent) {
        Some(Value::Object(members)) => members.remove(&token).is_some(),
        Some(Value::Array(items)) => match token.parse::<usize>() {
            Ok(at) if at < items.len() => {
                items.remove(at);
                true
            }
            _ => false,
        },
        _ => false,
    }
}
