//! Load on the ledgers of nine instances without faults, at the current maximum rate of requests.

use {
    super::proxy::Proxy,
    crate::experiment::Failure,
    hawthornmount_core::{
        clock::{self, Clock},
        id,
        snapshot::{Liveness, Member},
    },
    hawthornmount_demo::deployment::any_port,
    hawthornmount_fleet::{Error as FleetError, Fleet, Message, Responder, Topic, local::Local},
    hawthornmount_ledger::{
        Claim, Claimed, Ledger, Outcome, Sharded, Usage, direct::Direct, log::Options,
    },
    hawthornmount_standin::store::Store as StandIn,
    hawthornmount_store::{Store, etcd::Etcd},
    hdrhistogram::Histogram,
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of instances.
const INSTANCES: usize = 9;
/// Requests per second, over all instances.
const REQUESTS_PER_S: u64 = 2_800;
/// One request in this many is non-idempotent.
const NON_IDEMPOTENT_EVERY: u64 = 10;
/// Duration of the load.
const DURATION: Duration = Duration::from_secs(5);
/// Delay of the stand-in store.
const STORE_DELAY: Duration = Duration::from_millis(2);
/// One-way delay between instances of different data centres. The resolution of the timer adds up
/// to a millisecond.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// Highest latency that the histograms record, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Strategy for writing records to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// Each instance writes each of its records under a key of its own.
    KeyPerRecord,
    /// Records are batched into segments by shard, and each instance writes its own segments.
    Contended,
    /// Records are batched into segments by shard, and the owner of a shard writes them.
    Owned,
}

/// Figures of one strategy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Claims per second.
    pub claims: f64,
    /// Writes to the store per second.
    pub writes: f64,
    /// Median latency of a claim minus that of a write at the store, in milliseconds.
    pub added_p50_ms: f64,
    /// 99th percentile of the latency of a claim minus that of a write at the store, in
    /// milliseconds.
    pub added_p99_ms: f64,
    /// 99th percentile of the latency of a usage record, in milliseconds.
    pub usage_p99_ms: f64,
    /// Number of claims and usage records that failed.
    pub failed: f64,
}

/// Measures one strategy.
pub async fn measure(strategy: Strategy) -> Result<Figures, Failure> {
    let stand_in = StandIn::start(any_port()).await.map_err(|error| Failure::new(&error))?;
    stand_in.faults().set_delay(STORE_DELAY);
    let network = Arc::new(Network::default());
    let proxies: Vec<Arc<Proxy>> =
        (0..INSTANCES).map(|_| Proxy::new(Arc::new(Etcd::new(vec![stand_in.address()])))).collect();
    let ledgers: Vec<Arc<dyn Ledger>> = proxies
        .iter()
        .enumerate()
        .map(|(at, proxy)| ledger(strategy, at, proxy, &network))
        .collect();
    let recorder = Arc::new(Recorder::new());
    let started = Instant::now();
    let tasks =
        ledgers.iter().map(|ledger| tokio::spawn(send_requests(ledger.clone(), recorder.clone())));
    futures::future::join_all(tasks.collect::<Vec<_>>()).await;
    let seconds = started.elapsed().as_secs_f64();
    let mut store_latency = new_histogram();
    proxies.iter().for_each(|proxy| proxy.add_latency(&mut store_latency));
    let writes: u64 = proxies.iter().map(|proxy| proxy.writes()).sum();
    Ok(recorder.figures(seconds, writes, &store_latency))
}

fn ledger(
    strategy: Strategy,
    at: usize,
    proxy: &Arc<Proxy>,
    network: &Arc<Network>,
) -> Arc<dyn Ledger> {
    let store: Arc<dyn Store> = proxy.clone();
    let clock: Arc<dyn Clock> = Arc::new(clock::System);
    let member = member(at);
    let fleet: Arc<dyn Fleet> = match strategy {
        Strategy::KeyPerRecord => return Arc::new(Direct::new(store)),
        Strategy::Contended => Arc::new(Local::new(member)),
        Strategy::Owned => network.join(member),
    };
    Arc::new(Sharded::new(&store, &fleet, &clock, Options::default()))
}

fn member(at: usize) -> Member {
    Member {
        id: format!("entry-{at}").into(),
        incarnation: 1,
        data_centre: format!("centre-{}", at % 3).into(),
        address: any_port(),
        liveness: Liveness::Alive,
        revision: 0,
    }
}

struct Recorder {
    claims: Mutex<Histogram<u64>>,
    usage: Mutex<Histogram<u64>>,
    failed: Mutex<u64>,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds")
}

fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US)
}

impl Recorder {
    fn new() -> Self {
        Self {
            claims: Mutex::new(new_histogram()),
            usage: Mutex::new(new_histogram()),
            failed: Mutex::new(0),
        }
    }

