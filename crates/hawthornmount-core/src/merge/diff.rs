//! Differences between two merged values.

use {json_patch::PatchOperation, serde_json::Value, std::fmt};

/// A difference between a first and a second value.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// A value that is present only in the second.
    Added {
        /// JSON pointer of the value.
        pointer: String,
        /// The value.
        value: Value,
    },
    /// A value that is present only in the first.
    Removed {
        /// JSON pointer of the value.
        pointer: String,
    },
    /// A value that is present in both and differs.
    Changed {
        /// JSON pointer of the value.
        pointer: String,
        /// Value in the first.
        from: Value,
        /// Value in the second.
        to: Value,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { pointer, value } => write!(f, "+ {pointer}: {value}"),
            Self::Removed { pointer } => write!(f, "- {pointer}"),
            Self::Changed { pointer, from, to } => write!(f, "~ {pointer}: {from} -> {to}"),
        }
    }
}

/// Returns the differences that turn the first value into the second.
pub fn diff(first: &Value, second: &Value) -> Vec<Difference> {
    let patch = json_patch::diff(first, second);
    patch.0.into_iter().filter_map(|operation| difference(first, operation)).collect()
}

fn difference(first: &Value, operation: PatchOperation) -> Option<Difference> {
    match operation {
        PatchOperation::Add(add) => {
            Some(Difference::Added { pointer: add.path.to_string(), value: add.value })
        }
        PatchOperation::Remove(remove) => {
            Some(Difference::Removed { pointer: remove.path.to_string() })
        }
        PatchOperation::Replace(replace) => {
            let pointer = replace.path.to_string();
            let from = first.pointer(&pointer).cloned().unwrap_or_default();
            Some(Difference::Changed { pointer, from, to: replace.value })
        }
        // `json_patch::diff` returns only additions, removals and replacements.
        PatchOperation::Move(_) | PatchOperation::Copy(_) | PatchOperation::Test(_) => None,
    }
}
