//! Request rates of accounts, exchanged between the instances, so that an account whose requests
//! arrive at few instances gets the same share of the fleet as one that uses all of them.

use {
    hawthornmount_core::{
        id::{AccountId, InstanceId},
        table::Table,
    },
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Time constant of the exponential decay of the local rates.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Age from which the rates of a peer are ignored.
const PEER_RATES_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of accounts whose rates are sent to the peers, so that they fit into a datagram.
const MAX_PUBLISHED_RATES: usize = 24;
/// Smallest share of an account's demand that an instance assumes for itself.
const MIN_LOCAL_SHARE: f64 = 0.02;

/// Request rate of one account at one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rate {
    /// The account.
    pub account: AccountId,
    /// Requests per second.
    pub per_second: f32,
}

/// Request rate of an account at this instance, as of its last request.
#[derive(Clone, Copy, Debug)]
struct Local {
    per_second: f64,
    at: Instant,
}

/// Rates that a peer sent last.
#[derive(Clone, Debug)]
struct Peer {
    /// Sorted by account.
    rates: Vec<Rate>,
    at: Instant,
}

/// Request rates of the accounts at this instance and at its peers.
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

    /// Returns the rates to send to the peers, only the highest ones if there are too many.
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

    /// Replaces the rates of `peer`. Rates that are negative or not finite are ignored.
    pub fn update_peer(&mut self, peer: &InstanceId, mut rates: Vec<Rate>, now: Instant) {
        rates.retain(|rate| rate.per_second.is_finite() && rate.per_second >= 0.0);
        rates.sort_by(|a, b| a.account.cmp(&b.account));
        self.peers.insert(peer.clone(), Peer { rates, at: now });
    }

    /// Returns the number of peers that have recently sent rates.
    pub fn heard(&self, now: Instant) -> usize {
        let is_fresh = |peer: &Peer| now.saturating_duration_since(peer.at) < PEER_RATES_TIMEOUT;
        self.peers.iter().filter(|row| is_fresh(&row.value)).count()
    }

    /// Returns the share of the account's demand that arrives at this instance, from 0 to 1; 1 if
    /// no peer has recently reported requests of the account.
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
