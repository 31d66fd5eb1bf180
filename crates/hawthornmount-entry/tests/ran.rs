//! A refusal says that the request did not run only if no server was reached.

use {
    async_trait::async_trait,
    hawthornmount_core::{
        problem::{Execution, Problem},
        reason::Refusal,
        snapshot::Snapshot,
    },
    hawthornmount_entry::{
        Exchange, Filter,
        exchange::Kind,
        filter::{self, Flow},
    },
    hawthornmount_http::HeaderMap,
    rstest::rstest,
    std::sync::{Arc, atomic::Ordering},
};

/// Counts an attempt at a server if the field is true.
struct Send(bool);

/// Ends the request with a problem that does not take earlier attempts into account.
struct Refuse;

#[async_trait]
impl Filter for Send {
    fn name(&self) -> &'static str {
        "send"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        exchange.possible_runs.fetch_add(usize::from(self.0), Ordering::SeqCst);
        Ok(Flow::Next)
    }
}

#[async_trait]
impl Filter for Refuse {
    fn name(&self) -> &'static str {
        "refuse"
    }

    async fn apply(&self, _exchange: &mut Exchange) -> Result<Flow, Problem> {
        Err(Problem::new(Refusal::NoServer, "no server is up: try later"))
    }
}

#[rstest]
#[case::after_a_server_was_reached(true, Execution::Unknown)]
#[case::before_any_server_was_reached(false, Execution::NotRun)]
#[tokio::test]
async fn refusal_reports_whether_the_request_may_have_run(
    #[case] sent: bool,
    #[case] ran: Execution,
) {
    let snapshot = Arc::new(Snapshot::empty());
    let mut exchange = Exchange::new(snapshot, "req-1".into(), Kind::Models, HeaderMap::new());
    let chain: Vec<Box<dyn Filter>> = vec![Box::new(Send(sent)), Box::new(Refuse)];
    let problem = filter::run(&chain, &mut exchange).await.expect_err("the request is refused");
    assert_eq!(problem.ran, ran);
}
