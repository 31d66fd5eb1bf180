//! Received datagrams.

use {
    super::Mesh,
    crate::{
        Message,
        wire::{Body, Digest, Frame, MAX_DATAGRAM_BYTES, Payload, Record, Rumour, Standing},
    },
    std::sync::Arc,
    tokio::{sync::mpsc::error::TrySendError, time::Instant},
};

impl Mesh {
    pub(super) async fn receive_all(self: &Arc<Self>) {
        loop {
            match self.transport().receive().await {
                Ok(bytes) => self.receive(&bytes).await,
                // The operating system reports an earlier datagram that found no receiver.
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
                Err(error) => {
                    log::error!("datagrams can't be received; cause={error}");
                    return;
                }
            }
        }
    }

    async fn receive(self: &Arc<Self>, bytes: &[u8]) {
        {
            let mut state = self.state.lock();
            state.traffic.received += bytes.len() as u64;
            state.traffic.datagrams += 1;
        }
        let frame: Frame = match self.key.open(bytes, MAX_DATAGRAM_BYTES) {
            Ok(frame) => frame,
            Err(reject) => return self.drop_one(&reject.to_string()),
        };
        if frame.to != self.id {
            return self.drop_one("misaddressed");
        }
        if frame.from.id == self.id {
            return self.drop_one("same_name");
        }
        self.take(frame).await;
    }

    async fn take(self: &Arc<Self>, frame: Frame) {
        let sender = frame.from.clone();
        let before = self.state.lock().roster.local().rank();
        self.learn(frame.from);
        for rumour in frame.rumours {
            match rumour {
                Rumour::Member(record) => self.learn(record),
                Rumour::Payload(payload) => self.hand_on(payload),
            }
        }
        self.note_digest(&sender, &frame.digest);
        match frame.body {
            Body::Ping(number) => self.send(&sender, Body::Ack(number), self.doubts(&sender)).await,
            Body::Ack(number) => self.acknowledge(number, &sender, &frame.digest),
            Body::Gossip => self.answer_gossip(&sender, before != self.local_rank()).await,
        }
    }

    /// Tells the sender that it is doubted, or that this instance has refuted a doubt.
    async fn answer_gossip(&self, sender: &Record, has_refuted: bool) {
        let doubts = self.doubts(sender);
        if has_refuted || !doubts.is_empty() {
            self.send(sender, Body::Gossip, doubts).await;
        }
    }

    fn local_rank(&self) -> (u64, u32, Standing) {
        self.state.lock().roster.local().rank()
    }

    /// Returns what the sender has to refute.
    pub(super) fn doubts(&self, sender: &Record) -> Vec<Rumour> {
        let state = self.state.lock();
        let known = state.roster.get(&sender.id);
        let doubted = known.filter(|known| {
            known.rank() > sender.rank()
                && matches!(known.standing, Standing::Suspect | Standing::Dead)
        });
        doubted.cloned().map(Rumour::Member).into_iter().collect()
    }

    pub(super) fn note_digest(&self, sender: &Record, digest: &Digest) {
        self.state.lock().roster.note_revision(&sender.id, digest.revision);
        self.tracker.hint(&sender.id, digest.revision);
    }

    fn acknowledge(self: &Arc<Self>, number: u64, sender: &Record, digest: &Digest) {
        let waiting = {
            let mut state = self.state.lock();
            let at = state
                .waiting
                .iter()
                .position(|waiting| waiting.number == number && waiting.peer == sender.id);
            at.map(|at| state.waiting.swap_remove(at))
        };
        let Some(waiting) = waiting else { return };
        self.confirm(waiting.sent, digest);
        let _ = waiting.done.send(());
        self.compare_rosters(sender, digest);
    }

    /// Takes a peer's confirmation of the revision that both hold. It counts from the time at which
    /// the peer was asked, so that no pause on the way makes it look younger.
    pub(super) fn confirm(&self, asked: Instant, digest: &Digest) {
        if digest.revision != self.tracker.held() {
            return;
        }
        if let Some(at) = digest.age.and_then(|age| asked.checked_sub(age)) {
            self.tracker.confirm(at);
        }
    }

    fn hand_on(&self, payload: Payload) {
        if payload.origin == self.id || !self.state.lock().remember(&payload) {
            return;
        }
        let message =
            Message { from: payload.origin.clone(), payload: payload.bytes.clone().into() };
        let topic = payload.topic;
        self.enqueue(Rumour::Payload(payload));
        let mut is_full = false;
        self.subscribers.lock().retain(|one| {
            if one.topic != topic {
                return true;
            }
            let sent = one.sender.try_send(message.clone());
            is_full |= matches!(sent, Err(TrySendError::Full(_)));
            !matches!(sent, Err(TrySendError::Closed(_)))
        });
        if is_full {
            self.drop_one("subscriber_backlog");
        }
    }
}
