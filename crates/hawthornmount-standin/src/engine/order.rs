//! Orders to the stand-in engine.

use {
    super::{Loaded, Shared},
    hawthornmount_http::{Response, StatusCode, server},
    serde::{Deserialize, Serialize},
    std::sync::atomic::Ordering,
};

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
pub struct OrderAnswer {
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
        shared.loaded.lock().clone_from(&order.loaded);
    }
    let loaded = shared.loaded.lock().clone();
    let status = if accepted { StatusCode::OK } else { StatusCode::PRECONDITION_FAILED };
    server::json(status, &OrderAnswer { accepted, fence: seen, loaded })
}