    fn figures(&self, seconds: f64, writes: u64, store_latency: &Histogram<u64>) -> Figures {
        let claims = self.claims.lock();
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        Figures {
            claims: claims.len() as f64 / seconds,
            writes: writes as f64 / seconds,
            added_p50_ms: ms(&claims, 0.5) - ms(store_latency, 0.5),
            added_p99_ms: ms(&claims, 0.99) - ms(store_latency, 0.99),
            usage_p99_ms: ms(&self.usage.lock(), 0.99),
            failed: *self.failed.lock() as f64,
        }
    }

    async fn request(self: Arc<Self>, ledger: Arc<dyn Ledger>, with_claim: bool) {
        let request = id::generate("req");
        if with_claim && !self.claim(&*ledger, &request).await {
            *self.failed.lock() += 1;
            return;
        }
        let started = Instant::now();
        let recorded = ledger.record(usage(&request)).await;
        self.usage.lock().saturating_record(elapsed_us(started));
        *self.failed.lock() += u64::from(recorded.is_err());
    }

    async fn claim(&self, ledger: &dyn Ledger, request: &Arc<str>) -> bool {
        let claim = Claim {
            account: "municipal".into(),
            key: request.clone(),
            attempt: request.clone(),
            digest: "body".into(),
            until_ms: u64::MAX,
        };
        let started = Instant::now();
        let claimed = ledger.claim(claim).await;
        self.claims.lock().saturating_record(elapsed_us(started));
        let Ok(Claimed::First(ticket)) = claimed else { return false };
        let outcome = Outcome::Done {
            status: 200,
            content_type: "application/json".into(),
            body: Some(b"{\"state\":\"accepted\"}".to_vec()),
            digest: "digest".into(),
        };
        ledger.settle(&ticket, outcome).await.is_ok()
    }
}

/// Sends the requests of one instance at a constant rate, whether or not earlier ones have ended.
async fn send_requests(ledger: Arc<dyn Ledger>, recorder: Arc<Recorder>) {
    let interval = Duration::from_secs(1) * u32::try_from(INSTANCES).unwrap_or(1)
        / u32::try_from(REQUESTS_PER_S).unwrap_or(1);
    let end = Instant::now() + DURATION;
    let mut ticks = tokio::time::interval(interval);
    let mut tasks = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        ticks.tick().await;
        number += 1;
        let with_claim = number % NON_IDEMPOTENT_EVERY == 0;
        tasks.push(tokio::spawn(recorder.clone().request(ledger.clone(), with_claim)));
    }
    futures::future::join_all(tasks).await;
}

fn usage(request: &Arc<str>) -> Usage {
    Usage {
        request: request.clone(),
        account: "municipal".into(),
        model: "draft-small".into(),
        version: "v1".into(),
        prompt_tokens: 100,
        completion_tokens: 400,
        billed: 5,
        cost: 5,
        at_ms: 1,
    }
}

/// In-process network of the instances that simulates the delay between data centres.
#[derive(Default)]
struct Network {
    members: Mutex<Vec<Member>>,
    responders: Mutex<Vec<Registration>>,
}

struct Registration {
    id: Arc<str>,
    topic: Topic,
    responder: Arc<dyn Responder>,
}

struct Peer {
    network: Arc<Network>,
    member: Member,
}

impl Network {
    fn join(self: &Arc<Self>, member: Member) -> Arc<dyn Fleet> {
        self.members.lock().push(member.clone());
        Arc::new(Peer { network: self.clone(), member })
    }
}

impl Peer {
    fn delay_to(&self, peer: &Arc<str>) -> Duration {
        let members = self.network.members.lock();
        let is_same_data_centre =
            members.iter().any(|one| one.id == *peer && one.data_centre == self.member.data_centre);
        if is_same_data_centre { Duration::ZERO } else { NETWORK_DELAY }
    }
}

#[async_trait::async_trait]
impl Fleet for Peer {
    fn members(&self) -> Arc<[Member]> {
        self.network.members.lock().clone().into()
    }

    fn local(&self) -> Arc<str> {
        self.member.id.clone()
    }

    fn broadcast(&self, _topic: Topic, _payload: bytes::Bytes) -> Result<(), FleetError> {
        Ok(())
    }

    async fn request(
        &self,
        peer: &Arc<str>,
        topic: Topic,
        payload: bytes::Bytes,
    ) -> Result<bytes::Bytes, FleetError> {
        let delay = self.delay_to(peer);
        let found = {
            let responders = self.network.responders.lock();
            let found = responders
                .iter()
                .find(|registration| registration.id == *peer && registration.topic == topic);
            found.map(|registration| registration.responder.clone())
        };
        let responder = found.ok_or_else(|| FleetError::NotMember { peer: peer.clone() })?;
        tokio::time::sleep(delay).await;
        let answer = responder.respond(Message { from: self.member.id.clone(), payload }).await;
        tokio::time::sleep(delay).await;
        Ok(answer)
    }

    fn subscribe(&self, _topic: Topic, _sender: tokio::sync::mpsc::Sender<Message>) {}

    fn respond_with(&self, topic: Topic, responder: Arc<dyn Responder>) {
        let id = self.member.id.clone();
        self.network.responders.lock().push(Registration { id, topic, responder });
    }
}
