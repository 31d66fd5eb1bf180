//! Differences between two merged values.

use {json_patch::PatchOperation, serde_json::Value, std::fmt};

/// One difference.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// A value that only the second has.
    Added {
        /// JSON pointer of the value.
        pointer: String,
        /// The value.
        value: Value,
    },
    /// A value that only the first has.
    Removed {
        /// JSON pointer of the value.
        pointer: String,
    },
    /// A value that differs.
    Changed {
        /// JSON pointer of the value.
        pointer: String,
        /// Value of the first.
        from: Value,
        /// Value of the second.
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

/// Returns what leads from the first value to the second.
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
        // A diff holds no other operations.
        PatchOperation::Move(_) | PatchOperation::Copy(_) | PatchOperation::Test(_) => None,
    }
}
