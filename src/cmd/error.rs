//! Errors of the command line.

use {
    super::EXIT_USAGE,
    derive_more::{Display, Error as DeriveError},
    std::{error::Error as StdError, sync::Arc},
};

/// Result of a subcommand.
pub type Result<T> = std::result::Result<T, Error>;

/// Least likeness, from 0 to 1, of a name that is proposed.
const MIN_LIKENESS: f64 = 0.6;

/// Why a subcommand failed.
#[derive(Debug, Display, DeriveError)]
pub enum Error {
    /// The command line is wrong.
    #[display("{message}")]
    Usage {
        /// What is wrong and what is right.
        message: Arc<str>,
    },
    /// Something that the subcommand needs failed.
    #[display("{context}")]
    Failed {
        /// What was tried.
        context: Arc<str>,
        /// Cause.
        source: Box<dyn StdError + Send + Sync>,
    },
}

impl Error {
    /// Creates an error of the command line.
    #[expect(clippy::needless_pass_by_value, reason = "used as a function of map_err")]
    pub fn usage(error: pico_args::Error) -> Self {
        Self::Usage { message: error.to_string().into() }
    }

    /// Creates an error that names the nearest known name.
    pub fn unknown(kind: &str, name: &str, known: &[&str]) -> Self {
        let likeness = |known: &&&str| strsim::jaro_winkler(name, known);
        let nearest = known
            .iter()
            .max_by(|a, b| likeness(a).total_cmp(&likeness(b)))
            .filter(|known| likeness(known) >= MIN_LIKENESS);
        let message = match nearest {
            Some(nearest) => format!("unknown {kind} `{name}`: did you mean `{nearest}`?"),
            None => format!("unknown {kind} `{name}`: see --help"),
        };
        Self::Usage { message: message.into() }
    }

    /// Adds what was tried to an error.
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

/// Returns an error with its causes in one line.
pub fn chain(error: &dyn StdError) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(&format!(": {error}"));
        cause = error.source();
    }
    text
}
