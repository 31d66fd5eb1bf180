//! Authentication: finds the account that the API key of a request belongs to.

use {
    super::{Filter, Flow},
    crate::exchange::Exchange,
    async_trait::async_trait,
    hawthornmount_core::{id::AccountId, problem::Problem, reason::Refusal, snapshot::Snapshot},
    hawthornmount_http::{HeaderMap, header},
};

/// Filter that sets the account of the request.
pub struct Authentication;

#[async_trait]
impl Filter for Authentication {
    fn name(&self) -> &'static str {
        "identify"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        let account = account(&exchange.snapshot, &exchange.headers)?;
        exchange.trace.account = account.clone();
        exchange.account = account;
        Ok(Flow::Next)
    }
}

/// Returns the account that the key in the headers of a request belongs to.
///
/// # Errors
///
/// Returns the problem that the caller gets if the key is missing or unknown, or if there is no
/// configuration yet.
pub fn account(snapshot: &Snapshot, headers: &HeaderMap) -> Result<AccountId, Problem> {
    if snapshot.revision == 0 {
        let detail = "the instance has no configuration yet: try another one";
        return Err(Problem::new(Refusal::NotReady, detail));
    }
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "))
        .ok_or_else(|| bad_key("send the header `Authorization: Bearer KEY`"))?;
    let account = snapshot.config.account_by_key(key.trim());
    account.ok_or_else(|| bad_key("the key belongs to no account: ask your operator for one"))
}

fn bad_key(detail: &str) -> Problem {
    Problem::new(Refusal::BadKey, detail)
}
