//! Orders that load versions into engines, with and without a check of fencing numbers.

use {
    hawthornmount_core::{
        clock::{Clock, Manual},
        config::Config,
        snapshot::{Backend, Health, Release, Snapshot},
    },
    hawthornmount_http::client::{Client, Error},
    hawthornmount_rollout::{
        driver::lease::{self, Lease},
        monitor::Monitor,
        order::Orders,
    },
    hawthornmount_standin::engine::{Engine, Loaded, Order, OrderResponse},
    hawthornmount_store::{Store, memory::Memory},
    rstest::rstest,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longer than the time to live of the lease, so that it expires without a renewal.
const PAST_LEASE_TTL: Duration = Duration::from_secs(7);
/// Time after the last renewal from which the holder may not act any more.
const ACTIVE_PERIOD: Duration = Duration::from_secs(3);
/// Longer than the shortest interval between two orders that load weights.
const PAST_LOAD_INTERVAL: Duration = Duration::from_millis(1_100);
/// Time-out of an order.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Monitor, store and engine on which lease holders run their rounds.
struct Fixture {
    clock: Arc<Manual>,
    store: Memory,
    engine: Engine,
    monitor: Monitor,
    config: Arc<Config>,
}

impl Fixture {
    async fn new(checks_fencing: bool, loaded: &[&str]) -> Self {
        let clock = Arc::new(Manual::new());
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let loaded = loaded.iter().map(|version| version_of(version)).collect();
        let engine = Engine::start(any_port, 4, checks_fencing, loaded).await.expect("starts");
        let config = Arc::new(config(engine.address(), checks_fencing));
        let monitor = Monitor::new("i1".into(), 1, clock.clone());
        monitor.configure(1, &config, 1);
        let store = Memory::with_clock(clock.clone());
        Self { clock, store, engine, monitor, config }
    }

    async fn holder(&self, name: &str) -> Holder {
        let clock: Arc<dyn Clock> = self.clock.clone();
        let mut lease = Lease::new(name.into(), clock);
        self.acquire_or_renew(&mut lease).await;
        Holder { lease, orders: Orders::new(Client::new()) }
    }

    async fn acquire_or_renew(&self, lease: &mut Lease) {
        let entry = self.store.get(lease::KEY).await.expect("the store answers");
        lease.acquire_or_renew(&self.store, entry.as_ref()).await.expect("the store answers");
    }

    /// Runs one round of the holder: it sends the orders that the engine's state requires.
    async fn run_round(&self, holder: &mut Holder) {
        let loaded = self.engine.loaded();
        let mut loaded: Vec<Release> = loaded
            .into_iter()
            .map(|version| Release { model: version.model, version: version.version })
            .collect();
        loaded.sort();
        let backend = Backend {
            id: "e1".into(),
            address: self.engine.address(),
            data_centre: "dc0".into(),
            region: "r0".into(),
            health: Health::Up,
            loaded,
            slots: 4,
            load: 0,
            reported: Some(Instant::now()),
        };
        let backends = Arc::from([backend]);
        let config = self.config.clone();
        let snapshot = Snapshot { revision: 1, config, backends, ..Snapshot::empty() };
        holder.orders.round(&snapshot, &self.monitor, &holder.lease).await;
    }

    /// Sends an order of an earlier holder, to load the old version.
    async fn send_stale_order(&self, fence: u64) -> Result<OrderResponse, Error> {
        let order = Order { fence, loaded: vec![version_of("old")] };
        Client::new().post(self.engine.address(), "/orders", &order, TIMEOUT).await
    }
}

/// Instance that holds the lease and sends orders, or did so earlier.
struct Holder {
    lease: Lease,
    orders: Orders,
}

fn version_of(version: &str) -> Loaded {
    Loaded { model: "m".into(), version: version.into() }
}

fn config(address: SocketAddr, checks_fencing: bool) -> Config {
    let value = serde_json::json!({
        "data_centres": { "dc0": { "region": "r0" } },
        "models": { "m": { "price": 1, "stable": "new", "versions": {
            "old": { "state": "withdrawn" }, "new": { "state": "proven" },
        } } },
        "servers": { "e1": {
            "address": address, "data_centre": "dc0", "slots": 4, "models": ["m"],
            "checks_fencing": checks_fencing,
        } },
    });
    serde_json::from_value(value).expect("the configuration is valid")
}

/// Guards against a delayed order of an earlier holder that brings a withdrawn version back. An
/// engine that checks fencing numbers refuses it; any other one gets repaired by the next order of
/// the present holder.
#[rstest]
#[case::checks_fencing(true)]
#[case::does_not_check(false)]
#[tokio::test]
async fn stale_order_after_a_newer_one_is_refused_or_repaired(#[case] checks: bool) {
    let fixture = Fixture::new(checks, &["old"]).await;
    let first = fixture.holder("first").await;
    let old_fence = first.lease.fence(Duration::ZERO).expect("first holds the lease");
    fixture.clock.advance(PAST_LEASE_TTL);
    let mut second = fixture.holder("second").await;
    fixture.run_round(&mut second).await;
    assert_eq!(fixture.engine.loaded(), vec![version_of("new")]);
    let result = fixture.send_stale_order(old_fence).await;
    let expected = if checks { vec![version_of("new")] } else { vec![version_of("old")] };
    assert_eq!(fixture.engine.loaded(), expected);
    assert_eq!(result.is_err(), checks);
    fixture.acquire_or_renew(&mut second.lease).await;
    fixture.run_round(&mut second).await;
    tokio::time::sleep(PAST_LOAD_INTERVAL).await;
    fixture.run_round(&mut second).await;
    assert_eq!(fixture.engine.loaded(), vec![version_of("new")]);
}

/// Guards against orders of a holder that was paused: its lease may have passed to another instance
/// meanwhile.
#[rstest]
#[case::checks_fencing(true)]
#[case::does_not_check(false)]
#[tokio::test]
async fn holder_past_its_active_period_sends_no_orders(#[case] checks: bool) {
    let fixture = Fixture::new(checks, &["old"]).await;
    let mut first = fixture.holder("first").await;
    fixture.clock.advance(ACTIVE_PERIOD);
    fixture.run_round(&mut first).await;
    assert_eq!(fixture.engine.accepted_orders(), 0);
    assert_eq!(fixture.engine.loaded(), vec![version_of("old")]);
}

/// Guards against a flood of load orders to an engine that restarted without versions or has no
/// memory for them: rounds in quick succession send a single order.
#[rstest]
#[case::restarted_empty(false)]
#[case::out_of_memory(true)]
#[tokio::test]
async fn load_orders_are_rate_limited(#[case] full: bool) {
    let fixture = Fixture::new(true, &["new"]).await;
    let mut holder = fixture.holder("first").await;
    fixture.run_round(&mut holder).await;
    assert_eq!(fixture.engine.accepted_orders(), 0);
    fixture.engine.restart_empty();
    if full {
        fixture.engine.set_version_capacity(0);
    }
    for _ in 0..5 {
        fixture.run_round(&mut holder).await;
    }
    assert_eq!(fixture.engine.accepted_orders(), 1);
    let expected = if full { Vec::new() } else { vec![version_of("new")] };
    assert_eq!(fixture.engine.loaded(), expected);
}
