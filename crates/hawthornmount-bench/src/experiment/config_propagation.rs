//! Time from the acceptance of a configuration by the store until all instances have applied it.

use {
    super::{
        Failure, Options, Report, block_on,
        fleet::{Cluster, FLEET_SIZES},
    },
    crate::figure::Outcome,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    statrs::statistics::{Data, OrderStatistics},
    std::time::Duration,
    tokio::time::Instant,
};

/// Number of configuration changes in each case.
const CHANGES: usize = 10;
/// Largest propagation time allowed without faults, in seconds.
const MAX_CLEAN_S: f64 = 1.0;
/// Largest propagation time allowed in the cases with a fault, in seconds.
const MAX_FAULT_S: f64 = 4.0;
/// Time after which the wait for a change ends; the change is recorded with this time.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(20);
/// Share of the datagrams that is dropped in the case `loss`.
const LOSS_RATIO: f64 = 0.2;
/// Largest pause before a change; the actual one is drawn uniformly.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for the cluster to settle after each case.
const SETTLE_DURATION: Duration = Duration::from_secs(5);
/// One instance out of this many restarts during a change.
const RESTART_STRIDE: usize = 5;

#[derive(Clone, Copy)]
enum Fault {
    None,
    Loss,
    StoreStopped,
    Restarts,
}

struct Case {
    name: &'static str,
    fault: Fault,
    limit: f64,
}

const CASES: [Case; 4] = [
    Case { name: "clean", fault: Fault::None, limit: MAX_CLEAN_S },
    Case { name: "loss", fault: Fault::Loss, limit: MAX_FAULT_S },
    Case { name: "store_stopped", fault: Fault::StoreStopped, limit: MAX_FAULT_S },
    Case { name: "restarts", fault: Fault::Restarts, limit: MAX_FAULT_S },
];

/// Measures the propagation of changes in clusters of every size.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on(measure(options))
}

async fn measure(options: Options) -> Result<Report, Failure> {
    let mut outcome = Outcome::new("config-propagation", options.seed);
    let mut rng = StdRng::seed_from_u64(options.seed);
    for size in FLEET_SIZES {
        let mut cluster = Cluster::start(size, options.seed).await?;
        for case in &CASES {
            outcome = run_case(&mut cluster, case, &mut rng, outcome).await?;
        }
        let reverts = cluster.reverts() as f64;
        outcome = outcome.at_most(&format!("n{size}_reverts"), reverts, 0.0);
    }
    Ok(Report { outcome, plot: None })
}

async fn run_case(
    cluster: &mut Cluster,
    case: &Case,
    rng: &mut StdRng,
    outcome: Outcome,
) -> Result<Outcome, Failure> {
    cluster.faults.set_loss(if matches!(case.fault, Fault::Loss) { LOSS_RATIO } else { 0.0 });
    let calls = cluster.store.faults().calls();
    let started = Instant::now();
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        tokio::time::sleep(MAX_PAUSE.mul_f64(rng.random())).await;
        times.push(measure_change(cluster, case.fault, rng).await?.as_secs_f64());
    }
    let calls = (cluster.store.faults().calls() - calls) as f64 / started.elapsed().as_secs_f64();
    cluster.faults.set_loss(0.0);
    tokio::time::sleep(SETTLE_DURATION).await;
    let mut data = Data::new(times);
    let prefix = format!("n{}_{}", cluster.nodes.len(), case.name);
    Ok(outcome
        .figure(&format!("{prefix}_p50_s"), data.percentile(50))
        .figure(&format!("{prefix}_p99_s"), data.percentile(99))
        .at_most(&format!("{prefix}_max_s"), data.percentile(100), case.limit)
        .figure(&format!("{prefix}_store_calls_per_s"), calls))
}

/// Publishes one change and returns the time from its acceptance until all instances have applied
/// it, including those that restart in the meantime.
async fn measure_change(
    cluster: &mut Cluster,
    fault: Fault,
    rng: &mut StdRng,
) -> Result<Duration, Failure> {
    let restarting = match fault {
        Fault::Restarts => pick_restarts(cluster.nodes.len(), rng),
        Fault::None | Fault::Loss | Fault::StoreStopped => Vec::new(),
    };
    restarting.iter().for_each(|at| cluster.kill(*at));
    let revision = cluster.publish_config().await?;
    let accepted = Instant::now();
    if matches!(fault, Fault::StoreStopped) {
        cluster.store.faults().set_down(true);
    }
    for at in restarting {
        cluster.restart(at)?;
    }
    let waited =
        cluster.wait_until(PROPAGATION_TIMEOUT, |cluster| cluster.all_reached(revision)).await;
    let took = accepted.elapsed();
    cluster.store.faults().set_down(false);
    Ok(waited.map_or(PROPAGATION_TIMEOUT, |_| took))
}

fn pick_restarts(count: usize, rng: &mut StdRng) -> Vec<usize> {
    let first = rng.random_range(0..RESTART_STRIDE);
    (first..count).step_by(RESTART_STRIDE).collect()
}
