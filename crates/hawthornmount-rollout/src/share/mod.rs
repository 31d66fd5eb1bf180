//! Tells the other instances of evidence, suspensions and progress, and takes theirs.

use {
    crate::{evidence::Cell, monitor::Monitor, progress::Progress, suspension::Suspension},
    bytes::Bytes,
    hawthornmount_fleet::{Error, Fleet, Message, Topic},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Pause between two frames of evidence.
const EVIDENCE_PAUSE: Duration = Duration::from_secs(2);
/// Least pause before a frame of evidence that got worse.
const URGENT_PAUSE: Duration = Duration::from_millis(40);
/// Tallies in a frame of those that got worse.
const URGENT_CELLS: usize = 6;
/// Tallies that are told at a time of all that changed.
const CELLS: usize = 24;
/// Messages that wait to be taken.
const BACKLOG: usize = 1_024;
/// Pauses after which a suspension is told again, in case frames were lost.
const REPEATS: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(600),
    Duration::from_secs(2),
    Duration::from_secs(5),
];

/// Suspensions or progress that are told a few times.
struct Told<T> {
    item: T,
    count: usize,
    next: Instant,
}

/// Exchanges evidence, suspensions and progress with the other instances; never returns.
pub async fn run(monitor: Arc<Monitor>, fleet: Arc<dyn Fleet>) {
    let mut evidence = subscribe(&*fleet, Topic::Evidence);
    let mut suspensions = subscribe(&*fleet, Topic::Suspension);
    let mut progress = subscribe(&*fleet, Topic::Rollout);
    let mut tick = tokio::time::interval(URGENT_PAUSE);
    let mut last = Instant::now();
    let mut last_all = last;
    let mut told: Vec<Told<Suspension>> = Vec::new();
    loop {
        tokio::select! {
            Some(message) = suspensions.recv() => {
                monitor.merge_suspensions(read::<Suspension>(&message));
            }
            Some(message) = evidence.recv() => monitor.merge_evidence(read::<Cell>(&message)),
            Some(message) = progress.recv() => {
                monitor.merge_progress(read::<Progress>(&message));
            }
            () = monitor.news() => {}
            _ = tick.tick() => {}
        }
        let now = Instant::now();
        if now >= last_all + EVIDENCE_PAUSE {
            (last, last_all) = (now, now);
            spread(&*fleet, Topic::Evidence, &monitor.fresh_evidence(CELLS));
        } else if monitor.is_urgent() && now >= last + URGENT_PAUSE {
            last = now;
            spread(&*fleet, Topic::Evidence, &monitor.fresh_evidence(URGENT_CELLS));
        }
        let fresh = monitor.fresh_suspensions().into_iter();
        told.extend(fresh.map(|item| Told { item, count: 0, next: now }));
        repeat(&*fleet, &mut told, now);
    }
}

/// Tells the other instances of progress, as the holder of the lease does after each change.
pub fn tell_progress(fleet: &dyn Fleet, progress: &[Progress]) {
    for one in progress {
        spread(fleet, Topic::Rollout, std::slice::from_ref(one));
    }
}

/// Tells the other instances of suspensions that the store holds.
pub fn tell_suspensions(fleet: &dyn Fleet, suspensions: &[Suspension]) {
    for one in suspensions {
        spread(fleet, Topic::Suspension, std::slice::from_ref(one));
    }
}

fn repeat(fleet: &dyn Fleet, told: &mut Vec<Told<Suspension>>, now: Instant) {
    for one in told.iter_mut().filter(|one| one.next <= now) {
        spread(fleet, Topic::Suspension, std::slice::from_ref(&one.item));
        one.next = now + REPEATS.get(one.count).copied().unwrap_or_default();
        one.count += 1;
    }
    told.retain(|one| one.count <= REPEATS.len());
}

fn subscribe(fleet: &dyn Fleet, topic: Topic) -> mpsc::Receiver<Message> {
    let (sender, receiver) = mpsc::channel(BACKLOG);
    fleet.subscribe(topic, sender);
    receiver
}

/// Spreads items in as few frames as they fit.
fn spread<T: Serialize>(fleet: &dyn Fleet, topic: Topic, items: &[T]) {
    if items.is_empty() {
        return;
    }
    let Ok(bytes) = postcard::to_stdvec(items) else { return };
    match fleet.broadcast(topic, Bytes::from(bytes)) {
        Ok(()) => {}
        Err(Error::TooLarge { .. }) if items.len() > 1 => {
            let (first, second) = items.split_at(items.len() / 2);
            spread(fleet, topic, first);
            spread(fleet, topic, second);
        }
        Err(error) => log::warn!("a message is not spread; topic={topic:?} cause={error}"),
    }
}

fn read<T: DeserializeOwned>(message: &Message) -> Vec<T> {
    postcard::from_bytes(&message.payload).unwrap_or_else(|error| {
        log::warn!("a message can't be read; from={} cause={error}", message.from);
        Vec::new()
    })
}
