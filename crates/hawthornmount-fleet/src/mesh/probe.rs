//! Failure detection: probes of members in shuffled order, and suspicion of members that do not
//! answer.

use {
    super::{Mesh, state::PendingPing},
    crate::{
        roster::Change,
        wire::{Body, Outcome, Query, Record, Update},
    },
    futures::{StreamExt, stream::FuturesUnordered},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{Instant, MissedTickBehavior},
    },
};

/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of the acknowledgement of a ping.
const ACK_TIMEOUT: Duration = Duration::from_millis(250);
/// Pings over UDP before the probe falls back to TCP.
const PINGS_PER_PROBE: usize = 2;
/// Members that are asked to probe a member that did not answer.
const RELAYS_PER_PROBE: usize = 3;
/// Time between two ticks of the probe loop, or duration of one probe, above which this instance
/// itself is taken to have been paused.
const STALL_THRESHOLD: Duration = Duration::from_secs(4);
/// Probability with which gossip is sent to a dead member in a probe interval.
const DEAD_GOSSIP_PROBABILITY: f64 = 0.5;

impl Mesh {
    pub(super) async fn probe_loop(self: &Arc<Self>) {
        let offset = PROBE_INTERVAL.mul_f64(self.state.lock().random());
        tokio::time::sleep(offset).await;
        let mut ticks = tokio::time::interval(PROBE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_tick = Instant::now();
        loop {
            ticks.tick().await;
            if last_tick.elapsed() > STALL_THRESHOLD {
                self.state.lock().roster.restart_suspicions(Instant::now());
            }
            last_tick = Instant::now();
            self.expire();
            if let Some(record) = self.next_probe_target() {
                tokio::spawn(self.clone().probe(record));
            }
            self.gossip_to_dead().await;
        }
    }

    fn expire(&self) {
        let expired = self.state.lock().roster.expire(Instant::now());
        for record in expired {
            log::info!("member did not refute its suspicion and is now dead; id={}", record.id);
            self.broadcast_record(record);
        }
    }

    fn next_probe_target(&self) -> Option<Record> {
        let mut state = self.state.lock();
        if state.probe_order.is_empty() {
            let reachable = state.roster.reachable();
            let count = reachable.len();
            state.probe_order = state.sample(reachable, count);
        }
        while let Some(next) = state.probe_order.pop() {
            let known = state.roster.get(&next.id).cloned();
            if known.is_some() {
                return known;
            }
        }
        None
    }

    async fn probe(self: Arc<Self>, record: Record) {
        let started = Instant::now();
        if self.is_reachable(&record).await || self.is_reachable_via_relays(&record).await {
            return;
        }
        if started.elapsed() > STALL_THRESHOLD {
            return;
        }
        let change = self.state.lock().roster.suspect(&record, Instant::now());
        if let Change::Updated(record) = change {
            log::info!("member did not answer a probe; id={}", record.id);
            self.broadcast_record(record);
        }
    }

    pub(super) async fn is_reachable(&self, record: &Record) -> bool {
        for _ in 0..PINGS_PER_PROBE {
            if self.ping(record).await {
                return true;
            }
        }
        matches!(self.query(record, Query::Check).await, Ok(Outcome::Reachable(true)))
    }

    async fn ping(&self, record: &Record) -> bool {
        let (done, acknowledged) = oneshot::channel();
        let sent_at = Instant::now();
        let number = {
            let mut state = self.state.lock();
            let number = state.next_sequence_number();
            state.pending_pings.push(PendingPing {
                number,
                peer: record.id.clone(),
                done,
                sent_at,
            });
            number
        };
        self.send(record, Body::Ping(number), self.suspicion_of(record)).await;
        let acknowledged = tokio::time::timeout(ACK_TIMEOUT, acknowledged).await;
        self.state.lock().pending_pings.retain(|ping| ping.number != number);
        matches!(acknowledged, Ok(Ok(())))
    }

    async fn is_reachable_via_relays(&self, record: &Record) -> bool {
        let relays = {
            let mut state = self.state.lock();
            let mut relays = state.roster.reachable();
            relays.retain(|relay| relay.id != record.id);
            state.sample(relays, RELAYS_PER_PROBE)
        };
        let probes = relays.iter().map(|relay| self.relay_probe(relay, record));
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some(is_reachable) = probes.next().await {
            if is_reachable {
                return true;
            }
        }
        false
    }

    async fn relay_probe(&self, relay: &Record, record: &Record) -> bool {
        let query = Query::Relay(record.clone());
        matches!(self.query(relay, query).await, Ok(Outcome::Reachable(true)))
    }

    /// Sends gossip to a random dead member now and then, so that the sides of a healed network
    /// partition find each other.
    async fn gossip_to_dead(&self) {
        let dead = {
            let mut state = self.state.lock();
            if state.random() > DEAD_GOSSIP_PROBABILITY {
                return;
            }
            let dead = state.roster.dead();
            state.sample(dead, 1)
        };
        for record in dead {
            let updates = vec![Update::Member(record.clone())];
            self.send(&record, Body::Gossip, updates).await;
        }
    }

    /// Returns the suspicion of a member, if there is one, for it to refute.
    fn suspicion_of(&self, record: &Record) -> Vec<Update> {
        let alive = Record { standing: crate::wire::Standing::Alive, ..record.clone() };
        self.suspicions(&alive)
    }
}
