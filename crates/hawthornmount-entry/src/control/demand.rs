//! Tells the peers what accounts ask of this instance, and learns the same of them.

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

/// Pause between two tellings.
const PAUSE: Duration = Duration::from_secs(1);
/// Messages of peers that wait.
const BACKLOG: usize = 512;

/// Shares the demand of accounts until the instance ends.
pub async fn share(parts: Arc<Parts>) {
    let (sender, mut messages) = mpsc::channel(BACKLOG);
    parts.fleet.subscribe(Topic::Demand, sender);
    let mut tell = tokio::time::interval(PAUSE);
    let mut open = true;
    loop {
        tokio::select! {
            message = messages.recv(), if open => match message {
                Some(message) => take(&parts, &message),
                None => open = false,
            },
            _ = tell.tick() => spread(&parts),
        }
    }
}

fn spread(parts: &Parts) {
    let rates = parts.demand.lock().published_rates(Instant::now());
    if rates.is_empty() {
        return;
    }
    let Ok(payload) = postcard::to_stdvec(&rates) else { return };
    if let Err(error) = parts.fleet.broadcast(Topic::Demand, payload.into()) {
        log::debug!("the demand of accounts is not shared; cause={error}");
        parts.metrics.drop_one("demand", "too_large");
    }
}

fn take(parts: &Parts, message: &Message) {
    match postcard::from_bytes::<Vec<Rate>>(&message.payload) {
        Ok(rates) if message.from != parts.fleet.local() => {
            parts.demand.lock().update_peer(&message.from, rates, Instant::now());
        }
        Ok(_) => {}
        Err(_) => parts.metrics.drop_one("demand", "malformed"),
    }
}
