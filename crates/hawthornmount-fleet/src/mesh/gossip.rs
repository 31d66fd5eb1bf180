//! Rounds of frames that carry news to random members.

use {
    super::Mesh,
    crate::wire::{Body, MAX_DATAGRAM_BYTES, Record, Rumour},
    std::time::Duration,
};

/// Members that a round goes to.
const FANOUT: usize = 3;
/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(40);
/// Rounds that announce a new revision, beside the digest of each heartbeat.
const REVISION_ROUNDS: usize = 8;
/// Bytes of a datagram that are kept for the frame's head.
const HEAD_ROOM: usize = 250;

/// Returns the rounds after which a member of `others` is all but surely reached.
pub fn rounds(others: usize) -> u32 {
    let copies = (others.max(1) as f64).ln() + 4.0;
    (copies / FANOUT as f64).ceil() as u32
}

impl Mesh {
    pub(super) async fn gossip_all(&self) {
        loop {
            self.news.notified().await;
            while let Some(rumours) = self.next_rumours() {
                for peer in self.random_peers() {
                    self.send(&peer, Body::Gossip, rumours.clone()).await;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Announces each new revision at once.
    pub(super) async fn push_revisions(&self) {
        let mut held = self.tracker.subscribe();
        while held.changed().await.is_ok() {
            for _ in 0..REVISION_ROUNDS {
                for peer in self.random_peers() {
                    self.send(&peer, Body::Gossip, Vec::new()).await;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    fn random_peers(&self) -> Vec<Record> {
        let mut state = self.state.lock();
        let peers = state.roster.reachable();
        state.choose(peers, FANOUT)
    }

    /// Takes as much news as a datagram holds, the least sent first.
    pub(super) fn next_rumours(&self) -> Option<Vec<Rumour>> {
        let mut state = self.state.lock();
        if state.queue.is_empty() {
            return None;
        }
        state.sort_queue();
        let mut room = MAX_DATAGRAM_BYTES - HEAD_ROOM;
        let mut rumours = Vec::new();
        for queued in &mut state.queue {
            let size = size(&queued.rumour);
            if size > room {
                break;
            }
            room -= size;
            queued.rounds -= 1;
            rumours.push(queued.rumour.clone());
        }
        state.queue.retain(|queued| queued.rounds > 0);
        Some(rumours)
    }
}

fn size(rumour: &Rumour) -> usize {
    postcard::experimental::serialized_size(rumour).unwrap_or(MAX_DATAGRAM_BYTES)
}
