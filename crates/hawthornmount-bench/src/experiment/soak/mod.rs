//! Nine instances in three data centres under a mixed load and random faults, then every promise
//! checked one by one against what the stand-ins really ran.

mod fault;
mod fleet;
mod operator;
mod sampler;
mod traffic;

use {
    super::{Failure, Options, Report, block_on_within},
    crate::figure::Result as Outcome,
    fault::{Faults, Kind},
    fleet::Fleet,
    hawthornmount_core::merge,
    hawthornmount_demo::{
        check::promise::{self, Evidence, Ran},
        load::ACCOUNTS,
        world::{Shape, World},
    },
    operator::Operator,
    sampler::Sampler,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Duration of a run that gives none.
const DEFAULT_DURATION: Duration = Duration::from_secs(30);
/// Time without faults at the end of the load, in which everything recovers.
const QUIET_END: Duration = Duration::from_secs(6);
/// Time that a run may take on top of its duration.
const GRACE: Duration = Duration::from_secs(90);
/// Time in which the bills have to be complete after the load.
const SETTLE: Duration = Duration::from_secs(10);
/// Pause between looks at the bills.
const PAUSE: Duration = Duration::from_millis(250);
/// Growth of the memory over the second half of a run, as a ratio.
const MAX_MEMORY_GROWTH: f64 = 1.15;
/// Shortest run whose memory is held against the bound; before, journals still fill.
const MEMORY_FROM: Duration = Duration::from_secs(240);

/// Runs the experiment.
///
/// # Errors
///
/// Returns a failure if the world can't start or the time is over.
pub fn run(options: Options) -> Result<Report, Failure> {
    let duration = options.duration.unwrap_or(DEFAULT_DURATION);
    let outcome = block_on_within(duration + GRACE, soak(options.seed, duration))?;
    Ok(Report { outcome, plot: None })
}

async fn soak(seed: u64, duration: Duration) -> Result<Outcome, Failure> {
    let mut world = World::start_with(Shape::FLEET).await.map_err(|e| Failure::new(&e))?;
    let value = world.merged().map_err(|error| Failure::new(&error))?;
    let config = merge::from_value(value.clone()).map_err(|error| Failure::new(&error))?;
    let instances = std::mem::take(&mut world.instances);
    let world = Arc::new(world);
    let fleet = Arc::new(Fleet::new(world.clone(), instances));
    let operator = Arc::new(Operator::new(&world, value));
    let watch = Sampler::start(fleet.clone());
    let end = Instant::now() + duration.saturating_sub(QUIET_END);
    let faults = Faults::new(world.clone(), fleet.clone(), operator.clone(), seed);
    let faults = tokio::spawn(faults.run(end));
    let (sent, tally) = traffic::run(fleet.clone(), seed, duration).await;
    let injected = faults.await.map_err(|error| Failure::new(&error))?;
    let watched = watch.end().await;
    let mut evidence = Evidence { config, sent, ..Evidence::default() };
    evidence.sights = watched.sights;
    evidence.stops = fleet.stops();
    evidence.leaving = injected.leaving;
    evidence.suspended = injected.suspended;
    (evidence.accepts, evidence.withdrawn) = operator.history().await;
    evidence.runs = runs(&world);
    evidence.calls = world.service.runs();
    evidence.bills = bills(&fleet, &evidence).await;
    let mut outcome = Outcome::new("soak", seed)
        .figure("duration_s", duration.as_secs_f64())
        .figure("requests", evidence.sent.len() as f64)
        .figure("answered", evidence.answers().count() as f64)
        .figure("refused", evidence.refusals().count() as f64)
        .figure("failed", tally.failed as f64)
        .figure("latency_p50_ms", tally.latency_ms(0.5))
        .figure("latency_p99_ms", tally.latency_ms(0.99));
    for kind in Kind::ALL {
        let count = injected.counts.get(kind.as_str()).copied().unwrap_or(0);
        outcome = outcome.figure(&format!("fault {}", kind.as_str()), f64::from(count));
    }
    for check in promise::all(&evidence) {
        eprintln!("{}: {}", check.name, check.detail);
        outcome = outcome.at_least(check.name, f64::from(u8::from(check.pass)), 1.0);
    }
    Ok(memory(outcome, &watched.memory, duration))
}

fn runs(world: &World) -> Vec<Ran> {
    let runs = world.engines.iter().flat_map(|named| {
        let runs = named.engine.runs().into_iter();
        runs.map(|run| Ran { server: named.id.clone(), run })
    });
    runs.collect()
}

/// Returns the usage records once no answer is without one, or when the time for it is over.
async fn bills(fleet: &Fleet, evidence: &Evidence) -> u64 {
    let answers = evidence.answers().filter(|(_, answered)| !answered.replayed).count() as u64;
    let until = Instant::now() + SETTLE;
    loop {
        let mut bills = 0;
        for account in ACCOUNTS {
            let total = fleet.ledger().total(&account.id.into()).await;
            bills += total.map_or(0, |total| total.requests);
        }
        if bills >= answers || Instant::now() > until {
            return bills;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Adds the memory's growth from the third to the fourth quarter of the run.
fn memory(outcome: Outcome, samples: &[u64], duration: Duration) -> Outcome {
    let quarter = samples.len() / 4;
    let mean = |part: &[u64]| part.iter().sum::<u64>() as f64 / part.len().max(1) as f64;
    let (third, fourth) = (mean(&samples[2 * quarter..3 * quarter]), mean(&samples[3 * quarter..]));
    let growth = if third > 0.0 { fourth / third } else { 1.0 };
    let outcome = outcome.figure("memory_mb", fourth / 1e6);
    if duration < MEMORY_FROM {
        return outcome.figure("memory_growth", growth);
    }
    outcome.at_most("memory_growth", growth, MAX_MEMORY_GROWTH)
}
