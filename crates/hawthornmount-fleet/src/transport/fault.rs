//! Faults of the network, injected in front of another transport.

use {
    super::{Connection, Transport},
    async_trait::async_trait,
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Time after which a connection into a cut link fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Rules of one network.
struct Rules {
    loss: f64,
    duplication: f64,
    delay: Duration,
    jitter: Duration,
    isolated: Vec<Vec<SocketAddr>>,
    cut: Vec<[SocketAddr; 2]>,
    paused: Vec<SocketAddr>,
    rng: StdRng,
}

/// Faults that can be switched on while a network runs.
#[derive(Clone)]
pub struct Faults {
    rules: Arc<Mutex<Rules>>,
    sent_bytes: Arc<AtomicU64>,
}

impl Faults {
    /// Creates a network without faults.
    pub fn new(seed: u64) -> Self {
        let rules = Rules {
            loss: 0.0,
            duplication: 0.0,
            delay: Duration::ZERO,
            jitter: Duration::ZERO,
            isolated: Vec::new(),
            cut: Vec::new(),
            paused: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        Self { rules: Arc::new(Mutex::new(rules)), sent_bytes: Arc::default() }
    }

    /// Loses this part of the datagrams, from 0 to 1.
    pub fn set_loss(&self, part: f64) {
        self.rules.lock().loss = part;
    }

    /// Sends this part of the datagrams twice, from 0 to 1.
    pub fn set_duplication(&self, part: f64) {
        self.rules.lock().duplication = part;
    }

    /// Delays datagrams by `delay` and at most `jitter` more, so that they overtake each other.
    pub fn set_delay(&self, delay: Duration, jitter: Duration) {
        let mut rules = self.rules.lock();
        rules.delay = delay;
        rules.jitter = jitter;
    }

    /// Cuts a group of addresses from all others.
    pub fn isolate(&self, group: Vec<SocketAddr>) {
        self.rules.lock().isolated.push(group);
    }

    /// Cuts two addresses from each other.
    pub fn cut(&self, one: SocketAddr, other: SocketAddr) {
        self.rules.lock().cut.push([one, other]);
    }

    /// Mends all cuts.
    pub fn heal(&self) {
        let mut rules = self.rules.lock();
        rules.isolated.clear();
        rules.cut.clear();
    }

    /// Lets nothing to or from `address` until it is resumed, as when its process is paused.
    pub fn pause(&self, address: SocketAddr) {
        self.rules.lock().paused.push(address);
    }

    /// Ends the pause of `address`.
    pub fn resume(&self, address: SocketAddr) {
        self.rules.lock().paused.retain(|paused| *paused != address);
    }

    /// Returns the bytes of all datagrams that were sent, lost ones included.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let rules = self.rules.lock();
        let crosses = |group: &Vec<SocketAddr>| group.contains(&from) != group.contains(&to);
        rules.paused.contains(&from)
            || rules.paused.contains(&to)
            || rules.isolated.iter().any(crosses)
            || rules.cut.iter().any(|pair| pair.contains(&from) && pair.contains(&to))
    }

    /// Returns the delay of each copy of the next datagram.
    fn copies(&self) -> Vec<Duration> {
        let mut guard = self.rules.lock();
        let rules = &mut *guard;
        if rules.rng.random_bool(rules.loss) {
            return Vec::new();
        }
        let copies = if rules.rng.random_bool(rules.duplication) { 2 } else { 1 };
        (0..copies).map(|_| rules.delay + rules.jitter.mul_f64(rules.rng.random())).collect()
    }
}

/// Transport with faults in front of another one.
pub struct Injector {
    inner: Arc<dyn Transport>,
    faults: Faults,
}

impl Injector {
    /// Puts `faults` in front of `inner`.
    pub fn new(inner: Arc<dyn Transport>, faults: Faults) -> Self {
        Self { inner, faults }
    }
}

#[async_trait]
impl Transport for Injector {
    fn address(&self) -> SocketAddr {
        self.inner.address()
    }

    async fn send(&self, to: SocketAddr, datagram: &[u8]) -> io::Result<()> {
        let length = u64::try_from(datagram.len()).unwrap_or(u64::MAX);
        self.faults.sent_bytes.fetch_add(length, Ordering::Relaxed);
        if self.faults.is_cut(self.address(), to) {
            return Ok(());
        }
        for delay in self.faults.copies() {
            if delay.is_zero() {
                self.inner.send(to, datagram).await?;
                continue;
            }
            let inner = self.inner.clone();
            let datagram = datagram.to_vec();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = inner.send(to, &datagram).await;
            });
        }
        Ok(())
    }

    async fn receive(&self) -> io::Result<Vec<u8>> {
        self.inner.receive().await
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<Connection> {
        if self.faults.is_cut(self.address(), to) {
            tokio::time::sleep(CONNECT_TIMEOUT).await;
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.inner.connect(to).await
    }

    async fn accept(&self) -> io::Result<Connection> {
        self.inner.accept().await
    }
}
