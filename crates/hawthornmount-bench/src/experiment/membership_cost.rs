//! What the fleet part costs an instance, and how the cost grows with the fleet.

use {
    super::{
        Failure, Options, Report, block_on,
        fleet::{Cluster, FLEET_SIZES},
    },
    crate::figure::Outcome,
    bytes::Bytes,
    hawthornmount_fleet::{Fleet, Topic, mesh::Traffic},
    std::{fs, time::Duration},
    tokio::time::Instant,
};

/// Bytes a second of an instance, both ways, at the largest fleet.
const MAX_BYTES: f64 = 2_000.0;
/// Part of a core of an instance at the largest fleet, in percent.
const MAX_CORE_PERCENT: f64 = 1.7;
/// Growth of the store's calls for a data centre from the smallest to the largest fleet.
const MAX_CALLS_RATIO: f64 = 1.1;
/// Changes of the configuration a second: 540 a day.
const CHANGES_PER_S: f64 = 540.0 / 86_400.0;
/// Changes that the cost of one is taken from.
const CHANGES: u32 = 4;
/// Bytes of the heads below a datagram: IPv4 and UDP.
const DATAGRAM_HEAD: u64 = 28;
/// Time in which the fleet settles after its start.
const SETTLE: Duration = Duration::from_secs(30);
/// Time of the measurement.
const WINDOW: Duration = Duration::from_secs(20);
/// Time that the traffic of a change takes.
const CHANGE_WINDOW: Duration = Duration::from_secs(2);
/// Part of the datagrams that is lost in the second measurement.
const LOSS: f64 = 0.2;
/// Payloads that are spread to see what one costs.
const PAYLOADS: usize = 10;
/// Size of these payloads.
const PAYLOAD_BYTES: usize = 100;
/// Ticks of the processor time a second.
const TICKS_PER_S: f64 = 100.0;

/// Cost of an instance.
struct Cost {
    size: usize,
    bytes_per_s: f64,
    core_percent: f64,
    calls_per_s: f64,
}

/// Runs the experiment.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on(measure(options))
}

async fn measure(options: Options) -> Result<Report, Failure> {
    let mut outcome = Outcome::new("membership-cost", options.seed);
    let mut costs = Vec::new();
    for size in FLEET_SIZES {
        let mut cluster = Cluster::start(size, options.seed).await?;
        tokio::time::sleep(SETTLE).await;
        let idle = idle(&cluster).await?;
        let change = change_bytes(&mut cluster, idle.bytes_per_s).await?;
        let payload = payload_bytes(&cluster, idle.bytes_per_s).await;
        cluster.faults.set_loss(LOSS);
        tokio::time::sleep(CHANGE_WINDOW).await;
        let lossy = self::idle(&cluster).await?;
        let cost = Cost { bytes_per_s: idle.bytes_per_s + change * CHANGES_PER_S, ..idle };
        outcome = outcome
            .figure(&format!("n{size}_bytes_per_change"), change)
            .figure(&format!("n{size}_bytes_per_spread_payload"), payload)
            .figure(&format!("n{size}_lossy_bytes_per_s"), lossy.bytes_per_s)
            .figure(&format!("n{size}_lossy_core_percent"), lossy.core_percent);
        outcome = held(outcome, &cost);
        costs.push(cost);
    }
    Ok(Report { outcome: slopes(outcome, &costs), plot: None })
}

fn held(outcome: Outcome, cost: &Cost) -> Outcome {
    let size = cost.size;
    outcome
        .at_most(&format!("n{size}_bytes_per_s"), cost.bytes_per_s, MAX_BYTES)
        .at_most(&format!("n{size}_core_percent"), cost.core_percent, MAX_CORE_PERCENT)
        .figure(&format!("n{size}_store_calls_per_s_and_data_centre"), cost.calls_per_s)
}

fn slopes(outcome: Outcome, costs: &[Cost]) -> Outcome {
    let calls = |at: usize| costs[at].calls_per_s;
    let ratio = calls(costs.len() - 1) / calls(0);
    outcome
        .figure("slope_bytes_per_s_and_instance", slope(costs, |cost| cost.bytes_per_s))
        .figure("slope_core_percent_and_instance", slope(costs, |cost| cost.core_percent))
        .at_most("store_calls_ratio", ratio, MAX_CALLS_RATIO)
}

