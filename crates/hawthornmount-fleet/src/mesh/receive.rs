//! Handling of received datagrams.

use {
    super::Mesh,
    crate::{
        Message,
        wire::{Body, Digest, Frame, MAX_DATAGRAM_BYTES, Payload, Record, Standing, Update},
    },
    std::sync::Arc,
    tokio::{sync::mpsc::error::TrySendError, time::Instant},
};

impl Mesh {
    pub(super) async fn receive_loop(self: &Arc<Self>) {
        loop {
            match self.transport().receive().await {
                Ok(bytes) => self.receive(&bytes).await,
                // The operating system reports that an earlier datagram reached a closed port.
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
        let frame: Frame = match self.keyring.open(bytes, MAX_DATAGRAM_BYTES) {
            Ok(frame) => frame,
            Err(reject) => return self.count_drop(&reject.to_string()),
        };
        if frame.to != self.id {
            return self.count_drop("misaddressed");
        }
        if frame.from.id == self.id {
            return self.count_drop("same_name");
        }
        self.handle_frame(frame).await;
    }

    async fn handle_frame(self: &Arc<Self>, frame: Frame) {
        let sender = frame.from.clone();
        let precedence_before = self.state.lock().roster.local().precedence();
        self.merge_record(frame.from);
        for update in frame.updates {
            match update {
                Update::Member(record) => self.merge_record(record),
                Update::Payload(payload) => self.deliver(payload),
            }
        }
        self.record_digest(&sender, &frame.digest);
        match frame.body {
            Body::Ping(number) => {
                self.send(&sender, Body::Ack(number), self.suspicions(&sender)).await;
            }
            Body::Ack(number) => self.handle_ack(number, &sender, &frame.digest),
            Body::Gossip => {
                self.reply_to_gossip(&sender, precedence_before != self.local_precedence()).await;
            }
        }
    }

    /// Replies if the sender has a suspicion to refute, or if this instance has just refuted one.
    async fn reply_to_gossip(&self, sender: &Record, has_refuted: bool) {
        let suspicions = self.suspicions(sender);
        if has_refuted || !suspicions.is_empty() {
            self.send(sender, Body::Gossip, suspicions).await;
        }
    }

    fn local_precedence(&self) -> (u64, u32, Standing) {
        self.state.lock().roster.local().precedence()
    }

    /// Returns the record by which the sender is known as suspect or dead, if that takes precedence
    /// over its own record, for the sender to refute.
    pub(super) fn suspicions(&self, sender: &Record) -> Vec<Update> {
        let state = self.state.lock();
        let known = state.roster.get(&sender.id);
        let disputed = known.filter(|known| {
            known.precedence() > sender.precedence()
                && matches!(known.standing, Standing::Suspect | Standing::Dead)
        });
        disputed.cloned().map(Update::Member).into_iter().collect()
    }

    pub(super) fn record_digest(&self, sender: &Record, digest: &Digest) {
        self.state.lock().roster.record_revision(&sender.id, digest.revision);
        self.tracker.hint(&sender.id, digest.revision);
    }

    fn handle_ack(self: &Arc<Self>, number: u64, sender: &Record, digest: &Digest) {
        let pending = {
            let mut state = self.state.lock();
            let at = state
                .pending_pings
                .iter()
                .position(|ping| ping.number == number && ping.peer == sender.id);
            at.map(|at| state.pending_pings.swap_remove(at))
        };
        let Some(ping) = pending else { return };
        self.confirm(ping.sent_at, digest);
        let _ = ping.done.send(());
        self.compare_rosters(sender, digest);
    }

    /// Takes over a peer's confirmation of the revision that both hold. The age counts back from
    /// the time at which the request was sent, so that a delay in transit never makes the
    /// confirmation look newer than it is.
    pub(super) fn confirm(&self, requested_at: Instant, digest: &Digest) {
        if digest.revision != self.tracker.held() {
            return;
        }
        if let Some(at) = digest.age.and_then(|age| requested_at.checked_sub(age)) {
            self.tracker.confirm(at);
        }
    }

    fn deliver(&self, payload: Payload) {
        if payload.origin == self.id || !self.state.lock().mark_seen(&payload) {
            return;
        }
        let message =
            Message { from: payload.origin.clone(), payload: payload.bytes.clone().into() };
        let topic = payload.topic;
        self.enqueue(Update::Payload(payload));
        let mut is_full = false;
        self.subscribers.lock().retain(|subscriber| {
            if subscriber.topic != topic {
                return true;
            }
            let sent = subscriber.sender.try_send(message.clone());
            is_full |= matches!(sent, Err(TrySendError::Full(_)));
            !matches!(sent, Err(TrySendError::Closed(_)))
        });
        if is_full {
            self.count_drop("subscriber_backlog");
        }
    }
}
