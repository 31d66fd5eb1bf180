//! Authentication: finds the account that the API key of a request belongs to.

use {
    super::{Filter, Flow},
    crate::exchange::Exchange,
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
};

/// Filter that sets the account of the request.
pub struct Authentication;

#[async_trait]
impl Filter for Authentication {
    fn name(&self) -> &'static str {
        "identify"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        if exchange.snapshot.revision == 0 {
            let detail = "the instance has no configuration yet: try another one";
            return Err(Problem::new(Refusal::NotReady, detail));
        }
        let key = exchange
            .header("authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(|| bad_key("send the header `Authorization: Bearer KEY`"))?;
        let account =
            exchange.snapshot.config.account_by_key(key.trim()).ok_or_else(|| {
                bad_key("the key belongs to no account: ask your operator for one")
            })?;
        exchange.trace.account = account.clone();
        exchange.account = account;
        Ok(Flow::Next)
    }
}

fn bad_key(detail: &str) -> Problem {
    Problem::new(Refusal::BadKey, detail)
}
