//! Merge of the operators' folder of small files into one configuration (RFC 7396).

use {
    crate::config::{self, Config, Finding},
    derive_more::{Display, Error},
    jsonc_parser::ParseOptions,
    serde_json::Value,
    std::{
        fs, io,
        path::{Path, PathBuf},
        sync::Arc,
    },
};

/// Endings of the files that are read.
const ENDINGS: [&str; 3] = ["json", "jsonc", "json5"];

/// One file of the folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// Name of the file.
    pub name: Arc<str>,
    /// Content of the file.
    pub text: Arc<str>,
}

/// Why a folder gives no configuration.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The folder or a file can't be read.
    #[display("{} can't be read: check that it exists and may be read", path.display())]
    Read {
        /// Path of the folder or file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A file is not JSON with comments.
    #[display("{file}: {message}: mend the syntax")]
    Syntax {
        /// Name of the file.
        file: Arc<str>,
        /// Message of the parser.
        message: Arc<str>,
    },
    /// The merged value does not have the form of a configuration.
    #[display("{message}: correct the key or the type of the value")]
    Form {
        /// Message of the reader.
        message: Arc<str>,
    },
    /// The merged configuration contradicts itself.
    #[display("{} problems: run `hawthornmount config check` and mend each", findings.len())]
    Invalid {
        /// Each problem.
        #[error(not(source))]
        findings: Vec<Finding>,
    },
}

/// Reads and merges the folder and checks the result as a whole.
///
/// # Errors
///
/// Returns an error if a file can't be read or parsed, or if the merged result is not valid.
pub fn folder(path: &Path) -> Result<Config, Error> {
    from_value(merge(path)?)
}

/// Reads a merged value as a configuration and checks it as a whole.
///
/// # Errors
///
/// Returns an error if the value is not a valid configuration.
pub fn from_value(value: Value) -> Result<Config, Error> {
    let config: Config = serde_json::from_value(value)
        .map_err(|error| Error::Form { message: error.to_string().into() })?;
    let findings = config::check(&config);
    if findings.is_empty() { Ok(config) } else { Err(Error::Invalid { findings }) }
}

/// Reads the folder's files in byte order of their names and merges them.
///
/// # Errors
///
/// Returns an error if the folder or a file can't be read or parsed.
pub fn merge(path: &Path) -> Result<Value, Error> {
    merge_sources(&read(path)?)
}

/// Reads the folder's files in byte order of their names.
///
/// # Errors
///
/// Returns an error if the folder or a file can't be read.
pub fn read(path: &Path) -> Result<Vec<Source>, Error> {
    let mut sources = Vec::new();
    for file in files(path)? {
        let text = fs::read_to_string(&file)
            .map_err(|source| Error::Read { path: file.clone(), source })?;
        let name = file.file_name().unwrap_or_default().to_string_lossy();
        sources.push(Source { name: name.as_ref().into(), text: text.into() });
    }
    Ok(sources)
}

/// Merges files in the order given.
///
/// # Errors
///
/// Returns an error if a file can't be parsed.
pub fn merge_sources(sources: &[Source]) -> Result<Value, Error> {
    let mut merged = Value::Object(serde_json::Map::new());
    for source in sources {
        json_patch::merge(&mut merged, &parse(&source.name, &source.text)?);
    }
    Ok(merged)
}

fn parse(name: &str, text: &str) -> Result<Value, Error> {
    let value: Value = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|error| Error::Syntax { file: name.into(), message: error.to_string().into() })?;
    Ok(value)
}

fn files(path: &Path) -> Result<Vec<PathBuf>, Error> {
    let read_error = |source| Error::Read { path: path.to_owned(), source };
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(read_error)? {
        let file = entry.map_err(read_error)?.path();
        if is_wanted(&file) {
            files.push(file);
        }
    }
    files.sort_by(|a, b| a.as_os_str().as_encoded_bytes().cmp(b.as_os_str().as_encoded_bytes()));
    Ok(files)
}

fn is_wanted(path: &Path) -> bool {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let ending = path.extension().unwrap_or_default().to_string_lossy();
    !name.starts_with('.') && ENDINGS.contains(&&*ending)
}
