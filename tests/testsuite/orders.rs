//! Orders to engines that check fencing numbers and to those that don't.

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

/// Time after which a lease that is not renewed has lapsed.
const LAPSE: Duration = Duration::from_secs(7);
/// Time that an order may take.
const TIMEOUT: Duration = Duration::from_secs(2);

struct Setting {
    clock: Arc<Manual>,
    store: Memory,
    engine: Engine,
    monitor: Monitor,
    config: Arc<Config>,
}

impl Setting {
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
        self.keep(&mut lease).await;
        Holder { lease, orders: Orders::new(Client::new()) }
    }

    async fn keep(&self, lease: &mut Lease) {
        let seen = self.store.get(lease::KEY).await.expect("the memory answers");
        lease.acquire_or_renew(&self.store, seen.as_ref()).await.expect("the memory answers");
    }

    /// Lets a holder order what its look at the engine asks for.
    async fn round(&self, holder: &mut Holder) {
        let loaded = self.engine.loaded();
        let mut loaded: Vec<Release> = loaded
            .into_iter()
            .map(|one| Release { model: one.model, version: one.version })
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

    async fn send_late(&self, fence: u64) -> Result<OrderResponse, Error> {
        let order = Order { fence, loaded: vec![version_of("old")] };
        Client::new().post(self.engine.address(), "/orders", &order, TIMEOUT).await
    }
}

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

#[rstest]
#[case::checks_fencing(true)]
#[case::does_not_check(false)]
#[tokio::test]
async fn stale_order_after_a_newer_one_is_refused_or_repaired(#[case] checks: bool) {
    let setting = Setting::new(checks, &["old"]).await;
    let first = setting.holder("first").await;
    let old = first.lease.fence(Duration::ZERO).expect("first holds the lease");
    setting.clock.advance(LAPSE);
    let mut second = setting.holder("second").await;
    setting.round(&mut second).await;
    assert_eq!(setting.engine.loaded(), vec![version_of("new")]);
    let late = setting.send_late(old).await;
    let expected = if checks { vec![version_of("new")] } else { vec![version_of("old")] };
    assert_eq!(setting.engine.loaded(), expected);
    assert_eq!(late.is_err(), checks);
    setting.keep(&mut second.lease).await;
    setting.round(&mut second).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    setting.round(&mut second).await;
    assert_eq!(setting.engine.loaded(), vec![version_of("new")]);
}

#[rstest]
#[case::checks_fencing(true)]
#[case::does_not_check(false)]
#[tokio::test]
async fn paused_holder_orders_nothing_when_it_wakes(#[case] checks: bool) {
    let setting = Setting::new(checks, &["old"]).await;
    let mut first = setting.holder("first").await;
    setting.clock.advance(Duration::from_secs(3));
    setting.round(&mut first).await;
    assert_eq!(setting.engine.accepted_orders(), 0);
    assert_eq!(setting.engine.loaded(), vec![version_of("old")]);
}

#[rstest]
#[case::restarted_empty(false)]
#[case::out_of_memory(true)]
#[tokio::test]
async fn loads_that_do_not_succeed_are_paced(#[case] full: bool) {
    let setting = Setting::new(true, &["new"]).await;
    let mut holder = setting.holder("first").await;
    setting.round(&mut holder).await;
    assert_eq!(setting.engine.accepted_orders(), 0);
    setting.engine.restart_empty();
    if full {
        setting.engine.set_version_capacity(0);
    }
    for _ in 0..5 {
        setting.round(&mut holder).await;
    }
    assert_eq!(setting.engine.accepted_orders(), 1);
    let expected = if full { Vec::new() } else { vec![version_of("new")] };
    assert_eq!(setting.engine.loaded(), expected);
}
