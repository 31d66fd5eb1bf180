//! Checks of the demo under its mixed load.

use hawthornmount_demo::{check, deployment::Deployment, load};

const REQUESTS: usize = 200;
const SEED: u64 = 7;

#[tokio::test(flavor = "multi_thread")]
async fn every_check_passes_under_mixed_load() {
    let deployment = Deployment::start().await.expect("the demo starts");
    let results = load::run(&deployment.callers(), REQUESTS, SEED, |_| {}).await;
    assert_eq!(results.len(), REQUESTS);
    for check in check::all(&deployment, &results).await {
        assert!(check.pass, "{}: {}", check.name, check.detail);
    }
}
