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
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Age from which a peer's rates no longer count.
const PEER_RATES_TIMEOUT: Duration = Duration::from_secs(5);
/// Accounts that are told to the peers at most, so that they fit into a datagram.
const MAX_PUBLISHED_RATES: usize = 24;
/// Smallest part of an account's demand that an instance takes for its own.
const MIN_LOCAL_SHARE: f64 = 0.02;

/// Demand of one account at one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rate {
    /// The account.
    pub account: AccountId,
    /// Requests a second.
    pub per_second: f32,
}

#[derive(Clone, Copy, Debug)]
struct Local {
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
    local: Table<Local>,
    peers: Table<Peer>,
}

impl Demand {
    /// Counts a request of `account`.
    pub fn record_arrival(&mut self, account: &AccountId, now: Instant) {
        if !self.local.contains(account) {
            self.local.insert(account.clone(), Local { per_second: 0.0, at: now });
        }
        if let Some(local) = self.local.get_mut(account) {
            local.per_second = local.rate_at(now) + 1.0 / RATE_TIME_CONSTANT.as_secs_f64();
            local.at = now;
        }
    }

    /// Returns the rates to tell to the peers, the highest ones if there are many.
    pub fn published_rates(&self, now: Instant) -> Vec<Rate> {
        let mut rates: Vec<Rate> = self
            .local
            .iter()
            .map(|row| Rate { account: row.id.clone(), per_second: row.value.rate_at(now) as f32 })
            .collect();
        rates.sort_by(|a, b| b.per_second.total_cmp(&a.per_second));
        rates.truncate(MAX_PUBLISHED_RATES);
        rates
    }

    /// Takes the rates of a peer.
    pub fn update_peer(&mut self, peer: &InstanceId, mut rates: Vec<Rate>, now: Instant) {
        rates.retain(|rate| rate.per_second.is_finite() && rate.per_second >= 0.0);
        rates.sort_by(|a, b| a.account.cmp(&b.account));
        self.peers.insert(peer.clone(), Peer { rates, at: now });
    }

    /// Returns the part of the account's demand that comes to this instance, from 0 to 1; 1 if
    /// nothing is known of the peers.
    pub fn local_share(&self, account: &AccountId, now: Instant) -> f64 {
        let own = self.local.get(account).map_or(0.0, |local| local.rate_at(now));
        let fresh = self
            .peers
            .iter()
            .map(|row| &row.value)
            .filter(|peer| now.saturating_duration_since(peer.at) < PEER_RATES_TIMEOUT);
        let others: f64 = fresh.map(|peer| peer.rate(account)).sum();
        if others <= 0.0 {
            return 1.0;
        }
        (own / (own + others)).max(MIN_LOCAL_SHARE)
    }
}

impl Local {
    fn rate_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-age / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

impl Peer {
    fn rate(&self, account: &AccountId) -> f64 {
        let found = self.rates.binary_search_by(|rate| rate.account.cmp(account));
        found.map_or(0.0, |at| f64::from(self.rates[at].per_second))
    }
}