/// Returns the least-squares slope over the fleet's size.
fn slope(costs: &[Cost], of: impl Fn(&Cost) -> f64) -> f64 {
    let count = costs.len() as f64;
    let mean_size = costs.iter().map(|cost| cost.size as f64).sum::<f64>() / count;
    let mean = costs.iter().map(&of).sum::<f64>() / count;
    let deviation = |cost: &Cost| cost.size as f64 - mean_size;
    let rise: f64 = costs.iter().map(|cost| deviation(cost) * (of(cost) - mean)).sum();
    rise / costs.iter().map(|cost| deviation(cost).powi(2)).sum::<f64>()
}

async fn idle(cluster: &Cluster) -> Result<Cost, Failure> {
    let (traffic, cpu) = (cluster.traffic(), cpu_seconds()?);
    let calls = cluster.store.faults().calls();
    let began = Instant::now();
    tokio::time::sleep(WINDOW).await;
    let seconds = began.elapsed().as_secs_f64();
    let size = cluster.nodes.len();
    let calls = (cluster.store.faults().calls() - calls) as f64;
    Ok(Cost {
        size,
        bytes_per_s: bytes_since(cluster, traffic) / seconds,
        core_percent: (cpu_seconds()? - cpu) / seconds / size as f64 * 100.0,
        calls_per_s: calls / seconds / cluster.data_centre_count() as f64,
    })
}

/// Returns the bytes of an instance for one change, beyond those of an idle one.
async fn change_bytes(cluster: &mut Cluster, idle: f64) -> Result<f64, Failure> {
    let traffic = cluster.traffic();
    let began = Instant::now();
    for _ in 0..CHANGES {
        cluster.publish_config().await?;
        tokio::time::sleep(CHANGE_WINDOW).await;
    }
    let bytes = bytes_since(cluster, traffic) - idle * began.elapsed().as_secs_f64();
    Ok(bytes / f64::from(CHANGES))
}

/// Returns the bytes of an instance for one payload that any instance spreads.
async fn payload_bytes(cluster: &Cluster, idle: f64) -> f64 {
    let traffic = cluster.traffic();
    let began = Instant::now();
    for at in 0..PAYLOADS {
        let node = &cluster.nodes[at * (cluster.nodes.len() - 1) / PAYLOADS];
        let spread = node.mesh.broadcast(Topic::Load, Bytes::from(vec![0; PAYLOAD_BYTES]));
        spread.expect("the payload fits a datagram");
        tokio::time::sleep(CHANGE_WINDOW / 2).await;
    }
    let bytes = bytes_since(cluster, traffic) - idle * began.elapsed().as_secs_f64();
    bytes / PAYLOADS as f64
}

/// Returns the bytes of an instance both ways, with the heads of datagrams.
fn bytes_since(cluster: &Cluster, before: Traffic) -> f64 {
    let now = cluster.traffic();
    let datagrams = now.datagrams - before.datagrams;
    // Each received datagram was sent by one of these instances.
    let heads = 2 * DATAGRAM_HEAD * datagrams;
    let bytes = (now.sent - before.sent)
        + (now.received - before.received)
        + (now.outbound - before.outbound)
        + (now.inbound - before.inbound)
        + heads;
    bytes as f64 / cluster.nodes.len() as f64
}

/// Returns the processor time of this process.
fn cpu_seconds() -> Result<f64, Failure> {
    let stat = fs::read_to_string("/proc/self/stat").map_err(|error| Failure::new(&error))?;
    let (_, fields) = stat.rsplit_once(')').ok_or_else(|| Failure::text("no processor times"))?;
    // User and system time are the 12th and 13th field after the name.
    let ticks = fields.split_whitespace().skip(11).take(2).map(str::parse::<f64>);
    let ticks: f64 = ticks.map(|ticks| ticks.unwrap_or(f64::NAN)).sum();
    Ok(ticks / TICKS_PER_S)
}
