//! Submissions run at most once, each request is billed once, and each caller gets its own whole
//! answer: concurrent calls at nine instances over loopback with faults at the store, at the
//! instances and at the servers.

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
    crate::figure::Result as Outcome,
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
/// Name of the experiment that switches checks off.
pub const ABLATION_NAME: &str = "at-most-once-off";
/// Name of the experiment that weighs the ways to write.
pub const WRITE_STRATEGIES_NAME: &str = "ledger-ways";
/// Calls of a run.
const CALLS: u64 = 5_500;
/// Calls of a run with something switched off.
const CALLS_OFF: u64 = 1_200;
/// Callers at a time.
const CALLERS: u64 = 32;
/// Time in which usage records have to be in the store after the faults have ended.
const BILLED_WITHIN: Duration = Duration::from_secs(30);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(200);

/// What one run showed.
struct Seen {
    findings: Findings,
    faults: Counts,
    calls: u64,
    lost_bills: u64,
    double_bills: u64,
}

/// Runs the proof, and the load on the ledgers.
///
/// # Errors
///
/// Returns a failure if the instances do not start.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on(async {
        let seen = proof(options.seed, Disabled::Nothing, CALLS).await?;
        let outcome = report(Outcome::new(NAME, options.seed), &seen);
        let owned = ledger_load::measure(Strategy::Owned).await?;
        let outcome = figures(outcome, "owned", &owned)
            .at_most("store_writes_per_s", owned.writes, 300.0)
            .at_most("claim_added_p99_ms", owned.added_p99_ms, 10.0);
        Ok(Report { outcome, plot: None })
    })
}

/// Runs the proof with one check after the other switched off; it has to notice each.
///
/// # Errors
///
/// Returns a failure if the instances do not start.
pub fn run_ablation(options: Options) -> Result<Report, Failure> {
    block_on(async {
        let mut outcome = Outcome::new(ABLATION_NAME, options.seed);
        for (name, off) in [
            ("doubles_without_claims", Disabled::Claim),
            ("doubles_without_read_back", Disabled::Check(Mutation::NoReadBack)),
            ("doubles_without_slot_race", Disabled::Check(Mutation::NoSlotRace)),
        ] {
            let seen = proof(options.seed, off, CALLS_OFF).await?;
            outcome = outcome.at_least(name, seen.findings.doubles as f64, 1.0);
        }
        Ok(Report { outcome, plot: None })
    })
}

/// Measures the ways to write claims and usage records.
///
/// # Errors
///
/// Returns a failure if the stand-in store does not start.
pub fn run_write_strategies(options: Options) -> Result<Report, Failure> {
    block_on(async {
        let mut outcome = Outcome::new(WRITE_STRATEGIES_NAME, options.seed);
        for (name, way) in [
            ("key_per_record", Strategy::KeyPerRecord),
            ("contended", Strategy::Contended),
            ("owned", Strategy::Owned),
        ] {
            outcome = figures(outcome, name, &ledger_load::measure(way).await?);
        }
        Ok(Report { outcome, plot: None })
    })
}

fn report(outcome: Outcome, seen: &Seen) -> Outcome {
    let (found, faults) = (&seen.findings, &seen.faults);
    outcome
        .figure("operations", seen.calls as f64)
        .figure("faults_lost_answers", faults.lost as f64)
        .figure("faults_late_writes", faults.late as f64)
        .figure("faults_paused_writers", faults.paused as f64)
        .figure("faults_cut_off", faults.cut as f64)
        .figure("faults_outages", faults.outages as f64)
        .figure("faults_kills", faults.kills as f64)
        .figure("faults_partitions", faults.partitions as f64)
        .figure("answered", found.answered as f64)
        .figure("refused_not_run", found.not_run as f64)
        .figure("failed_unknown", found.unknown as f64)
        .figure("without_answer", found.nothing as f64)
        .at_most("doubles", found.doubles as f64, 0.0)
        .at_most("unexplained_histories", found.unexplained as f64, 0.0)
        .at_most("false_not_run", found.false_no as f64, 0.0)
        .at_most("lost_calls", found.lost as f64, 0.0)
        .at_most("wrong_answers", found.wrong as f64, 0.0)
        .at_most("cut_answers", found.torn as f64, 0.0)
        .at_most("moved_sessions", found.moved as f64, 0.0)
        .at_most("lost_bills", seen.lost_bills as f64, 0.0)
        .at_most("double_bills", seen.double_bills as f64, 0.0)
}

