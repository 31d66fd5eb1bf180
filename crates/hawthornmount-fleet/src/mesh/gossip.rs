//! Gossip rounds: frames that carry updates to random members.

use {
    super::Mesh,
    crate::wire::{Body, MAX_DATAGRAM_BYTES, Record, Update},
    std::time::Duration,
};

/// Members that receive the frames of a round.
const FANOUT: usize = 3;
/// Interval between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(40);
/// Rounds that announce a new configuration revision, in addition to the digest of each probe.
const REVISION_ROUNDS: usize = 8;
/// Bytes of a datagram that are reserved for the frame's header and its fields other than updates.
const HEADER_RESERVE_BYTES: usize = 250;

/// Returns the number of rounds in which an update is sent, so that each of the `others` members
/// receives it with high probability.
pub fn rounds_per_update(others: usize) -> u32 {
    // If every member sends an update ln(n) + 4 times, it fails to reach about e^-4 = 0.02 members
    // on average, as long as no datagram is lost.
    let copies = (others.max(1) as f64).ln() + 4.0;
    (copies / FANOUT as f64).ceil() as u32
}

impl Mesh {
    pub(super) async fn gossip_loop(&self) {
        loop {
            self.updates_queued.notified().await;
            while let Some(updates) = self.next_updates() {
                for peer in self.random_peers() {
                    self.send(&peer, Body::Gossip, updates.clone()).await;
                }
                tokio::time::sleep(ROUND_INTERVAL).await;
            }
        }
    }

    /// Announces each new configuration revision as soon as this instance holds it.
    pub(super) async fn announce_revisions(&self) {
        let mut held = self.tracker.subscribe();
        while held.changed().await.is_ok() {
            for _ in 0..REVISION_ROUNDS {
                for peer in self.random_peers() {
                    self.send(&peer, Body::Gossip, Vec::new()).await;
                }
                tokio::time::sleep(ROUND_INTERVAL).await;
            }
        }
    }

    fn random_peers(&self) -> Vec<Record> {
        let mut state = self.state.lock();
        let peers = state.roster.reachable();
        state.sample(peers, FANOUT)
    }

    /// Returns the queued updates that fit a datagram, in the order of `State::sort_queue`, and
    /// counts down their remaining rounds.
    pub(super) fn next_updates(&self) -> Option<Vec<Update>> {
        let mut state = self.state.lock();
        if state.queue.is_empty() {
            return None;
        }
        state.sort_queue();
        let mut room = MAX_DATAGRAM_BYTES - HEADER_RESERVE_BYTES;
        let mut updates = Vec::new();
        for queued in &mut state.queue {
            let size = encoded_size(&queued.update);
            if size > room {
                break;
            }
            room -= size;
            queued.rounds -= 1;
            updates.push(queued.update.clone());
        }
        state.queue.retain(|queued| queued.rounds > 0);
        Some(updates)
    }
}

fn encoded_size(update: &Update) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(MAX_DATAGRAM_BYTES)
}
