//! The demo's load against the whole product.

use hawthornmount_demo::{check, deployment::Deployment, load};

/// Requests of the load.
const REQUESTS: usize = 200;
/// Seed of the load.
const SEED: u64 = 7;

#[tokio::test(flavor = "multi_thread")]
async fn mixed_load_keeps_every_promise() {
    let world = Deployment::start().await.expect("the demo starts");
    let done = load::run(&world.callers(), REQUESTS, SEED, |_| {}).await;
    assert_eq!(done.len(), REQUESTS);
    for check in check::all(&world, &done).await {
        assert!(check.pass, "{}: {}", check.name, check.detail);
    }
}
