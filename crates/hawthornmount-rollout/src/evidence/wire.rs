//! Wire format of the wealth: single precision, and empty before the first bet.

use {
    super::bet::{ALTERNATIVE_COUNT, Wealth},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
};

/// Wealth in single precision; `None` while the wealth of every alternative is 1.
type Compact = Option<[f32; ALTERNATIVE_COUNT]>;

pub fn serialize<S: Serializer>(wealth: &Wealth, serializer: S) -> Result<S::Ok, S::Error> {
    let changed = wealth.iter().any(|log| *log != 0.0);
    let compact: Compact = changed.then(|| wealth.map(|log| log as f32));
    compact.serialize(serializer)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Wealth, D::Error> {
    let compact = Compact::deserialize(deserializer)?;
    Ok(compact.map_or([0.0; ALTERNATIVE_COUNT], |compact| compact.map(f64::from)))
}
