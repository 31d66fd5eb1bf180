//! Cost of the fleet components (membership and configuration) for one instance, and its growth
//! with the size of the fleet.

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

/// Most bytes per second that an instance may send and receive, at any fleet size.
const MAX_BYTES_PER_S: f64 = 2_000.0;
/// Largest share of a core that an instance may use, in percent.
const MAX_CORE_PERCENT: f64 = 1.7;
/// Largest ratio of the store calls per data centre in the largest fleet to those in the smallest.
const MAX_STORE_CALLS_RATIO: f64 = 1.1;
/// Assumed rate of configuration changes: 540 per day.
const CHANGES_PER_S: f64 = 540.0 / 86_400.0;
/// Number of changes over which the cost of one change is averaged.
const CHANGES: u32 = 4;
/// Size of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Time for the cluster to settle after its start.
const SETTLE_DURATION: Duration = Duration::from_secs(30);
/// Duration of the measurement of an idle cluster.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(20);
/// Time in which the traffic caused by a change ends.
const CHANGE_DURATION: Duration = Duration::from_secs(2);
/// Share of the datagrams that is dropped in the second measurement.
const LOSS_RATIO: f64 = 0.2;
/// Number of payloads over which the cost of broadcasting one is averaged.
const PAYLOADS: usize = 10;
/// Size of each broadcast payload.
const PAYLOAD_BYTES: usize = 100;
/// Clock ticks per second, the unit of the CPU times in `/proc/self/stat`.
const CPU_TICKS_PER_S: f64 = 100.0;

/// Average cost of an instance in a fleet of `size` instances.
struct Cost {
    size: usize,
    bytes_per_s: f64,
    core_percent: f64,
    calls_per_s: f64,
}

/// Measures traffic, CPU time and store calls in clusters of every size.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on(measure(options))
}

async fn measure(options: Options) -> Result<Report, Failure> {
    let mut outcome = Outcome::new("membership-cost", options.seed);
    let mut costs = Vec::new();
    for size in FLEET_SIZES {
        let mut cluster = Cluster::start(size, options.seed).await?;
        tokio::time::sleep(SETTLE_DURATION).await;
        let idle = measure_idle(&cluster).await?;
        let change = change_bytes(&mut cluster, idle.bytes_per_s).await?;
        let payload = payload_bytes(&cluster, idle.bytes_per_s).await;
        cluster.faults.set_loss(LOSS_RATIO);
        tokio::time::sleep(CHANGE_DURATION).await;
        let lossy = measure_idle(&cluster).await?;
        let cost = Cost { bytes_per_s: idle.bytes_per_s + change * CHANGES_PER_S, ..idle };
        outcome = outcome
            .figure(&format!("n{size}_bytes_per_change"), change)
            .figure(&format!("n{size}_bytes_per_spread_payload"), payload)
            .figure(&format!("n{size}_lossy_bytes_per_s"), lossy.bytes_per_s)
            .figure(&format!("n{size}_lossy_core_percent"), lossy.core_percent);
        outcome = add_targets(outcome, &cost);
        costs.push(cost);
    }
    Ok(Report { outcome: add_slopes(outcome, &costs), plot: None })
}

fn add_targets(outcome: Outcome, cost: &Cost) -> Outcome {
    let size = cost.size;
    outcome
        .at_most(&format!("n{size}_bytes_per_s"), cost.bytes_per_s, MAX_BYTES_PER_S)
        .at_most(&format!("n{size}_core_percent"), cost.core_percent, MAX_CORE_PERCENT)
        .figure(&format!("n{size}_store_calls_per_s_and_data_centre"), cost.calls_per_s)
}

fn add_slopes(outcome: Outcome, costs: &[Cost]) -> Outcome {
    let calls = |at: usize| costs[at].calls_per_s;
    let ratio = calls(costs.len() - 1) / calls(0);
    outcome
        .figure("slope_bytes_per_s_and_instance", slope(costs, |cost| cost.bytes_per_s))
        .figure("slope_core_percent_and_instance", slope(costs, |cost| cost.core_percent))
        .at_most("store_calls_ratio", ratio, MAX_STORE_CALLS_RATIO)
}