fn figures(outcome: Outcome, name: &str, figures: &Figures) -> Outcome {
    outcome
        .figure(&format!("{name}_claims_per_s"), figures.claims)
        .figure(&format!("{name}_writes_per_s"), figures.writes)
        .figure(&format!("{name}_claim_added_p50_ms"), figures.added_p50_ms)
        .figure(&format!("{name}_claim_added_p99_ms"), figures.added_p99_ms)
        .figure(&format!("{name}_usage_p99_ms"), figures.usage_p99_ms)
        .figure(&format!("{name}_failed"), figures.failed)
}

/// Calls under faults and checks what came of it.
async fn proof(seed: u64, off: Disabled, limit: u64) -> Result<Seen, Failure> {
    let site = Arc::new(Cluster::start(off, seed).await?);
    set_server_faults(&site, seed);
    let config = site.world_config().ok_or_else(|| Failure::text("no instance lives"))?;
    let callers = Callers::new(config);
    let ended = Arc::new(AtomicBool::new(false));
    let faults = tokio::spawn(inject(site.clone(), ended.clone(), seed));
    let workers = (0..CALLERS).map(|number| {
        let (callers, site) = (callers.clone(), site.clone());
        let seed = seed.wrapping_mul(CALLERS).wrapping_add(number);
        tokio::spawn(async move { callers.work(|| site.callers(), limit, seed).await })
    });
    futures::future::join_all(workers.collect::<Vec<_>>()).await;
    ended.store(true, Ordering::SeqCst);
    let faults = faults.await.map_err(|error| Failure::new(&error))?;
    site.heal();
    let ops = callers.ops();
    let engine_runs: Vec<Arc<str>> = site
        .world
        .engines
        .iter()
        .flat_map(|named| named.engine.runs())
        .map(|run| run.request)
        .collect();
    let findings = check::check(&ops, &site.world.service.runs(), &engine_runs, &site.killed());
    let services = check::bounds(&ops, |kind| !matches!(kind, Kind::Complete(_)));
    let models = check::bounds(&ops, |kind| matches!(kind, Kind::Complete(_)));
    let (lost_one, double_one) = bills(&site, "municipal", services).await?;
    let (lost_other, double_other) = bills(&site, "rural", models).await?;
    Ok(Seen {
        findings,
        faults,
        calls: callers.count(),
        lost_bills: lost_one + lost_other,
        double_bills: double_one + double_other,
    })
}

fn set_server_faults(site: &Cluster, seed: u64) {
    let chances = service::Chances {
        refuse: 0.02,
        lose: 0.02,
        cross: 0.02,
        late: 0.01,
        late_by: Duration::from_millis(4_000),
    };
    site.world.service.set_faults(chances, seed);
    let chances = engine::Chances { cross: 0.02, truncate: 0.02, cut: 0.02 };
    for (at, named) in site.world.engines.iter().enumerate() {
        named.engine.set_faults(chances, seed.wrapping_add(at as u64));
    }
}

async fn inject(site: Arc<Cluster>, ended: Arc<AtomicBool>, seed: u64) -> Counts {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut counts = Counts::default();
    while !ended.load(Ordering::SeqCst) {
        site.fault(&mut rng, &mut counts).await;
    }
    counts
}

/// Returns the price that was lost and that was billed twice, in micro-units.
async fn bills(site: &Cluster, account: &str, bounds: Bounds) -> Result<(u64, u64), Failure> {
    let until = Instant::now() + BILLED_WITHIN;
    loop {
        let ledger = site.ledger().ok_or_else(|| Failure::text("no instance lives"))?;
        let total = ledger.total(&account.into()).await.map_err(|error| Failure::new(&error))?;
        if total.billed >= bounds.least || Instant::now() > until {
            let lost = bounds.least.saturating_sub(total.billed);
            return Ok((lost, total.billed.saturating_sub(bounds.most)));
        }
        tokio::time::sleep(PAUSE).await;
    }
}
