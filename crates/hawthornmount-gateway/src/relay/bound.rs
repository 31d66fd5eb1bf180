//! Bounds on the number of items in a frame. Items that are small in a frame occupy many times their
//! encoded size in memory, so the limit on the size of frames does not bound the memory.

use {
    serde::{
        Deserialize, Deserializer,
        de::{Error, SeqAccess, Visitor},
    },
    std::{fmt, marker::PhantomData},
};

/// Largest number of items in a sequence of a frame: changes, keys or services.
const MAX_ITEMS: usize = 1 << 17;

struct Bounded<T>(Vec<T>);

struct Items<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for Items<T> {
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "at most {MAX_ITEMS} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<T>, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = sequence.next_element()? {
            if items.len() == MAX_ITEMS {
                return Err(Error::invalid_length(items.len() + 1, &self));
            }
            items.push(item);
        }
        Ok(items)
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Bounded<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(Items(PhantomData)).map(Self)
    }
}

/// Deserializes a sequence of a bounded number of items.
///
/// # Errors
///
/// Returns an error if there are more items, or if one is invalid.
pub fn sequence<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Bounded::deserialize(deserializer).map(|bounded| bounded.0)
}

/// Deserializes an optional sequence of a bounded number of items.
///
/// # Errors
///
/// Returns an error if there are more items, or if one is invalid.
pub fn optional_sequence<'de, D, T>(deserializer: D) -> Result<Option<Vec<T>>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let bounded = Option::<Bounded<T>>::deserialize(deserializer)?;
    Ok(bounded.map(|bounded| bounded.0))
}
