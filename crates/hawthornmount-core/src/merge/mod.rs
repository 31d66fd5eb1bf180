//! Merge of the operators' folder of configuration files into one configuration, as JSON merge
//! patches (RFC 7396).

mod decode;
mod diff;
mod node;
mod problem;

pub use {
    diff::{Difference, diff},
    node::Location,
    problem::Problem,
};

use {
    crate::config::{self, Config},
    derive_more::{Display, Error},
    node::{Content, Node},
    serde_json::Value,
    std::{
        fs, io,
        path::{Path, PathBuf},
        sync::Arc,
    },
};

/// Extensions of the files that are read.
const EXTENSIONS: [&str; 3] = ["json", "jsonc", "json5"];

/// One file of the folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// Name of the file.
    pub name: Arc<str>,
    /// Content of the file.
    pub text: Arc<str>,
}

/// A value of the merged result with the location that set it.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// JSON pointer of the value.
    pub pointer: String,
    /// The value: a scalar, an array or an empty object.
    pub value: Value,
    /// File and line that set the value.
    pub location: Location,
}

/// Error of reading or merging a folder of configuration files.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The folder or a file can't be read.
    #[display("{} can't be read: check that it exists and may be read", path.display())]
    Read {
        /// Path of the folder or file.
        path: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// A file can't be parsed or the merged configuration is not valid.
    #[display("{}", problem::summary(problems))]
    Invalid {
        /// Problems of all files.
        #[error(not(source))]
        problems: Vec<Problem>,
    },
}

/// The result of merging files, with the location that set each value.
pub struct Merged {
    root: Node,
}

impl Merged {
    /// Merges files in the given order; later files override earlier ones.
    ///
    /// # Errors
    ///
    /// Returns the problems of all files if any of them can't be parsed.
    pub fn new(sources: &[Source]) -> Result<Self, Error> {
        let mut problems = Vec::new();
        let nodes: Vec<Node> =
            sources.iter().filter_map(|source| node::parse(source, &mut problems)).collect();
        if !problems.is_empty() {
            return Err(Error::Invalid { problems });
        }
        let mut root = Node::empty();
        nodes.into_iter().for_each(|node| root.merge(node));
        Ok(Self { root })
    }

    /// Returns the merged value without locations.
    pub fn value(&self) -> Value {
        self.root.to_value()
    }

    /// Deserializes the merged value as a configuration and validates it.
    ///
    /// # Errors
    ///
    /// Returns every problem with the location that set the value.
    pub fn config(&self) -> Result<Config, Error> {
        decode_and_check(&self.value()).map_err(|findings| {
            let problems = findings.into_iter().map(|finding| {
                let location = self.root.location_of(&finding.path).clone();
                Problem::new(finding, Some(location))
            });
            Error::Invalid { problems: problems.collect() }
        })
    }

    /// Returns each scalar, array and empty object with the location that set it.
    pub fn origins(&self) -> Vec<Origin> {
        let mut origins = Vec::new();
        collect_origins(&self.root, String::new(), &mut origins);
        origins
    }
}

fn collect_origins(node: &Node, pointer: String, origins: &mut Vec<Origin>) {
    match &node.content {
        Content::Object(members) if !members.is_empty() => {
            for member in members {
                collect_origins(&member.node, node::join(&pointer, &member.key), origins);
            }
        }
        _ => origins.push(Origin {
            pointer,
            value: node.to_value(),
            location: node.location.clone(),
        }),
    }
}

fn decode_and_check(value: &Value) -> Result<Config, Vec<config::Finding>> {
    let config = decode::decode(value)?;
    let findings = config::check(&config);
    if findings.is_empty() { Ok(config) } else { Err(findings) }
}

/// Reads and merges a folder's files and validates the result.
///
/// # Errors
///
/// Returns an error if a file can't be read or parsed, or if the merged result is not valid.
pub fn load_folder(path: &Path) -> Result<Config, Error> {
    Merged::new(&read_sources(path)?)?.config()
}

/// Deserializes a merged value as a configuration and validates it.
///
/// # Errors
///
/// Returns an error if the value is not a valid configuration.
#[expect(clippy::needless_pass_by_value, reason = "callers hand over a value they are done with")]
pub fn from_value(value: Value) -> Result<Config, Error> {
    decode_and_check(&value).map_err(|findings| {
        let problems = findings.into_iter().map(|finding| Problem::new(finding, None)).collect();
        Error::Invalid { problems }
    })
}

/// Reads a folder's files in byte order of their names and merges them.
///
/// # Errors
///
/// Returns an error if the folder or a file can't be read or parsed.
pub fn merge_folder(path: &Path) -> Result<Value, Error> {
    merge_sources(&read_sources(path)?)
}

/// Reads a folder's files in byte order of their names.
///
/// # Errors
///
/// Returns an error if the folder or a file can't be read.
pub fn read_sources(path: &Path) -> Result<Vec<Source>, Error> {
    let mut sources = Vec::new();
    for file in files(path)? {
        let text = fs::read_to_string(&file)
            .map_err(|source| Error::Read { path: file.clone(), source })?;
        let name = file.file_name().unwrap_or_default().to_string_lossy();
        sources.push(Source { name: name.as_ref().into(), text: text.into() });
    }
    Ok(sources)
}

/// Merges files in the given order; later files override earlier ones.
///
/// # Errors
///
/// Returns an error if a file can't be parsed.
pub fn merge_sources(sources: &[Source]) -> Result<Value, Error> {
    Merged::new(sources).map(|merged| merged.value())
}

fn files(path: &Path) -> Result<Vec<PathBuf>, Error> {
    let read_error = |source| Error::Read { path: path.to_owned(), source };
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(read_error)? {
        let file = entry.map_err(read_error)?.path();
        if is_source(&file) {
            files.push(file);
        }
    }
    files.sort_by(|a, b| a.as_os_str().as_encoded_bytes().cmp(b.as_os_str().as_encoded_bytes()));
    Ok(files)
}

/// Returns whether a file is a part of the configuration: hidden files, backups and files with
/// another extension are not.
fn is_source(path: &Path) -> bool {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let extension = path.extension().unwrap_or_default().to_string_lossy();
    !name.starts_with('.') && EXTENSIONS.contains(&&*extension)
}
