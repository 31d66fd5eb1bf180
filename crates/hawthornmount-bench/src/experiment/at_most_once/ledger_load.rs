//! Load on the ledgers of nine instances at today's bound of requests, without faults.

use {
    super::proxy::Proxy,
    crate::experiment::Failure,
    hawthornmount_core::{
        clock::{self, Clock},
        id,
        snapshot::{Liveness, Member},
    },
    hawthornmount_demo::world::any_port,
    hawthornmount_fleet::{Error as FleetError, Fleet, Message, Responder, Topic, local::Local},
    hawthornmount_ledger::{
        Claim, Claimed, Ledger, Outcome, Product, Usage, direct::Direct, log::Options,
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

/// Instances.
const INSTANCES: usize = 9;
/// Requests of all instances, a second.
const REQUESTS: u64 = 2_800;
/// One request in this many is non-idempotent.
const NON_IDEMPOTENT: u64 = 10;
/// How long the load lasts.
const LASTS: Duration = Duration::from_secs(5);
/// Delay of the store.
const STORE_DELAY: Duration = Duration::from_millis(2);
/// One-way delay between instances of different regions, to which the timer adds up to a
/// millisecond.
const PATH_DELAY: Duration = Duration::from_millis(2);
/// Highest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// How the instances share the writing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// A key for each record, written by each instance.
    KeyPerRecord,
    /// A segment for each shard and batch, each instance writing its own.
    Contended,
    /// The same, written by the shard's owner.
    Owned,
}

/// Figures of one way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Claims a second.
    pub claims: f64,
    /// Writes to the store a second.
    pub writes: f64,
    /// Median of a claim over that of the store's own answer, in milliseconds.
    pub added_p50_ms: f64,
    /// 99th percentile of a claim over that of the store's own answer, in milliseconds.
    pub added_p99_ms: f64,
    /// 99th percentile of a usage record, in milliseconds.
    pub usage_p99_ms: f64,
    /// Claims and records that failed.
    pub failed: f64,
}

/// Measures one way.
pub async fn measure(way: Strategy) -> Result<Figures, Failure> {
    let stand_in = StandIn::start(any_port()).await.map_err(|error| Failure::new(&error))?;
    stand_in.faults().set_delay(STORE_DELAY);
    let mesh = Arc::new(Mesh::default());
    let gates: Vec<Arc<Proxy>> =
        (0..INSTANCES).map(|_| Proxy::new(Arc::new(Etcd::new(vec![stand_in.address()])))).collect();
    let ledgers: Vec<Arc<dyn Ledger>> =
        gates.iter().enumerate().map(|(at, gate)| ledger(way, at, gate, &mesh)).collect();
    let sums = Arc::new(Sums::new());
    let started = Instant::now();
    let tasks = ledgers.iter().map(|ledger| tokio::spawn(drive(ledger.clone(), sums.clone())));
    futures::future::join_all(tasks.collect::<Vec<_>>()).await;
    let seconds = started.elapsed().as_secs_f64();
    let mut own = histogram();
    gates.iter().for_each(|gate| gate.add_latency(&mut own));
    let writes: u64 = gates.iter().map(|gate| gate.writes()).sum();
    Ok(sums.figures(seconds, writes, &own))
}

fn ledger(way: Strategy, at: usize, gate: &Arc<Proxy>, mesh: &Arc<Mesh>) -> Arc<dyn Ledger> {
    let store: Arc<dyn Store> = gate.clone();
    let clock: Arc<dyn Clock> = Arc::new(clock::System);
    let member = member(at);
    let fleet: Arc<dyn Fleet> = match way {
        Strategy::KeyPerRecord => return Arc::new(Direct::new(store)),
        Strategy::Contended => Arc::new(Local::new(member)),
        Strategy::Owned => mesh.join(member),
    };
    Arc::new(Product::new(&store, &fleet, &clock, Options::default()))
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

struct Sums {
    claims: Mutex<Histogram<u64>>,
    usage: Mutex<Histogram<u64>>,
    failed: Mutex<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("valid bounds")
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(MAX_MICROS)
}

impl Sums {
    fn new() -> Self {
        Self {
            claims: Mutex::new(histogram()),
            usage: Mutex::new(histogram()),
            failed: Mutex::new(0),
        }
    }

    fn figures(&self, seconds: f64, writes: u64, own: &Histogram<u64>) -> Figures {
        let claims = self.claims.lock();
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        Figures {
            claims: claims.len() as f64 / seconds,
            writes: writes as f64 / seconds,
            added_p50_ms: ms(&claims, 0.5) - ms(own, 0.5),
            added_p99_ms: ms(&claims, 0.99) - ms(own, 0.99),
            usage_p99_ms: ms(&self.usage.lock(), 0.99),
            failed: *self.failed.lock() as f64,
        }
    }

    async fn request(self: Arc<Self>, ledger: Arc<dyn Ledger>, claims: bool) {
        let request = id::fresh("req");
        if claims && !self.claim(&*ledger, &request).await {
            *self.failed.lock() += 1;
            return;
        }
        let started = Instant::now();
        let recorded = ledger.record(usage(&request)).await;
        self.usage.lock().saturating_record(micros(started));
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
        self.claims.lock().saturating_record(micros(started));
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

/// Hands in requests at an even pace, whether or not earlier ones have ended.
async fn drive(ledger: Arc<dyn Ledger>, sums: Arc<Sums>) {
    let pace = Duration::from_secs(1) * u32::try_from(INSTANCES).unwrap_or(1)
        / u32::try_from(REQUESTS).unwrap_or(1);
    let ends = Instant::now() + LASTS;
    let mut ticks = tokio::time::interval(pace);
    let mut tasks = Vec::new();
    let mut number = 0;
    while Instant::now() < ends {
        ticks.tick().await;
        number += 1;
        let claims = number % NON_IDEMPOTENT == 0;
        tasks.push(tokio::spawn(sums.clone().request(ledger.clone(), claims)));
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

/// Instances inside the process with the delay of the paths between regions.
#[derive(Default)]
struct Mesh {
    members: Mutex<Vec<Member>>,
    responders: Mutex<Vec<Seat>>,
}

struct Seat {
    id: Arc<str>,
    topic: Topic,
    responder: Arc<dyn Responder>,
}

struct Peer {
    mesh: Arc<Mesh>,
    member: Member,
}

impl Mesh {
    fn join(self: &Arc<Self>, member: Member) -> Arc<dyn Fleet> {
        self.members.lock().push(member.clone());
        Arc::new(Peer { mesh: self.clone(), member })
    }
}

impl Peer {
    fn delay_to(&self, peer: &Arc<str>) -> Duration {
        let members = self.mesh.members.lock();
        let is_near =
            members.iter().any(|one| one.id == *peer && one.data_centre == self.member.data_centre);
        if is_near { Duration::ZERO } else { PATH_DELAY }
    }
}

#[async_trait::async_trait]
impl Fleet for Peer {
    fn members(&self) -> Arc<[Member]> {
        self.mesh.members.lock().clone().into()
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
            let responders = self.mesh.responders.lock();
            let found = responders.iter().find(|seat| seat.id == *peer && seat.topic == topic);
            found.map(|seat| seat.responder.clone())
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
        self.mesh.responders.lock().push(Seat { id, topic, responder });
    }
}
