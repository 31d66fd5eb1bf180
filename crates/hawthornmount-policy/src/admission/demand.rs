//! Demand of accounts, shared between the instances, so that an account that comes to few
//! instances gets the same part of the fleet as one that comes to all.

use {
    hawthornmount_core::{
        id::{AccountId, InstanceId},
        table::Table,
    },
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Time constant of the rates.
const RATE_FADE: Duration = Duration::from_secs(2);
/// Age from which a peer's rates no longer count.
const STALE: Duration = Duration::from_secs(5);
/// Accounts that are told to the peers at most, so that they fit into a datagram.
const MAX_TOLD: usize = 24;
/// Smallest part of an account's demand that an instance takes for its own.
const MIN_SHARE: f64 = 0.02;

/// Demand of one account at one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rate {
    /// The account.
    pub account: AccountId,
    /// Requests a second.
    pub per_second: f32,
}

#[derive(Clone, Copy, Debug)]
struct Own {
    per_second: f64,
    at: Instant,
}

#[derive(Clone, Debug)]
struct Peer {
    rates: Vec<Rate>,
    at: Instant,
}

/// Demand at this instance and at its peers.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    own: Table<Own>,
    peers: Table<Peer>,
}

impl Demand {
    /// Counts a request of `account`.
    pub fn arrive(&mut self, account: &AccountId, now: Instant) {
        if !self.own.contains(account) {
            self.own.insert(account.clone(), Own { per_second: 0.0, at: now });
        }
        if let Some(own) = self.own.get_mut(account) {
            own.per_second = own.now(now) + 1.0 / RATE_FADE.as_secs_f64();
            own.at = now;
        }
    }

    /// Returns the rates to tell to the peers, the highest ones if there are many.
    pub fn rates(&self, now: Instant) -> Vec<Rate> {
        let mut rates: Vec<Rate> = self
            .own
            .iter()
            .map(|row| Rate { account: row.id.clone(), per_second: row.value.now(now) as f32 })
            .collect();
        rates.sort_by(|a, b| b.per_second.total_cmp(&a.per_second));
        rates.truncate(MAX_TOLD);
        rates
    }

    /// Takes the rates of a peer.
    pub fn take(&mut self, peer: &InstanceId, mut rates: Vec<Rate>, now: Instant) {
        rates.retain(|rate| rate.per_second.is_finite() && rate.per_second >= 0.0);
        rates.sort_by(|a, b| a.account.cmp(&b.account));
        self.peers.insert(peer.clone(), Peer { rates, at: now });
    }

    /// Returns the part of the account's demand that comes to this instance, from 0 to 1; 1 if
    /// nothing is known of the peers.
    pub fn share(&self, account: &AccountId, now: Instant) -> f64 {
        let own = self.own.get(account).map_or(0.0, |own| own.now(now));
        let fresh = self
            .peers
            .iter()
            .map(|row| &row.value)
            .filter(|peer| now.saturating_duration_since(peer.at) < STALE);
        let others: f64 = fresh.map(|peer| peer.rate(account)).sum();
        if others <= 0.0 {
            return 1.0;
        }
        (own / (own + others)).max(MIN_SHARE)
    }
}

impl Own {
    fn now(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-age / RATE_FADE.as_secs_f64()).exp()
    }
}

impl Peer {
    fn rate(&self, account: &AccountId) -> f64 {
        let found = self.rates.binary_search_by(|rate| rate.account.cmp(account));
        found.map_or(0.0, |at| f64::from(self.rates[at].per_second))
    }
}
