//! Exchanges the request rates of accounts with the other instances by gossip.

use {
    crate::instance::Components,
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
pub async fn run(components: Arc<Components>) {
    let (sender, mut messages) = mpsc::channel(QUEUE_CAPACITY);
    components.fleet.subscribe(Topic::Demand, sender);
    let mut publish_timer = tokio::time::interval(PUBLISH_INTERVAL);
    let mut open = true;
    loop {
        tokio::select! {
            message = messages.recv(), if open => match message {
                Some(message) => receive(&components, &message),
                None => open = false,
            },
            _ = publish_timer.tick() => publish(&components),
        }
    }
}

fn publish(components: &Components) {
    let rates = components.demand.lock().published_rates(Instant::now());
    if rates.is_empty() {
        return;
    }
    let Ok(payload) = postcard::to_stdvec(&rates) else { return };
    if let Err(error) = components.fleet.broadcast(Topic::Demand, payload.into()) {
        log::debug!("cannot publish the request rates of accounts; cause={error}");
        components.metrics.count_drop("demand", "too_large");
    }
}

fn receive(components: &Components, message: &Message) {
    match postcard::from_bytes::<Vec<Rate>>(&message.payload) {
        Ok(rates) if message.from != components.fleet.local() => {
            components.demand.lock().update_peer(&message.from, rates, Instant::now());
        }
        Ok(_) => {}
        Err(_) => components.metrics.count_drop("demand", "malformed"),
    }
}
