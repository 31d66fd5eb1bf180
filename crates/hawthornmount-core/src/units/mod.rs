//! Units of money and tokens.
//!
//! The configuration writes durations in milliseconds under keys that end in `_ms`
//! (`serde_with::DurationMilliSeconds`), and money as a whole number of micro-units.

/// Amount of money, in micro-units (millionths of the unit of account).
pub type MicroCost = u64;
/// Number of tokens.
pub type Tokens = u64;

/// Number of tokens that a model's configured price is for.
pub const TOKENS_PER_PRICE: u64 = 1_000;
