//! Errors of the command line.

use {
    super::EXIT_USAGE,
    derive_more::{Display, Error as DeriveError},
    std::{error::Error as StdError, sync::Arc},
};

/// Result of a subcommand.
pub type Result<T> = std::result::Result<T, Error>;

/// Minimum Jaro-Winkler similarity, from 0 to 1, of a name that is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.6;

/// Why a subcommand failed.
#[derive(Debug, Display, DeriveError)]
pub enum Error {
    /// The command line is invalid.
    #[display("{message}")]
    Usage {
        /// What is wrong and how to correct it.
        message: Arc<str>,
    },
    /// An operation failed.
    #[display("{context}")]
    Failed {
        /// Description of the failure.
        context: Arc<str>,
        source: Box<dyn StdError + Send + Sync>,
    },
}

impl Error {
    /// Creates an error from a failure to parse the arguments.
    #[expect(clippy::needless_pass_by_value, reason = "used as a function of map_err")]
    pub fn usage(error: pico_args::Error) -> Self {
        Self::Usage { message: error.to_string().into() }
    }

    /// Creates an error for an unknown name that suggests the most similar known one.
    pub fn unknown_name(kind: &str, name: &str, known: &[&str]) -> Self {
        let similarity = |known: &&&str| strsim::jaro_winkler(name, known);
        let nearest = known
            .iter()
            .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
            .filter(|known| similarity(known) >= MIN_SIMILARITY);
        let message = match nearest {
            Some(nearest) => format!("unknown {kind} `{name}`: did you mean `{nearest}`?"),
            None => format!("unknown {kind} `{name}`: see --help"),
        };
        Self::Usage { message: message.into() }
    }

    /// Returns a function that adds a description of the failure to an error.
    pub fn failed<E: StdError + Send + Sync + 'static>(
        context: &str,
    ) -> impl FnOnce(E) -> Self + use<'_, E> {
        move |source| Self::Failed { context: context.into(), source: Box::new(source) }
    }

    /// Returns the exit code of the process.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => EXIT_USAGE,
            Self::Failed { .. } => 1,
        }
    }
}

/// Formats an error and its causes on one line, separated by colons.
pub fn with_causes(error: &dyn StdError) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(&format!(": {error}"));
        cause = error.source();
    }
    text
}
