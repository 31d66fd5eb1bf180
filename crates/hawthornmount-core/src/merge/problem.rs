//! Something wrong in the folder, with its place.

use {
    super::Place,
    crate::config::Finding,
    std::{fmt, sync::Arc},
};

/// Something wrong in the folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// File and line that set the value; none for a configuration that did not come from a folder.
    pub place: Option<Place>,
    /// Path of the value, as a JSON pointer.
    pub path: Arc<str>,
    /// What is wrong.
    pub what: Arc<str>,
    /// What corrects it.
    pub remedy: Arc<str>,
}

impl Problem {
    /// Adds the place to a finding.
    pub fn new(finding: Finding, place: Option<Place>) -> Self {
        Self { place, path: finding.path, what: finding.what, remedy: finding.remedy }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = &self.place {
            write!(f, "{}:{}: ", place.file, place.line)?;
        }
        let path = if self.path.is_empty() { "/" } else { &*self.path };
        write!(f, "{path}: {}: {}", self.what, self.remedy)
    }
}

/// Returns the first problem and the number of the others.
pub fn summary(problems: &[Problem]) -> String {
    match problems {
        [] => "the configuration is not valid: run `hawthornmount config check`".to_owned(),
        [only] => only.to_string(),
        [first, others @ ..] => {
            format!("{first}; and {} more: run `hawthornmount config check`", others.len())
        }
    }
}
