//! Units of the configuration and the serde adapters that read and write them.
//!
//! Durations are written as numbers of milliseconds under keys that end in `_ms`
//! (`serde_with::DurationMilliSeconds`); money is a whole number of micro-units of account.

/// Money in millionths of the unit of account.
pub type MicroCost = u64;
/// Number of tokens.
pub type Tokens = u64;

/// Tokens that a price is given for.
pub const TOKENS_PER_PRICE: u64 = 1_000;
