//! Orders to the stand-in engine.

use {
    super::{Loaded, Shared},
    hawthornmount_http::{Body, Request, Response, StatusCode, server},
    serde::{Deserialize, Serialize},
    std::{sync::atomic::Ordering, time::Duration},
};

/// Time that a fetch of weights may take.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Order that states the versions the engine should have loaded.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Order {
    /// Fencing number of the holder that orders.
    pub fence: u64,
    /// Versions that should be loaded, in order.
    pub loaded: Vec<Loaded>,
}

/// Answer to an [`Order`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderResponse {
    /// Whether the engine took the order.
    pub accepted: bool,
    /// Highest fencing number that the engine has seen.
    pub fence: u64,
    /// Versions that are loaded now.
    pub loaded: Vec<Loaded>,
}

pub async fn apply(shared: &Shared, order: &Order) -> Response {
    let seen = shared.fence.fetch_max(order.fence, Ordering::SeqCst).max(order.fence);
    let accepted = !shared.checks_fencing || order.fence >= seen;
    if accepted {
        load(shared, order).await;
    }
    let loaded = shared.loaded.lock().clone();
    let status = if accepted { StatusCode::OK } else { StatusCode::PRECONDITION_FAILED };
    server::json(status, &OrderResponse { accepted, fence: seen, loaded })
}

/// Unloads at once, then loads what the memory takes and the weight store gives.
async fn load(shared: &Shared, order: &Order) {
    shared.orders.fetch_add(1, Ordering::SeqCst);
    shared.loaded.lock().retain(|one| order.loaded.contains(one));
    for version in &order.loaded {
        let room = shared.room.load(Ordering::SeqCst) as usize;
        let full = shared.loaded.lock().len() >= room;
        if full || shared.is_loaded(version) || !fetch(shared, version).await {
            continue;
        }
        let mut loaded = shared.loaded.lock();
        loaded.push(version.clone());
        loaded.sort();
    }
}

async fn fetch(shared: &Shared, version: &Loaded) -> bool {
    let Some(address) = *shared.weights.lock() else { return true };
    let mut request = Request::new(Body::empty());
    let path = format!("/weights/{}@{}", version.model, version.version);
    *request.uri_mut() = path.parse().unwrap_or_default();
    let answer = shared.client.call(address, request, FETCH_TIMEOUT).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}
