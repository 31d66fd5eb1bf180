//! Exchanges evidence, suspensions and progress with the other instances by gossip.

use {
    crate::{evidence::Record, monitor::Monitor, progress::Progress, suspension::Suspension},
    bytes::Bytes,
    hawthornmount_fleet::{Error, Fleet, Message, Topic},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Interval between two regular messages of changed evidence, worsened or not.
const REGULAR_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest interval between any message of evidence and a following one of worsened evidence.
const URGENT_INTERVAL: Duration = Duration::from_millis(40);
/// Most tallies that are sent at once when evidence has worsened.
const MAX_URGENT_TALLIES: usize = 6;
/// Most tallies that are sent at once in a regular message of evidence.
const MAX_REGULAR_TALLIES: usize = 24;
/// Most received messages that wait in each topic's queue.
const QUEUE_CAPACITY: usize = 1_024;
/// Delays after which a suspension is sent again, in case messages were lost.
const RESEND_DELAYS: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(600),
    Duration::from_secs(2),
    Duration::from_secs(5),
];

/// Item that is sent several times.
struct Repeated<T> {
    item: T,
    /// Number of times that it was sent.
    sent: usize,
    /// Time of the next sending.
    next: Instant,
}

/// Exchanges evidence, suspensions and progress with the other instances; never returns.
pub async fn run(monitor: Arc<Monitor>, fleet: Arc<dyn Fleet>) {
    let mut evidence = subscribe(&*fleet, Topic::Evidence);
    let mut suspensions = subscribe(&*fleet, Topic::Suspension);
    let mut progress = subscribe(&*fleet, Topic::Rollout);
    let mut tick = tokio::time::interval(URGENT_INTERVAL);
    let mut last_message = Instant::now();
    let mut last_regular_message = last_message;
    let mut repeated: Vec<Repeated<Suspension>> = Vec::new();
    loop {
        tokio::select! {
            Some(message) = suspensions.recv() => {
                monitor.merge_suspensions(decode::<Suspension>(&message));
            }
            Some(message) = evidence.recv() => monitor.merge_evidence(decode::<Record>(&message)),
            Some(message) = progress.recv() => {
                monitor.merge_progress(decode::<Progress>(&message));
            }
            () = monitor.urgent_update() => {}
            _ = tick.tick() => {}
        }
        let now = Instant::now();
        if now >= last_regular_message + REGULAR_INTERVAL {
            (last_message, last_regular_message) = (now, now);
            publish(&*fleet, Topic::Evidence, &monitor.take_changed_evidence(MAX_REGULAR_TALLIES));
        } else if monitor.has_urgent_evidence() && now >= last_message + URGENT_INTERVAL {
            last_message = now;
            publish(&*fleet, Topic::Evidence, &monitor.take_changed_evidence(MAX_URGENT_TALLIES));
        }
        let unsent = monitor.take_unsent_suspensions().into_iter();
        repeated.extend(unsent.map(|item| Repeated { item, sent: 0, next: now }));
        publish_due(&*fleet, &mut repeated, now);
    }
}

/// Sends progress to the other instances, as the lease holder does after each change.
pub fn publish_progress(fleet: &dyn Fleet, progress: &[Progress]) {
    for progress in progress {
        publish(fleet, Topic::Rollout, std::slice::from_ref(progress));
    }
}

/// Sends suspensions that the store holds to the other instances.
pub fn publish_suspensions(fleet: &dyn Fleet, suspensions: &[Suspension]) {
    for suspension in suspensions {
        publish(fleet, Topic::Suspension, std::slice::from_ref(suspension));
    }
}

/// Sends the suspensions that are due, and removes those that were sent often enough.
fn publish_due(fleet: &dyn Fleet, repeated: &mut Vec<Repeated<Suspension>>, now: Instant) {
    for due in repeated.iter_mut().filter(|one| one.next <= now) {
        publish(fleet, Topic::Suspension, std::slice::from_ref(&due.item));
        due.next = now + RESEND_DELAYS.get(due.sent).copied().unwrap_or_default();
        due.sent += 1;
    }
    repeated.retain(|one| one.sent <= RESEND_DELAYS.len());
}

fn subscribe(fleet: &dyn Fleet, topic: Topic) -> mpsc::Receiver<Message> {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    fleet.subscribe(topic, sender);
    receiver
}

/// Publishes items, split into several messages if they exceed the size limit of one.
fn publish<T: Serialize>(fleet: &dyn Fleet, topic: Topic, items: &[T]) {
    if items.is_empty() {
        return;
    }
    let Ok(bytes) = postcard::to_stdvec(items) else { return };
    match fleet.broadcast(topic, Bytes::from(bytes)) {
        Ok(()) => {}
        Err(Error::TooLarge { .. }) if items.len() > 1 => {
            let (first, second) = items.split_at(items.len() / 2);
            publish(fleet, topic, first);
            publish(fleet, topic, second);
        }
        Err(error) => log::warn!("failed to publish a message; topic={topic:?} cause={error}"),
    }
}

fn decode<T: DeserializeOwned>(message: &Message) -> Vec<T> {
    postcard::from_bytes(&message.payload).unwrap_or_else(|error| {
        log::warn!("failed to decode a message; from={} cause={error}", message.from);
        Vec::new()
    })
}
