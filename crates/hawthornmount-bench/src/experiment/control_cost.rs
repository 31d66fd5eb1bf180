//! What the control thread of one instance costs over the number of backend servers.

use {
    super::{Failure, Options, Report, block_on_within},
    crate::{
        figure::Result as Outcome,
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

/// Numbers of servers that are measured; the last one is the size in two years.
const SERVERS: [u32; 4] = [20, 80, 320, 630];
/// Most that the control thread may take, in percent of a core.
const MOST_PERCENT: f64 = 1.7;
/// Most that an instance may send and receive for control, in bytes a second.
const MOST_BYTES: f64 = 2_000.0;
/// Most memory of an instance, in megabytes.
const MOST_MB: f64 = 256.0;
/// Time of one measurement without a given duration.
const DEFAULT_DURATION: Duration = Duration::from_secs(4);
/// Time until a new instance has seen every server.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time that the run may take.
const LIMIT: Duration = Duration::from_secs(120);
/// Pause between looks whether the instance is ready.
const PAUSE: Duration = Duration::from_millis(20);
/// Bytes of the heads of a look and its answer, beside the body.
const HEAD_BYTES: u64 = 180;

/// A load page for all servers, which counts the looks.
#[derive(Default)]
struct Page {
    looks: AtomicU64,
    bytes: AtomicU64,
}

#[async_trait]
impl Handler for Page {
    async fn handle(&self, _: Request) -> Response {
        let report = json!({
            "load": 3, "slots": 16, "leaving": false,
            "loaded": [{ "model": "draft", "version": "v1" }],
        });
        let length = report.to_string().len() as u64;
        self.looks.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(HEAD_BYTES + length, Ordering::Relaxed);
        server::json(StatusCode::OK, &report)
    }
}

/// Cost of one instance.
#[derive(Clone, Copy)]
struct Cost {
    percent: f64,
    bytes: f64,
    calls: f64,
    megabytes: f64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns a failure if something can't start or the time is over.
pub fn run(options: Options) -> Result<Report, Failure> {
    let duration = options.duration.unwrap_or(DEFAULT_DURATION);
    block_on_within(LIMIT, async {
        let mut costs = Vec::new();
        for servers in SERVERS {
            costs.push(measure(servers, duration).await?);
        }
        Ok(report(options.seed, &costs))
    })
}

fn report(seed: u64, costs: &[Cost]) -> Report {
    let mut outcome = Outcome::new("control-cost", seed);
    for (servers, cost) in SERVERS.iter().zip(costs) {
        outcome = outcome
            .figure(&format!("{servers} servers, percent of a core"), cost.percent)
            .figure(&format!("{servers} servers, bytes a second"), cost.bytes)
            .figure(&format!("{servers} servers, store calls a second"), cost.calls);
    }
    let percents: Vec<f64> = costs.iter().map(|cost| cost.percent).collect();
    let largest = costs[costs.len() - 1];
    outcome = outcome
        .figure("percent of a core for each further server", slope(&percents))
        .at_most("percent of a core in two years", largest.percent, MOST_PERCENT)
        .at_most("bytes a second in two years", largest.bytes, MOST_BYTES)
        .at_most("memory of the whole process, MB", largest.megabytes, MOST_MB);
    let points = SERVERS.iter().zip(&percents);
    let points = points.map(|(servers, percent)| Point { x: f64::from(*servers), y: *percent });
    let plot = Plot {
        title: "Control thread of one instance".into(),
        x: "servers".into(),
        y: "percent of a core".into(),
        series: vec![Series { name: "measured".into(), points: points.collect() }],
    };
    Report { outcome, plot: Some(plot) }
}

/// Returns the slope of a least-squares line over the numbers of servers.
fn slope(values: &[f64]) -> f64 {
    let sizes = SERVERS.map(f64::from);
    sizes.iter().covariance(values.iter()) / sizes.iter().variance()
}

async fn measure(servers: u32, duration: Duration) -> Result<Cost, Failure> {
    let store = Store::start(any_port()).await.map_err(|error| Failure::new(&error))?;
    let page = Arc::new(Page::default());
    let listener =
        Server::start(any_port(), page.clone()).await.map_err(|error| Failure::new(&error))?;
    let etcd = Etcd::new(vec![store.address()]);
    let value = configuration(servers, &listener);
    let applied = config::apply(&etcd, value, 0, &id::generate("apply")).await;
    applied.map_err(|error| Failure::new(&error))?;
    let instance = Instance::start(loopback_settings(&store, "attica-a", "attica", 1))
        .map_err(|error| Failure::new(&error))?;
    while !admin::is_ready(instance.components()) {
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(WARM_UP).await;
    let (started, processor) = (Instant::now(), usage::processor("control"));
    let (bytes, calls) = (page.bytes.load(Ordering::Relaxed), store.faults().calls());
    tokio::time::sleep(duration).await;
    let elapsed = started.elapsed().as_secs_f64();
    let cost = Cost {
        percent: 100.0 * (usage::processor("control") - processor) / elapsed,
        bytes: (page.bytes.load(Ordering::Relaxed) - bytes) as f64 / elapsed,
        calls: (store.faults().calls() - calls) as f64 / elapsed,
        megabytes: usage::resident() as f64 / 1e6,
    };
    instance.kill();
    Ok(cost)
}

fn configuration(servers: u32, listener: &Server) -> Value {
    let rows = (0..servers).map(|number| {
        let server = json!({
            "address": listener.address(),
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
        "servers": rows.collect::<Map<String, Value>>(),
    })
}
