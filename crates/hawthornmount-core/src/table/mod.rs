//! Sorted vector of named values, read and written as a JSON object.

use {
    serde::{Deserialize, Deserializer, Serialize, Serializer, de, ser::SerializeMap},
    std::{fmt, marker::PhantomData, sync::Arc},
};

/// One named value of a [`Table`].
#[derive(Clone, Debug, PartialEq)]
pub struct Row<V> {
    /// Name, unique in the table.
    pub id: Arc<str>,
    /// Value stored under the name.
    pub value: V,
}

/// Named values, sorted by name and found by binary search.
#[derive(Clone, Debug, PartialEq)]
pub struct Table<V> {
    rows: Vec<Row<V>>,
}

impl<V> Table<V> {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self { rows: Vec::new() }
    }

    /// Returns the value under `id`.
    pub fn get(&self, id: &str) -> Option<&V> {
        self.position(id).ok().map(|index| &self.rows[index].value)
    }

    /// Returns the row under `id`.
    pub fn row(&self, id: &str) -> Option<&Row<V>> {
        self.position(id).ok().map(|index| &self.rows[index])
    }

    /// Returns a mutable reference to the value under `id`.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut V> {
        self.position(id).ok().map(|index| &mut self.rows[index].value)
    }

    /// Stores `value` under `id` and returns the value that it replaces, if any.
    pub fn insert(&mut self, id: Arc<str>, value: V) -> Option<V> {
        match self.position(&id) {
            Ok(index) => Some(std::mem::replace(&mut self.rows[index].value, value)),
            Err(index) => {
                self.rows.insert(index, Row { id, value });
                None
            }
        }
    }

    /// Removes and returns the value under `id`.
    pub fn remove(&mut self, id: &str) -> Option<V> {
        self.position(id).ok().map(|index| self.rows.remove(index).value)
    }

    /// Returns whether the table has a row under `id`.
    pub fn contains(&self, id: &str) -> bool {
        self.position(id).is_ok()
    }

    /// Returns an iterator over the rows, sorted by name.
    pub fn iter(&self) -> std::slice::Iter<'_, Row<V>> {
        self.rows.iter()
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (*row.id).cmp(id))
    }
}

impl<V> Default for Table<V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<'a, V> IntoIterator for &'a Table<V> {
    type Item = &'a Row<V>;
    type IntoIter = std::slice::Iter<'a, Row<V>>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl<V> FromIterator<(Arc<str>, V)> for Table<V> {
    fn from_iter<I: IntoIterator<Item = (Arc<str>, V)>>(items: I) -> Self {
        let mut table = Self::new();
        for (id, value) in items {
            table.insert(id, value);
        }
        table
    }
}

impl<V: Serialize> Serialize for Table<V> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.rows.len()))?;
        for row in &self.rows {
            map.serialize_entry(&*row.id, &row.value)?;
        }
        map.end()
    }
}

impl<'de, V: Deserialize<'de>> Deserialize<'de> for Table<V> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(Visitor(PhantomData))
    }
}

struct Visitor<V>(PhantomData<V>);

impl<'de, V: Deserialize<'de>> de::Visitor<'de> for Visitor<V> {
    type Value = Table<V>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object of named values")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Table<V>, A::Error> {
        let mut table = Table::new();
        while let Some((id, value)) = map.next_entry::<Arc<str>, V>()? {
            table.insert(id, value);
        }
        Ok(table)
    }
}
