//! Injection of network faults in front of another transport.

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

/// Time after which a connection attempt over a cut link fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Faults that are currently in effect.
struct Active {
    loss: f64,
    duplication: f64,
    delay: Duration,
    jitter: Duration,
    isolated: Vec<Vec<SocketAddr>>,
    cut: Vec<[SocketAddr; 2]>,
    paused: Vec<SocketAddr>,
    rng: StdRng,
}

/// Faults of a network, shared by its transports, that can be changed while it runs.
#[derive(Clone)]
pub struct Faults {
    active: Arc<Mutex<Active>>,
    sent_bytes: Arc<AtomicU64>,
}

impl Faults {
    /// Creates a set without faults; `seed` determines the random ones.
    pub fn new(seed: u64) -> Self {
        let active = Active {
            loss: 0.0,
            duplication: 0.0,
            delay: Duration::ZERO,
            jitter: Duration::ZERO,
            isolated: Vec::new(),
            cut: Vec::new(),
            paused: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        Self { active: Arc::new(Mutex::new(active)), sent_bytes: Arc::default() }
    }

    /// Sets the fraction of datagrams that are lost, from 0 to 1.
    pub fn set_loss(&self, fraction: f64) {
        self.active.lock().loss = fraction;
    }

    /// Sets the fraction of datagrams that are duplicated, from 0 to 1.
    pub fn set_duplication(&self, fraction: f64) {
        self.active.lock().duplication = fraction;
    }

    /// Delays datagrams by `delay` plus a random time up to `jitter`, so that they are reordered.
    pub fn set_delay(&self, delay: Duration, jitter: Duration) {
        let mut active = self.active.lock();
        active.delay = delay;
        active.jitter = jitter;
    }

    /// Partitions a group of addresses from all others.
    pub fn isolate(&self, group: Vec<SocketAddr>) {
        self.active.lock().isolated.push(group);
    }

    /// Cuts the link between two addresses.
    pub fn cut(&self, one: SocketAddr, other: SocketAddr) {
        self.active.lock().cut.push([one, other]);
    }

    /// Removes all partitions and cut links.
    pub fn heal(&self) {
        let mut active = self.active.lock();
        active.isolated.clear();
        active.cut.clear();
    }

    /// Blocks all traffic to and from `address` until it is resumed, as if its process were paused.
    pub fn pause(&self, address: SocketAddr) {
        self.active.lock().paused.push(address);
    }

    /// Unblocks the traffic to and from `address`.
    pub fn resume(&self, address: SocketAddr) {
        self.active.lock().paused.retain(|paused| *paused != address);
    }

    /// Returns the bytes of all datagrams that were sent, including lost ones.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let active = self.active.lock();
        let crosses = |group: &Vec<SocketAddr>| group.contains(&from) != group.contains(&to);
        active.paused.contains(&from)
            || active.paused.contains(&to)
            || active.isolated.iter().any(crosses)
            || active.cut.iter().any(|pair| pair.contains(&from) && pair.contains(&to))
    }

    /// Draws the delays of the copies of the next datagram; none if it is lost.
    fn copies(&self) -> Vec<Duration> {
        let mut guard = self.active.lock();
        let active = &mut *guard;
        if active.rng.random_bool(active.loss) {
            return Vec::new();
        }
        let copies = if active.rng.random_bool(active.duplication) { 2 } else { 1 };
        (0..copies).map(|_| active.delay + active.jitter.mul_f64(active.rng.random())).collect()
    }
}

/// Transport that injects faults in front of another one.
pub struct Injector {
    inner: Arc<dyn Transport>,
    faults: Faults,
}

impl Injector {
    /// Creates a transport that injects `faults` in front of `inner`.
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
