//! Buffers the body of a request.

use {
    super::{Exchange, Filter},
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    http_body_util::{BodyExt, LengthLimitError, Limited},
};

/// Filter that reads the complete body of a request, so that the request can be retried unchanged.
pub struct Buffering;

#[async_trait]
impl Filter for Buffering {
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), Problem> {
        let Some(incoming) = exchange.incoming.take() else { return Ok(()) };
        let limit = exchange.view.rules.limits.body_bytes;
        let wait = exchange.route()?.config.timeout;
        let collected = Limited::new(incoming, limit).collect();
        exchange.is_body_abandoned = true;
        match tokio::time::timeout(wait, collected).await {
            Ok(Ok(collected)) => {
                exchange.body = collected.to_bytes();
                exchange.is_body_abandoned = false;
                Ok(())
            }
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                let detail = format!("the body is longer than {limit} bytes: send less");
                Err(Problem::new(Refusal::BodyTooLarge, detail))
            }
            Ok(Err(error)) => Err(Problem::new(Refusal::Malformed, error.to_string())),
            Err(_elapsed) => {
                let detail = "the body did not arrive in time: send it at once";
                Err(Problem::new(Refusal::CallerTimeout, detail))
            }
        }
    }
}
