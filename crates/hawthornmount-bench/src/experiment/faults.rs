//! Goodput and latency before, during and after faults.

use {
    super::{Failure, Options, Report, block_on_within},
    crate::{
        figure::Outcome,
        load::{OpenLoop, REQUEST_SEED_STRIDE, Tally},
        plot::{Plot, Point, Series},
        testbed::{AccountSpec, Caller, DataCentre, ModelSpec, Request, Server, Spec, Testbed},
    },
    hawthornmount_standin::engine::Limits,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{net::SocketAddr, time::Duration},
};

/// Time after which the experiment fails.
const RUN_TIMEOUT: Duration = Duration::from_secs(90);
/// Average number of requests per second.
const REQUESTS_PER_S: f64 = 160.0;
/// Duration of the load in each phase: before, during and after a fault.
const PHASE_DURATION: Duration = Duration::from_secs(2);
/// Time from the start of the load to the injection of the fault, so that requests are in flight.
const FAULT_DELAY: Duration = Duration::from_millis(300);
/// Deadline of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Factor by which the slow server is slower.
const SLOWDOWN: f64 = 10.0;
/// Smallest allowed ratio of the goodput during and after a fault to the goodput before it.
const MIN_GOODPUT_RATIO: f64 = 0.95;
/// Data centres, two in one region and one in another.
const DATA_CENTRES: [DataCentre; 3] = [
    DataCentre { id: "attica-a", region: "attica", instances: 2, engines: 3 },
    DataCentre { id: "attica-b", region: "attica", instances: 1, engines: 3 },
    DataCentre { id: "crete-a", region: "crete", instances: 1, engines: 3 },
];

/// Fault that is injected and, if possible, cleared again.
struct Fault {
    name: &'static str,
    inject: fn(&mut Testbed),
    clear: fn(&mut Testbed),
}

const FAULTS: [Fault; 5] = [
    Fault { name: "server_killed", inject: |testbed| testbed.servers[0].kill(), clear: |_| {} },
    Fault {
        name: "server_slow",
        inject: |testbed| set_slowdown(testbed, SLOWDOWN),
        clear: |testbed| set_slowdown(testbed, 1.0),
    },
    Fault {
        name: "data_centre_lost",
        inject: |testbed| {
            let lost = testbed.servers.iter_mut().filter(|server| server.data_centre == "attica-b");
            lost.for_each(Server::kill);
        },
        clear: |_| {},
    },
    Fault {
        name: "rating_out",
        inject: |testbed| testbed.rating.set_down(true),
        clear: |testbed| testbed.rating.set_down(false),
    },
    Fault {
        name: "store_out",
        inject: |testbed| testbed.store.faults().set_down(true),
        clear: |testbed| testbed.store.faults().set_down(false),
    },
];

/// Measures goodput and latency under each fault.
///
/// # Errors
///
/// Returns a failure if an instance or stand-in can't start.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on_within(RUN_TIMEOUT, measure_all(options))
}

async fn measure_all(options: Options) -> Result<Report, Failure> {
    let mut outcome = Outcome::new("faults", options.seed);
    let mut series = Vec::new();
    for fault in &FAULTS {
        let [before, during, after] = measure(fault, options.seed).await?;
        let key = |what: &str| format!("{}_{what}", fault.name);
        outcome = outcome
            .at_least(
                &key("goodput_during"),
                goodput(&during) / goodput(&before),
                MIN_GOODPUT_RATIO,
            )
            .at_least(&key("goodput_after"), goodput(&after) / goodput(&before), MIN_GOODPUT_RATIO)
            .figure(&key("p95_before_ms"), before.latency_ms(0.95))
            .figure(&key("p95_during_ms"), during.latency_ms(0.95))
            .figure(&key("p95_after_ms"), after.latency_ms(0.95))
            .figure(&key("refused_during"), during.refused as f64)
            .figure(&key("failed_during"), during.failed as f64);
        let phases = [before, during, after];
        let point = |(at, tally): (usize, &Tally)| Point { x: at as f64, y: goodput(tally) };
        let points = phases.iter().enumerate().map(point).collect();
        series.push(Series { name: fault.name.into(), points });
    }
    let plot = Plot {
        title: "Answers in time before, during and after a fault".into(),
        x_label: "phase".into(),
        y_label: "part of the requests".into(),
        series,
    };
    Ok(Report { outcome, plot: Some(plot) })
}

/// Returns the share of the requests that were answered in time.
fn goodput(tally: &Tally) -> f64 {
    tally.answered() as f64 / tally.total().max(1) as f64
}

async fn measure(fault: &Fault, seed: u64) -> Result<[Tally; 3], Failure> {
    let mut testbed = Testbed::start(&spec()).await?;
    let addresses = testbed.caller_addresses();
    run_load(&addresses, seed).await;
    let before = run_load(&addresses, seed + 1).await;
    let inject = async {
        tokio::time::sleep(FAULT_DELAY).await;
        (fault.inject)(&mut testbed);
    };
    let (during, ()) = tokio::join!(run_load(&addresses, seed + 2), inject);
    (fault.clear)(&mut testbed);
    let after = run_load(&addresses, seed + 3).await;
    Ok([before, during, after])
}

fn set_slowdown(testbed: &Testbed, slowdown: f64) {
    if let Some(engine) = testbed.engines().next() {
        engine.set_limits(Limits { slowdown, ..engine.limits() });
    }
}

fn spec() -> Spec {
    let model = |id, price, quality| ModelSpec {
        id,
        price,
        quality,
        first_token: Duration::from_millis(10),
        per_token: Duration::from_millis(1),
    };
    Spec {
        data_centres: DATA_CENTRES.to_vec(),
        models: vec![model("small", 100, 0.8), model("large", 1_000, 0.98)],
        accounts: vec![AccountSpec { id: "municipal", weight: 1, quality_target: 0.9 }],
        slots: 8,
        limits: Limits { congestion: 1.0, ..Limits::default() },
        report_period: Duration::from_secs(1),
        router: None,
    }
}

async fn run_load(addresses: &[SocketAddr], seed: u64) -> Tally {
    let load = OpenLoop {
        rate: REQUESTS_PER_S,
        duration: PHASE_DURATION,
        seed,
        max_in_flight: 2_000,
        timeout: REQUEST_TIMEOUT,
    };
    let caller = Caller::new();
    load.run(|number| {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(number * REQUEST_SEED_STRIDE));
        let request = Request {
            account: "municipal",
            task: "notes",
            prompt: format!("Draft note {number}."),
            model: None,
            max_tokens: rng.random_range(10..=40),
            stream: rng.random_bool(0.5),
            timeout_ms: u64::try_from(REQUEST_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
        };
        let address = addresses[rng.random_range(0..addresses.len())];
        let caller = caller.clone();
        async move { caller.send(address, request).await.outcome }
    })
    .await
}
