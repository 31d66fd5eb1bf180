//! Probes of members in shuffled turns, and what follows from silence.

use {
    super::{Mesh, state::Waiting},
    crate::{
        roster::Change,
        wire::{Body, Outcome, Question, Record, Rumour},
    },
    futures::{StreamExt, stream::FuturesUnordered},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{Instant, MissedTickBehavior},
    },
};

/// Pause between two probes.
const PERIOD: Duration = Duration::from_secs(1);
/// Time in which a ping has to be acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_millis(250);
/// Pings before the probe goes on over TCP.
const PINGS: usize = 2;
/// Members that are asked to try a silent one.
const RELAYS: usize = 3;
/// Gap between two periods that shows that this instance was paused.
const PAUSE_GAP: Duration = Duration::from_secs(4);
/// Part of the periods in which a dead member is pinged.
const DEAD_PROBE_SHARE: f64 = 0.5;

impl Mesh {
    pub(super) async fn probe_all(self: &Arc<Self>) {
        let offset = PERIOD.mul_f64(self.state.lock().random());
        tokio::time::sleep(offset).await;
        let mut ticks = tokio::time::interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = Instant::now();
        loop {
            ticks.tick().await;
            if last.elapsed() > PAUSE_GAP {
                self.state.lock().roster.restart_suspicions(Instant::now());
            }
            last = Instant::now();
            self.expire();
            if let Some(record) = self.next_turn() {
                tokio::spawn(self.clone().probe(record));
            }
            self.ping_dead().await;
        }
    }

    fn expire(&self) {
        let news = self.state.lock().roster.expire(Instant::now());
        for record in news {
            log::info!("member gave no sign of life and is given up; id={}", record.id);
            self.spread_member(record);
        }
    }

    fn next_turn(&self) -> Option<Record> {
        let mut state = self.state.lock();
        if state.turns.is_empty() {
            let reachable = state.roster.reachable();
            let count = reachable.len();
            state.turns = state.choose(reachable, count);
        }
        while let Some(turn) = state.turns.pop() {
            let known = state.roster.get(&turn.id).cloned();
            if known.is_some() {
                return known;
            }
        }
        None
    }

    async fn probe(self: Arc<Self>, record: Record) {
        let began = Instant::now();
        if self.is_reachable(&record).await || self.is_reachable_by_others(&record).await {
            return;
        }
        if began.elapsed() > PAUSE_GAP {
            return;
        }
        let change = self.state.lock().roster.suspect(&record, Instant::now());
        if let Change::News(news) = change {
            log::info!("member gives no sign of life; id={}", news.id);
            self.spread_member(news);
        }
    }

    pub(super) async fn is_reachable(&self, record: &Record) -> bool {
        for _ in 0..PINGS {
            if self.ping(record).await {
                return true;
            }
        }
        matches!(self.question(record, Question::Check).await, Ok(Outcome::Reachable(true)))
    }

    async fn ping(&self, record: &Record) -> bool {
        let (done, acknowledged) = oneshot::channel();
        let sent = Instant::now();
        let number = {
            let mut state = self.state.lock();
            let number = state.next_number();
            state.waiting.push(Waiting { number, peer: record.id.clone(), done, sent });
            number
        };
        self.send(record, Body::Ping(number), self.doubts_of(record)).await;
        let acknowledged = tokio::time::timeout(ACK_TIMEOUT, acknowledged).await;
        self.state.lock().waiting.retain(|waiting| waiting.number != number);
        matches!(acknowledged, Ok(Ok(())))
    }

    async fn is_reachable_by_others(&self, record: &Record) -> bool {
        let relays = {
            let mut state = self.state.lock();
            let mut relays = state.roster.reachable();
            relays.retain(|relay| relay.id != record.id);
            state.choose(relays, RELAYS)
        };
        let answers = relays.iter().map(|relay| self.relay(relay, record));
        let mut answers: FuturesUnordered<_> = answers.collect();
        while let Some(is_reachable) = answers.next().await {
            if is_reachable {
                return true;
            }
        }
        false
    }

    async fn relay(&self, relay: &Record, record: &Record) -> bool {
        let question = Question::Relay(record.clone());
        matches!(self.question(relay, question).await, Ok(Outcome::Reachable(true)))
    }

    /// Pings a dead member now and then, so that the halves of a healed network find each other.
    async fn ping_dead(&self) {
        let dead = {
            let mut state = self.state.lock();
            if state.random() > DEAD_PROBE_SHARE {
                return;
            }
            let dead = state.roster.dead();
            state.choose(dead, 1)
        };
        for record in dead {
            let rumours = vec![Rumour::Member(record.clone())];
            self.send(&record, Body::Gossip, rumours).await;
        }
    }

    /// Returns the doubt about a member that it has to refute.
    fn doubts_of(&self, record: &Record) -> Vec<Rumour> {
        let alive = Record { standing: crate::wire::Standing::Alive, ..record.clone() };
        self.doubts(&alive)
    }
}
