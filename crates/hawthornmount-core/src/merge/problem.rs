//! Problems of a configuration folder, with the file and line of each.

use {
    super::Location,
    crate::config::Finding,
    std::{fmt, sync::Arc},
};

/// A problem in a configuration folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// File and line that set the value; `None` if the configuration was not read from a folder.
    pub location: Option<Location>,
    /// JSON pointer of the value.
    pub path: Arc<str>,
    /// What is wrong.
    pub what: Arc<str>,
    /// How to correct it.
    pub remedy: Arc<str>,
}

impl Problem {
    /// Creates a problem from a finding and the location of its value.
    pub fn new(finding: Finding, location: Option<Location>) -> Self {
        Self { location, path: finding.path, what: finding.what, remedy: finding.remedy }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(location) = &self.location {
            write!(f, "{}:{}: ", location.file, location.line)?;
        }
        let path = if self.path.is_empty() { "/" } else { &*self.path };
        write!(f, "{path}: {}: {}", self.what, self.remedy)
    }
}

/// Returns a one-line summary: the first problem and the number of the others.
pub fn summary(problems: &[Problem]) -> String {
    match problems {
        [] => "the configuration is not valid: run `hawthornmount config check`".to_owned(),
        [only] => only.to_string(),
        [first, others @ ..] => {
            format!("{first}; and {} more: run `hawthornmount config check`", others.len())
        }
    }
}
