//! Checks that submissions run at most once, that each request is billed once, and that each caller
//! gets the complete answer to its own request. Callers send concurrently to nine instances over
//! loopback while faults are injected into the store, the instances and the servers.

mod caller;
mod check;
mod cluster;
mod history;
mod ledger_load;
mod proxy;

#[cfg(test)]
mod tests;

use {
    super::{Failure, Options, Report, block_on},
    crate::figure::Outcome,
    caller::{Callers, Kind},
    check::{Bounds, Findings},
    cluster::{Cluster, Counts, Disabled},
    hawthornmount_ledger::log::Mutation,
    hawthornmount_standin::{engine, service},
    ledger_load::{Figures, Strategy},
    rand::{SeedableRng, rngs::StdRng},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Name of the experiment.
pub const NAME: &str = "at-most-once";
/// Name of the experiment that disables safeguards of the ledger.
pub const ABLATION_NAME: &str = "at-most-once-off";
/// Name of the experiment that compares strategies for writing to the ledger.
pub const WRITE_STRATEGIES_NAME: &str = "ledger-ways";
/// Calls of a run.
const CALLS: u64 = 5_500;
/// Calls of a run with a safeguard disabled.
const ABLATION_CALLS: u64 = 1_200;
/// Number of concurrent callers.
const CALLERS: u64 = 32;
/// Time limit for usage records to reach the store after the last fault.
const BILLING_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the billed total is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Results of one run.
struct Summary {
    findings: Findings,
    faults: Counts,
    calls: u64,
    lost_bills: u64,
    double_bills: u64,
}

/// Runs the calls under faults, then measures the ledger under load.
///
/// # Errors
///
/// Returns a failure if the instances do not start.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on(async {
        let summary = run_with_faults(options.seed, Disabled::Nothing, CALLS).await?;
        let outcome = add_summary(Outcome::new(NAME, options.seed), &summary);
        let owned = ledger_load::measure(Strategy::Owned).await?;
        let outcome = add_figures(outcome, "owned", &owned)
            .at_most("store_writes_per_s", owned.writes, 300.0)
            .at_most("claim_added_p99_ms", owned.added_p99_ms, 10.0);
        Ok(Report { outcome, plot: None })
    })
}

/// Repeats the run with one safeguard disabled at a time; each run has to detect duplicates.
///
/// # Errors
///
/// Returns a failure if the instances do not start.
pub fn run_ablation(options: Options) -> Result<Report, Failure> {
    block_on(async {
        let mut outcome = Outcome::new(ABLATION_NAME, options.seed);
        for (name, disabled) in [
            ("doubles_without_claims", Disabled::Claims),
            ("doubles_without_read_back", Disabled::Check(Mutation::NoReadBack)),
            ("doubles_without_slot_race", Disabled::Check(Mutation::NoSegmentGuard)),
        ] {
            let summary = run_with_faults(options.seed, disabled, ABLATION_CALLS).await?;
            outcome = outcome.at_least(name, summary.findings.duplicate_runs as f64, 1.0);
        }
        Ok(Report { outcome, plot: None })
    })
}

/// Measures the strategies for writing claims and usage records.
///
/// # Errors
///
/// Returns a failure if the stand-in store does not start.
pub fn run_write_strategies(options: Options) -> Result<Report, Failure> {
    block_on(async {
        let mut outcome = Outcome::new(WRITE_STRATEGIES_NAME, options.seed);
        for (name, strategy) in [
            ("key_per_record", Strategy::KeyPerRecord),
            ("contended", Strategy::Contended),
            ("owned", Strategy::Owned),
        ] {
            outcome = add_figures(outcome, name, &ledger_load::measure(strategy).await?);
        }
        Ok(Report { outcome, plot: None })
    })
}

fn add_summary(outcome: Outcome, summary: &Summary) -> Outcome {
    let (findings, faults) = (&summary.findings, &summary.faults);
    outcome
        .figure("operations", summary.calls as f64)
        .figure("faults_lost_answers", faults.lost_answers as f64)
        .figure("faults_late_writes", faults.late_writes as f64)
        .figure("faults_paused_writers", faults.paused_writers as f64)
        .figure("faults_cut_off", faults.cut_off as f64)
        .figure("faults_outages", faults.outages as f64)
        .figure("faults_kills", faults.kills as f64)
        .figure("faults_partitions", faults.partitions as f64)
        .figure("answered", findings.answered as f64)
        .figure("refused_not_run", findings.not_run as f64)
        .figure("failed_unknown", findings.unknown as f64)
        .figure("without_answer", findings.unanswered as f64)
        .at_most("doubles", findings.duplicate_runs as f64, 0.0)
        .at_most("unexplained_histories", findings.nonlinearizable as f64, 0.0)
        .at_most("false_not_run", findings.false_not_run as f64, 0.0)
        .at_most("lost_calls", findings.lost_calls as f64, 0.0)
        .at_most("wrong_answers", findings.wrong_answers as f64, 0.0)
        .at_most("cut_answers", findings.incomplete as f64, 0.0)
        .at_most("moved_sessions", findings.unreported_moves as f64, 0.0)
        .at_most("lost_bills", summary.lost_bills as f64, 0.0)
        .at_most("double_bills", summary.double_bills as f64, 0.0)
}

