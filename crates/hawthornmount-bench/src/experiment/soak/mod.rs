//! Runs nine instances in three data centres under a mixed load and random faults, and then checks
//! each invariant against what the stand-ins actually ran.

mod fault;
mod fleet;
mod operator;
mod sampler;
mod traffic;

use {
    super::{Failure, Options, Report, block_on_within},
    crate::figure::Outcome,
    fault::{Injector, Kind},
    fleet::Fleet,
    hawthornmount_core::merge,
    hawthornmount_demo::{
        check::invariant::{self, EngineRun, Observations},
        deployment::{Deployment, Size},
        load::ACCOUNTS,
    },
    operator::Operator,
    sampler::Sampler,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Duration of a run if none is given.
const DEFAULT_DURATION: Duration = Duration::from_secs(30);
/// Time without faults at the end of the load, for recovery.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time that a run may take in addition to its duration.
const GRACE_PERIOD: Duration = Duration::from_secs(90);
/// Time limit for the usage records to be complete after the load.
const USAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the usage records are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Highest ratio of the resident memory in the fourth quarter of a run to that in the third.
const MAX_MEMORY_GROWTH: f64 = 1.15;
/// Shortest run whose memory growth is checked. In shorter runs the journals are still filling.
const MIN_DURATION_FOR_MEMORY: Duration = Duration::from_secs(240);

/// Runs the experiment.
///
/// # Errors
///
/// Returns a failure if a component can't start or if the experiment exceeds its time limit.
pub fn run(options: Options) -> Result<Report, Failure> {
    let duration = options.duration.unwrap_or(DEFAULT_DURATION);
    let outcome = block_on_within(duration + GRACE_PERIOD, measure(options.seed, duration))?;
    Ok(Report { outcome, plot: None })
}

async fn measure(seed: u64, duration: Duration) -> Result<Outcome, Failure> {
    let mut deployment = Deployment::start_with(Size::FLEET).await.map_err(|e| Failure::new(&e))?;
    let value = deployment.merged_config().map_err(|error| Failure::new(&error))?;
    let config = merge::from_value(value.clone()).map_err(|error| Failure::new(&error))?;
    let instances = std::mem::take(&mut deployment.instances);
    let deployment = Arc::new(deployment);
    let fleet = Arc::new(Fleet::new(deployment.clone(), instances));
    let operator = Arc::new(Operator::new(&deployment, value));
    let sampler = Sampler::start(fleet.clone());
    let faults_end = Instant::now() + duration.saturating_sub(RECOVERY_TIME);
    let injector = Injector::new(deployment.clone(), fleet.clone(), operator.clone(), seed);
    let injection = tokio::spawn(injector.run(faults_end));
    let (exchanges, tally) = traffic::run(fleet.clone(), seed, duration).await;
    let injected = injection.await.map_err(|error| Failure::new(&error))?;
    let samples = sampler.stop().await;
    let mut observations = Observations { config, exchanges, ..Observations::default() };
    observations.samples = samples.revisions;
    observations.stops = fleet.stops();
    observations.leaving = injected.leaving;
    observations.suspended = injected.suspended;
    (observations.acceptances, observations.withdrawn) = operator.history().await;
    observations.engine_runs = engine_runs(&deployment);
    observations.service_runs = deployment.service.runs();
    observations.usage_records = usage_records(&fleet, &observations).await;
    let mut outcome = Outcome::new("soak", seed)
        .figure("duration_s", duration.as_secs_f64())
        .figure("requests", observations.exchanges.len() as f64)
        .figure("answered", observations.answers().count() as f64)
        .figure("refused", observations.refusals().count() as f64)
        .figure("failed", tally.failed as f64)
        .figure("latency_p50_ms", tally.latency_ms(0.5))
        .figure("latency_p99_ms", tally.latency_ms(0.99));
    for kind in Kind::ALL {
        let count = injected.counts.get(kind.as_str()).copied().unwrap_or(0);
        outcome = outcome.figure(&format!("fault {}", kind.as_str()), f64::from(count));
    }
    for check in invariant::all(&observations) {
        eprintln!("{}: {}", check.name, check.detail);
        outcome = outcome.at_least(check.name, f64::from(u8::from(check.pass)), 1.0);
    }
    Ok(add_memory(outcome, &samples.memory, duration))
}

fn engine_runs(deployment: &Deployment) -> Vec<EngineRun> {
    let runs = deployment.engines.iter().flat_map(|named| {
        let runs = named.engine.runs().into_iter();
        runs.map(|run| EngineRun { server: named.id.clone(), run })
    });
    runs.collect()
}

/// Returns the number of usage records once there is at least one per answer, or after the time
/// limit.
async fn usage_records(fleet: &Fleet, observations: &Observations) -> u64 {
    let answers = observations.answers().filter(|(_, answered)| !answered.replayed).count() as u64;
    let deadline = Instant::now() + USAGE_TIMEOUT;
    loop {
        let mut records = 0;
        for account in ACCOUNTS {
            let total = fleet.ledger().total(&account.id.into()).await;
            records += total.map_or(0, |total| total.requests);
        }
        if records >= answers || Instant::now() > deadline {
            return records;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Adds the memory and its growth from the third to the fourth quarter of the run.
fn add_memory(outcome: Outcome, samples: &[u64], duration: Duration) -> Outcome {
    let quarter = samples.len() / 4;
    let mean = |part: &[u64]| part.iter().sum::<u64>() as f64 / part.len().max(1) as f64;
    let (third, fourth) = (mean(&samples[2 * quarter..3 * quarter]), mean(&samples[3 * quarter..]));
    let growth = if third > 0.0 { fourth / third } else { 1.0 };
    let outcome = outcome.figure("memory_mb", fourth / 1e6);
    if duration < MIN_DURATION_FOR_MEMORY {
        return outcome.figure("memory_growth", growth);
    }
    outcome.at_most("memory_growth", growth, MAX_MEMORY_GROWTH)
}
