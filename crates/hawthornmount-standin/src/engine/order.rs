//! Orders to the stand-in engine to load and unload versions.

use {
    super::{Loaded, Shared},
    hawthornmount_http::{Body, Request, Response, StatusCode, server},
    serde::{Deserialize, Serialize},
    std::{sync::atomic::Ordering, time::Duration},
};

/// Time-out of a fetch from the weight store.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Order that states which versions the engine should have loaded.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Order {
    /// Fencing number of the sender.
    pub fence: u64,
    /// Versions that should be loaded, sorted.
    pub loaded: Vec<Loaded>,
}

/// Response to an [`Order`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderResponse {
    /// Whether the engine accepted the order.
    pub accepted: bool,
    /// Highest fencing number that the engine has seen.
    pub fence: u64,
    /// Versions that are loaded after the order.
    pub loaded: Vec<Loaded>,
}

/// Applies an order. An engine that checks fencing numbers rejects one that is lower than the
/// highest seen.
pub async fn apply(shared: &Shared, order: &Order) -> Response {
    let highest_fence =
        shared.highest_fence.fetch_max(order.fence, Ordering::SeqCst).max(order.fence);
    let accepted = !shared.checks_fencing || order.fence >= highest_fence;
    if accepted {
        update_loaded(shared, order).await;
    }
    let loaded = shared.loaded.lock().clone();
    let status = if accepted { StatusCode::OK } else { StatusCode::PRECONDITION_FAILED };
    server::json(status, &OrderResponse { accepted, fence: highest_fence, loaded })
}

/// Unloads the versions that the order leaves out, then loads the missing ones that fit into memory
/// and whose weights the weight store serves.
async fn update_loaded(shared: &Shared, order: &Order) {
    shared.accepted_orders.fetch_add(1, Ordering::SeqCst);
    shared.loaded.lock().retain(|version| order.loaded.contains(version));
    for version in &order.loaded {
        let capacity = shared.version_capacity.load(Ordering::SeqCst) as usize;
        let full = shared.loaded.lock().len() >= capacity;
        if full || shared.is_loaded(version) || !fetch_weights(shared, version).await {
            continue;
        }
        let mut loaded = shared.loaded.lock();
        loaded.push(version.clone());
        loaded.sort();
    }
}

/// Returns whether the weight store serves a version's weights; without a store every fetch
/// succeeds.
async fn fetch_weights(shared: &Shared, version: &Loaded) -> bool {
    let Some(address) = *shared.weight_store.lock() else { return true };
    let mut request = Request::new(Body::empty());
    let path = format!("/weights/{}@{}", version.model, version.version);
    *request.uri_mut() = path.parse().unwrap_or_default();
    let response = shared.client.call(address, request, FETCH_TIMEOUT).await;
    response.is_ok_and(|response| response.status.is_success())
}
