//! Wealth as it travels: small numbers, and nothing at all before the first bet.

use {
    super::bet::{STAKES, Wealth},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
};

/// Wealth in single precision; none while every bet is at its start.
type Small = Option<[f32; STAKES]>;

pub fn serialize<S: Serializer>(wealth: &Wealth, serializer: S) -> Result<S::Ok, S::Error> {
    let moved = wealth.iter().any(|one| *one != 0.0);
    let small: Small = moved.then(|| wealth.map(|one| one as f32));
    small.serialize(serializer)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Wealth, D::Error> {
    let small = Small::deserialize(deserializer)?;
    Ok(small.map_or([0.0; STAKES], |small| small.map(f64::from)))
}
