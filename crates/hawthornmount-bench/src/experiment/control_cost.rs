//! Cost of the control thread of one instance by the number of backend servers.

use {
    super::{Failure, Options, Report, block_on_within},
    crate::{
        figure::Outcome,
        plot::{Plot, Point, Series},
        usage,
    },
    async_trait::async_trait,
    hawthornmount_core::{config::key_hash, id},
    hawthornmount_demo::deployment::{any_port, loopback_settings},
    hawthornmount_entry::{Instance, admin},
    hawthornmount_fleet::config,
    hawthornmount_http::{
        Request, Response, StatusCode,
        server::{self, Handler, Server},
    },
    hawthornmount_standin::store::Store,
    hawthornmount_store::etcd::Etcd,
    serde_json::{Map, Value, json},
    statrs::statistics::Statistics,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Numbers of backend servers that are measured; the last is the number expected in two years.
const SERVER_COUNTS: [u32; 4] = [20, 80, 320, 630];
/// Largest share of a core that the control thread may use, in percent.
const MAX_CORE_PERCENT: f64 = 1.7;
/// Most bytes per second that an instance may send and receive to poll the load of the servers.
const MAX_BYTES_PER_S: f64 = 2_000.0;
/// Most resident memory of the whole process.
const MAX_MEMORY_MB: f64 = 256.0;
/// Duration of one measurement, unless the options give one.
const DEFAULT_DURATION: Duration = Duration::from_secs(4);
/// Time for a new instance to poll every server.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time after which the experiment fails.
const RUN_TIMEOUT: Duration = Duration::from_secs(120);
/// Time between two checks whether the instance is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the HTTP heads of one load poll and its response together.
const HTTP_HEAD_BYTES: u64 = 180;

/// HTTP handler that serves the load report of every server and counts the polls.
#[derive(Default)]
struct LoadEndpoint {
    polls: AtomicU64,
    bytes: AtomicU64,
}

#[async_trait]
impl Handler for LoadEndpoint {
    async fn handle(&self, _: Request) -> Response {
        let report = json!({
            "load": 3, "slots": 16, "leaving": false,
            "loaded": [{ "model": "draft", "version": "v1" }],
        });
        let length = report.to_string().len() as u64;
        self.polls.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(HTTP_HEAD_BYTES + length, Ordering::Relaxed);
        server::json(StatusCode::OK, &report)
    }
}

/// Measured cost of one instance.
#[derive(Clone, Copy)]
struct Cost {
    core_percent: f64,
    bytes_per_s: f64,
    store_calls_per_s: f64,
    memory_mb: f64,
}

/// Measures one instance with each number of servers.
///
/// # Errors
///
/// Returns a failure if something can't start or the run takes too long.
pub fn run(options: Options) -> Result<Report, Failure> {
    let duration = options.duration.unwrap_or(DEFAULT_DURATION);
    block_on_within(RUN_TIMEOUT, async {
        let mut costs = Vec::new();
        for servers in SERVER_COUNTS {
            costs.push(measure(servers, duration).await?);
        }
        Ok(report(options.seed, &costs))
    })
}

fn report(seed: u64, costs: &[Cost]) -> Report {
    let mut outcome = Outcome::new("control-cost", seed);
    for (servers, cost) in SERVER_COUNTS.iter().zip(costs) {
        outcome = outcome
            .figure(&format!("{servers} servers, percent of a core"), cost.core_percent)
            .figure(&format!("{servers} servers, bytes a second"), cost.bytes_per_s)
            .figure(&format!("{servers} servers, store calls a second"), cost.store_calls_per_s);
    }
    let percents: Vec<f64> = costs.iter().map(|cost| cost.core_percent).collect();
    let largest = costs[costs.len() - 1];
    outcome = outcome
        .figure("percent of a core for each further server", slope(&percents))
        .at_most("percent of a core in two years", largest.core_percent, MAX_CORE_PERCENT)
        .at_most("bytes a second in two years", largest.bytes_per_s, MAX_BYTES_PER_S)
        .at_most("memory of the whole process, MB", largest.memory_mb, MAX_MEMORY_MB);
    let points = SERVER_COUNTS.iter().zip(&percents);
    let points = points.map(|(servers, percent)| Point { x: f64::from(*servers), y: *percent });
    let plot = Plot {
        title: "Control thread of one instance".into(),
        x_label: "servers".into(),
        y_label: "percent of a core".into(),
        series: vec![Series { name: "measured".into(), points: points.collect() }],
    };
    Report { outcome, plot: Some(plot) }
}

/// Returns the least-squares slope of the values over the numbers of servers.
fn slope(values: &[f64]) -> f64 {
    let sizes = SERVER_COUNTS.map(f64::from);
    sizes.iter().covariance(values.iter()) / sizes.iter().variance()
}

async fn measure(servers: u32, duration: Duration) -> Result<Cost, Failure> {
    let store = Store::start(any_port()).await.map_err(|error| Failure::new(&error))?;
    let endpoint = Arc::new(LoadEndpoint::default());
    let server =
        Server::start(any_port(), endpoint.clone()).await.map_err(|error| Failure::new(&error))?;
    let etcd = Etcd::new(vec![store.address()]);
    let value = configuration(servers, &server);
    let applied = config::apply(&etcd, value, 0, &id::generate("apply")).await;
    applied.map_err(|error| Failure::new(&error))?;
    let instance = Instance::start(loopback_settings(&store, "attica-a", "attica", 1))
        .map_err(|error| Failure::new(&error))?;
    while !admin::is_ready(instance.components()) {
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    tokio::time::sleep(WARM_UP).await;
    let (started, cpu_seconds) = (Instant::now(), usage::cpu_seconds("control"));
    let (bytes, calls) = (endpoint.bytes.load(Ordering::Relaxed), store.faults().calls());
    tokio::time::sleep(duration).await;
    let elapsed = started.elapsed().as_secs_f64();
    let cost = Cost {
        core_percent: 100.0 * (usage::cpu_seconds("control") - cpu_seconds) / elapsed,
        bytes_per_s: (endpoint.bytes.load(Ordering::Relaxed) - bytes) as f64 / elapsed,
        store_calls_per_s: (store.faults().calls() - calls) as f64 / elapsed,
        memory_mb: usage::resident_bytes() as f64 / 1e6,
    };
    instance.kill();
    Ok(cost)
}

fn configuration(servers: u32, server: &Server) -> Value {
    let entries = (0..servers).map(|number| {
        let server = json!({
            "address": server.address(),
            "data_centre": "attica-a",
            "slots": 16,
            "models": ["draft"],
        });
        (format!("engine-{number}"), server)
    });
    json!({
        "data_centres": { "attica-a": { "region": "attica" } },
        "accounts": {
            "municipal": {
                "key_hashes": [&*key_hash("key of the account")],
                "cascade": "drafting",
                "allow": [{ "model": "draft" }],
            },
        },
        "models": {
            "draft": { "price": 1, "stable": "v1", "versions": { "v1": { "state": "proven" } } },
        },
        "cascades": { "drafting": { "models": ["draft"] } },
        "servers": entries.collect::<Map<String, Value>>(),
    })
}
