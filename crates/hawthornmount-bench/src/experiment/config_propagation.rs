//! Time from the acceptance of a configuration until it is in force at all instances.

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

/// Changes in each case.
const CHANGES: usize = 10;
/// Longest time until a change is in force everywhere with no datagram lost, in seconds.
const MAX_CLEAN: f64 = 1.0;
/// Longest time in every case, in seconds.
const MAX: f64 = 4.0;
/// Time after which a change counts as not in force.
const GIVE_UP: Duration = Duration::from_secs(20);
/// Part of the datagrams that is lost.
const LOSS: f64 = 0.2;
/// Longest pause between two changes.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Time in which the fleet settles after a case.
const SETTLE: Duration = Duration::from_secs(5);
/// One instance of so many restarts.
const RESTART_SHARE: usize = 5;

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
    Case { name: "clean", fault: Fault::None, limit: MAX_CLEAN },
    Case { name: "loss", fault: Fault::Loss, limit: MAX },
    Case { name: "store_stopped", fault: Fault::StoreStopped, limit: MAX },
    Case { name: "restarts", fault: Fault::Restarts, limit: MAX },
];

/// Runs the experiment.
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
    cluster.faults.set_loss(if matches!(case.fault, Fault::Loss) { LOSS } else { 0.0 });
    let calls = cluster.store.faults().calls();
    let began = Instant::now();
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        tokio::time::sleep(PAUSE.mul_f64(rng.random())).await;
        times.push(change(cluster, case.fault, rng).await?.as_secs_f64());
    }
    let calls = (cluster.store.faults().calls() - calls) as f64 / began.elapsed().as_secs_f64();
    cluster.faults.set_loss(0.0);
    tokio::time::sleep(SETTLE).await;
    let mut data = Data::new(times);
    let prefix = format!("n{}_{}", cluster.nodes.len(), case.name);
    Ok(outcome
        .figure(&format!("{prefix}_p50_s"), data.percentile(50))
        .figure(&format!("{prefix}_p99_s"), data.percentile(99))
        .at_most(&format!("{prefix}_max_s"), data.percentile(100), case.limit)
        .figure(&format!("{prefix}_store_calls_per_s"), calls))
}

/// Makes one change and returns the time from its acceptance until all instances hold it, those
/// that restart meanwhile included.
async fn change(
    cluster: &mut Cluster,
    fault: Fault,
    rng: &mut StdRng,
) -> Result<Duration, Failure> {
    let restarting = match fault {
        Fault::Restarts => some_of(cluster.nodes.len(), rng),
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
    let waited = cluster.wait_until(GIVE_UP, |cluster| cluster.all_reached(revision)).await;
    let took = accepted.elapsed();
    cluster.store.faults().set_down(false);
    Ok(waited.map_or(GIVE_UP, |_| took))
}

fn some_of(count: usize, rng: &mut StdRng) -> Vec<usize> {
    let first = rng.random_range(0..RESTART_SHARE);
    (first..count).step_by(RESTART_SHARE).collect()
}
