//! Exchanges the request rates of accounts with the other instances by gossip.

use {
    crate::instance::Parts,
    hawthornmount_fleet::{Message, Topic},
    hawthornmount_policy::admission::Rate,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Interval between two publications of the local rates.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of queued messages from peers.
const QUEUE_CAPACITY: usize = 512;

/// Exchanges the rates until the instance stops.
pub async fn run(parts: Arc<Parts>) {
    let (sender, mut messages) = mpsc::channel(QUEUE_CAPACITY);
    parts.fleet.subscribe(Topic::Demand, sender);
    let mut publish_timer = tokio::time::interval(PUBLISH_INTERVAL);
    let mut open = true;
    loop {
        tokio::select! {
            message = messages.recv(), if open => match message {
                Some(message) => receive(&parts, &message),
                None => open = false,
            },
            _ = publish_timer.tick() => publish(&parts),
        }
    }
}

fn publish(parts: &Parts) {
    let rates = parts.demand.lock().published_rates(Instant::now());
    if rates.is_empty() {
        return;
    }
    let Ok(payload) = postcard::to_stdvec(&rates) else { return };
    if let Err(error) = parts.fleet.broadcast(Topic::Demand, payload.into()) {
        log::debug!("cannot publish the request rates of accounts; cause={error}");
        parts.metrics.count_drop("demand", "too_large");
    }
}

fn receive(parts: &Parts, message: &Message) {
    match postcard::from_bytes::<Vec<Rate>>(&message.payload) {
        Ok(rates) if message.from != parts.fleet.local() => {
            parts.demand.lock().update_peer(&message.from, rates, Instant::now());
        }
        Ok(_) => {}
        Err(_) => parts.metrics.count_drop("demand", "malformed"),
    }
}