/// Returns the least-squares slope of a cost over the fleet size.
fn slope(costs: &[Cost], of: impl Fn(&Cost) -> f64) -> f64 {
    let count = costs.len() as f64;
    let mean_size = costs.iter().map(|cost| cost.size as f64).sum::<f64>() / count;
    let mean = costs.iter().map(&of).sum::<f64>() / count;
    let deviation = |cost: &Cost| cost.size as f64 - mean_size;
    let rise: f64 = costs.iter().map(|cost| deviation(cost) * (of(cost) - mean)).sum();
    rise / costs.iter().map(|cost| deviation(cost).powi(2)).sum::<f64>()
}

async fn measure_idle(cluster: &Cluster) -> Result<Cost, Failure> {
    let (traffic, cpu) = (cluster.traffic(), cpu_seconds()?);
    let calls = cluster.store.faults().calls();
    let started = Instant::now();
    tokio::time::sleep(MEASUREMENT_DURATION).await;
    let seconds = started.elapsed().as_secs_f64();
    let size = cluster.nodes.len();
    let calls = (cluster.store.faults().calls() - calls) as f64;
    Ok(Cost {
        size,
        bytes_per_s: bytes_since(cluster, traffic) / seconds,
        core_percent: (cpu_seconds()? - cpu) / seconds / size as f64 * 100.0,
        calls_per_s: calls / seconds / cluster.data_centre_count() as f64,
    })
}

/// Returns the bytes that one change causes per instance, in addition to the idle traffic.
async fn change_bytes(cluster: &mut Cluster, idle_bytes_per_s: f64) -> Result<f64, Failure> {
    let traffic = cluster.traffic();
    let started = Instant::now();
    for _ in 0..CHANGES {
        cluster.publish_config().await?;
        tokio::time::sleep(CHANGE_DURATION).await;
    }
    let bytes = bytes_since(cluster, traffic) - idle_bytes_per_s * started.elapsed().as_secs_f64();
    Ok(bytes / f64::from(CHANGES))
}

/// Returns the bytes that one broadcast payload causes per instance, in addition to the idle
/// traffic.
async fn payload_bytes(cluster: &Cluster, idle_bytes_per_s: f64) -> f64 {
    let traffic = cluster.traffic();
    let started = Instant::now();
    for at in 0..PAYLOADS {
        let node = &cluster.nodes[at * (cluster.nodes.len() - 1) / PAYLOADS];
        let spread = node.mesh.broadcast(Topic::Load, Bytes::from(vec![0; PAYLOAD_BYTES]));
        spread.expect("the payload fits a datagram");
        tokio::time::sleep(CHANGE_DURATION / 2).await;
    }
    let bytes = bytes_since(cluster, traffic) - idle_bytes_per_s * started.elapsed().as_secs_f64();
    bytes / PAYLOADS as f64
}

/// Returns the bytes sent and received per instance since `before`, including datagram headers.
fn bytes_since(cluster: &Cluster, before: Traffic) -> f64 {
    let now = cluster.traffic();
    let datagrams = now.datagrams - before.datagrams;
    // Every received datagram was sent by an instance of this cluster, so its header counts twice.
    let header_bytes = 2 * DATAGRAM_HEADER_BYTES * datagrams;
    let bytes = (now.sent - before.sent)
        + (now.received - before.received)
        + (now.outbound - before.outbound)
        + (now.inbound - before.inbound)
        + header_bytes;
    bytes as f64 / cluster.nodes.len() as f64
}

/// Returns the CPU time of this process, including the store and the harness.
fn cpu_seconds() -> Result<f64, Failure> {
    let stat = fs::read_to_string("/proc/self/stat").map_err(|error| Failure::new(&error))?;
    let (_, fields) = stat.rsplit_once(')').ok_or_else(|| Failure::text("no processor times"))?;
    // User and system time are the 12th and 13th fields after the process name.
    let ticks = fields.split_whitespace().skip(11).take(2).map(str::parse::<f64>);
    let ticks: f64 = ticks.map(|ticks| ticks.unwrap_or(f64::NAN)).sum();
    Ok(ticks / CPU_TICKS_PER_S)
}
