//! Usage records.

use {
    hawthornmount_core::{
        id::{AccountId, ModelId, RequestId, VersionId},
        units::{MicroCost, Tokens},
    },
    serde::{Deserialize, Serialize},
};

/// Resources that one request used, for billing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Id of the request, which identifies the record.
    pub request: RequestId,
    /// Account that is billed.
    pub account: AccountId,
    /// Model or service that answered.
    pub model: ModelId,
    /// Version that answered; empty for a service.
    pub version: VersionId,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    pub completion_tokens: Tokens,
    /// Price that the account pays.
    pub billed: MicroCost,
    /// Price of everything that ran for the request, whether or not the caller received it.
    pub cost: MicroCost,
    /// Milliseconds since the epoch at the end of the answer.
    pub at_ms: u64,
}

/// Sum of usage records.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Total {
    /// Number of requests.
    pub requests: u64,
    /// Tokens of all prompts.
    pub prompt_tokens: Tokens,
    /// Tokens of all answers.
    pub completion_tokens: Tokens,
    /// Price that the account pays.
    pub billed: MicroCost,
    /// Price of everything that ran for the requests.
    pub cost: MicroCost,
}

impl Total {
    /// Adds a usage record.
    pub const fn add(&mut self, usage: &Usage) {
        self.requests += 1;
        self.prompt_tokens += usage.prompt_tokens;
        self.completion_tokens += usage.completion_tokens;
        self.billed += usage.billed;
        self.cost += usage.cost;
    }

    /// Adds another total.
    pub const fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.completion_tokens += other.completion_tokens;
        self.billed += other.billed;
        self.cost += other.cost;
    }
}