fn add_figures(outcome: Outcome, name: &str, figures: &Figures) -> Outcome {
    outcome
        .figure(&format!("{name}_claims_per_s"), figures.claims)
        .figure(&format!("{name}_writes_per_s"), figures.writes)
        .figure(&format!("{name}_claim_added_p50_ms"), figures.added_p50_ms)
        .figure(&format!("{name}_claim_added_p99_ms"), figures.added_p99_ms)
        .figure(&format!("{name}_usage_p99_ms"), figures.usage_p99_ms)
        .figure(&format!("{name}_failed"), figures.failed)
}

/// Makes the calls while faults are injected and checks the outcome.
async fn run_with_faults(
    seed: u64,
    disabled: Disabled,
    call_limit: u64,
) -> Result<Summary, Failure> {
    let cluster = Arc::new(Cluster::start(disabled, seed).await?);
    set_server_faults(&cluster, seed);
    let config = cluster.config().ok_or_else(|| Failure::text("no instance is running"))?;
    let callers = Callers::new(config);
    let done = Arc::new(AtomicBool::new(false));
    let faults = tokio::spawn(inject_faults(cluster.clone(), done.clone(), seed));
    let workers = (0..CALLERS).map(|number| {
        let (callers, cluster) = (callers.clone(), cluster.clone());
        let seed = seed.wrapping_mul(CALLERS).wrapping_add(number);
        tokio::spawn(async move { callers.run(|| cluster.callers(), call_limit, seed).await })
    });
    futures::future::join_all(workers.collect::<Vec<_>>()).await;
    done.store(true, Ordering::SeqCst);
    let faults = faults.await.map_err(|error| Failure::new(&error))?;
    cluster.clear_faults();
    let operations = callers.operations();
    let engine_runs: Vec<Arc<str>> = cluster
        .deployment
        .engines
        .iter()
        .flat_map(|named| named.engine.runs())
        .map(|run| run.request)
        .collect();
    let findings = check::check(
        &operations,
        &cluster.deployment.service.runs(),
        &engine_runs,
        &cluster.killed(),
    );
    let services = check::bounds(&operations, |kind| !matches!(kind, Kind::Complete(_)));
    let models = check::bounds(&operations, |kind| matches!(kind, Kind::Complete(_)));
    let (municipal_missing, municipal_excess) =
        billing_errors(&cluster, "municipal", services).await?;
    let (rural_missing, rural_excess) = billing_errors(&cluster, "rural", models).await?;
    Ok(Summary {
        findings,
        faults,
        calls: callers.count(),
        lost_bills: municipal_missing + rural_missing,
        double_bills: municipal_excess + rural_excess,
    })
}

fn set_server_faults(cluster: &Cluster, seed: u64) {
    let faults = service::Faults {
        refuse: 0.02,
        cut: 0.02,
        wrong_id: 0.02,
        late: 0.01,
        late_by: Duration::from_millis(4_000),
    };
    cluster.deployment.service.set_faults(faults, seed);
    let faults = engine::Faults { wrong_id: 0.02, truncate: 0.02, cut: 0.02 };
    for (at, named) in cluster.deployment.engines.iter().enumerate() {
        named.engine.set_faults(faults, seed.wrapping_add(at as u64));
    }
}

async fn inject_faults(cluster: Arc<Cluster>, done: Arc<AtomicBool>, seed: u64) -> Counts {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut counts = Counts::default();
    while !done.load(Ordering::SeqCst) {
        cluster.inject_fault(&mut rng, &mut counts).await;
    }
    counts
}

/// Returns the amounts missing from an account and billed to it in excess, in micro-units.
async fn billing_errors(
    cluster: &Cluster,
    account: &str,
    bounds: Bounds,
) -> Result<(u64, u64), Failure> {
    let deadline = Instant::now() + BILLING_TIMEOUT;
    loop {
        let ledger = cluster.ledger().ok_or_else(|| Failure::text("no instance is running"))?;
        let total = ledger.total(&account.into()).await.map_err(|error| Failure::new(&error))?;
        if total.billed >= bounds.least || Instant::now() > deadline {
            let missing = bounds.least.saturating_sub(total.billed);
            return Ok((missing, total.billed.saturating_sub(bounds.most)));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
