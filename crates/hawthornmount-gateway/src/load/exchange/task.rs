//! Sends and receives the datagrams of the exchange.

use {
    super::Digest,
    crate::{
        adaptation::Adaptation, forward::admission::Admission, load::Tracker, membership::Peer,
    },
    hawthornmount_core::{id::InstanceId, metrics::Metrics},
    hawthornmount_fleet::wire::{Keyring, MAX_DATAGRAM_BYTES},
    parking_lot::Mutex,
    rand::seq::SliceRandom,
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::net::UdpSocket,
};

/// Interval between two datagrams to an instance of a small data centre.
const INTERVAL: Duration = Duration::from_millis(150);
/// Instances to which a datagram is sent at a time. In a larger data centre, each interval reaches
/// others.
const FAN_OUT: usize = 12;
/// Requests a second below which an instance has no demand to tell.
const LEAST_RATE: f32 = 0.05;
/// Name of this part among those that drop something.
const PART: &str = "load_exchange";

/// Other instances of the data centre, as the follower of the store knows them.
#[derive(Default)]
pub struct Peers(Mutex<Known>);

#[derive(Default)]
struct Known {
    /// Keys of this instance, once it is registered.
    own: Option<Keyring>,
    rows: Vec<Row>,
}

#[derive(Clone)]
struct Row {
    id: InstanceId,
    address: SocketAddr,
    keyring: Keyring,
}

impl Peers {
    /// Replaces the instances, and the secret of this one.
    pub fn set(&self, secret: Option<Arc<str>>, peers: &[Peer]) {
        let row = |peer: &Peer| Row {
            id: peer.id.clone(),
            address: peer.contact.address,
            keyring: Keyring::new(&peer.contact.secret),
        };
        let mut rows: Vec<Row> = peers.iter().map(row).collect();
        rows.sort_by_key(|row| row.address);
        *self.0.lock() = Known { own: secret.map(|secret| Keyring::new(&secret)), rows };
    }

    /// Returns the number of the other instances.
    pub fn count(&self) -> usize {
        self.0.lock().rows.len()
    }

    /// Returns the keys of this instance and the addresses of some others.
    fn destinations(&self) -> Option<(Keyring, Vec<SocketAddr>)> {
        let known = self.0.lock();
        let mut addresses: Vec<SocketAddr> = known.rows.iter().map(|row| row.address).collect();
        if addresses.len() > FAN_OUT {
            addresses.shuffle(&mut rand::rng());
            addresses.truncate(FAN_OUT);
        }
        known.own.clone().map(|own| (own, addresses))
    }

    /// Returns the instance at an address.
    fn sender(&self, address: SocketAddr) -> Option<(InstanceId, Keyring)> {
        let known = self.0.lock();
        let at = known.rows.binary_search_by_key(&address, |row| row.address).ok()?;
        Some((known.rows[at].id.clone(), known.rows[at].keyring.clone()))
    }
}

/// Exchange of loads of one instance.
pub struct Channel {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Other instances.
    pub peers: Arc<Peers>,
    /// Loads of the servers.
    pub loads: Arc<Mutex<Tracker>>,
    /// Demand of the instances.
    pub admission: Arc<Admission>,
    /// When loads are exchanged.
    pub adaptation: Adaptation,
    /// Counts what is dropped.
    pub metrics: Metrics,
}

impl Channel {
    /// Exchanges loads over a datagram socket at an address, once the instance adapts; never returns
    /// unless the address can't be bound.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn run(self, address: SocketAddr) -> io::Result<()> {
        self.adaptation.wait().await;
        let socket = UdpSocket::bind(address).await?;
        let mut ticks = tokio::time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                _ = ticks.tick() => self.send(&socket).await,
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, sender)) => self.receive(&buffer[..length], sender),
                    // The address of an instance that is gone may answer with an error.
                    Err(error) => log::debug!("a load was not received; cause={error}"),
                },
            }
        }
    }

    async fn send(&self, socket: &UdpSocket) {
        let Some((keyring, addresses)) = self.peers.destinations() else { return };
        let now = Instant::now();
        let rows = self.loads.lock().take_rows(now);
        let rates = self.admission.demand.lock().published_rates(now);
        if rows.is_empty() && rates.iter().all(|rate| rate.per_second < LEAST_RATE) {
            return;
        }
        let frame = Digest { from: self.instance.clone(), rates, rows }.seal(&keyring);
        for address in addresses {
            if let Err(error) = socket.send_to(&frame, address).await {
                log::debug!("a load was not sent; to={address} cause={error}");
            }
        }
    }

    fn receive(&self, frame: &[u8], address: SocketAddr) {
        let Some((id, keyring)) = self.peers.sender(address) else {
            self.metrics.count_drop(PART, "unknown_sender");
            return;
        };
        match Digest::open(frame, &keyring) {
            Ok(digest) if digest.from == id => {
                let now = Instant::now();
                self.loads.lock().apply_digest(&digest, now);
                self.admission.demand.lock().update_peer(&id, digest.rates, now);
            }
            Ok(_) => self.metrics.count_drop(PART, "other_sender"),
            Err(reject) => self.metrics.count_drop(PART, &reject.to_string()),
        }
    }
}
