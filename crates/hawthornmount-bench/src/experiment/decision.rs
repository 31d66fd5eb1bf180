//! Time of one routing decision by the number of backend servers.

use {
    super::{Failure, Options, Report},
    crate::{
        figure::Outcome,
        plot::{Plot, Point, Series},
    },
    hawthornmount_core::{
        config::{Account, Allowance, Cascade, Config, Model, State, Version},
        snapshot::{Backend, Health, Release, Snapshot},
    },
    hawthornmount_policy::{Query, Router, adaptive::Adaptive, router},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        hint::black_box,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Numbers of backend servers that are measured.
const SERVER_COUNTS: [usize; 5] = [20, 80, 160, 320, 630];
/// Number of models, each with one version.
const MODEL_COUNT: usize = 14;
/// Number of client accounts.
const ACCOUNT_COUNT: usize = 10;
/// Number of versions that each server has loaded.
const LOADED_VERSIONS: usize = 4;
/// Number of requests that each server can run concurrently.
const SLOTS: u32 = 8;
/// Number of decisions that are measured with each number of servers.
const DECISIONS: u32 = 50_000;
/// Number of decisions between two snapshots: 2,800 requests per second, spread over 9 instances
/// that each take 10 snapshots per second.
const DECISIONS_PER_SNAPSHOT: u32 = 31;
/// Largest number of requests in flight during the measurement.
const MAX_RUNNING: usize = 64;
/// Largest mean time allowed for a decision with the largest number of servers.
const MAX_DECISION_MICROS: f64 = 20.0;

/// Measures the mean time of a decision with each number of servers.
///
/// # Errors
///
/// Returns a failure if a decision is refused.
pub fn run(options: Options) -> Result<Report, Failure> {
    let mut points = Vec::new();
    for servers in SERVER_COUNTS {
        let micros = measure(servers, options.seed)?;
        points.push(Point { x: servers as f64, y: micros });
    }
    let mut outcome = Outcome::new("decision", options.seed);
    for point in &points {
        outcome = outcome.figure(&format!("micros_at_{}_servers", point.x), point.y);
    }
    let (first, last) = (points[0], points[points.len() - 1]);
    let slope = (last.y - first.y) / (last.x - first.x) * 100.0;
    let outcome = outcome
        .at_most("micros_at_full_size", last.y, MAX_DECISION_MICROS)
        .figure("micros_per_100_servers", slope);
    let plot = Plot {
        title: "Time of a decision".into(),
        x_label: "servers".into(),
        y_label: "microseconds".into(),
        series: vec![Series { name: "plan and choice of a server".into(), points }],
    };
    Ok(Report { outcome, plot: Some(plot) })
}

/// Returns the mean time of a decision in microseconds: of the plan, the choice of a server, the
/// record of the outcome, and the indexing of each new snapshot.
fn measure(servers: usize, seed: u64) -> Result<f64, Failure> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let router = Adaptive::with_seed(seed);
    let config = Arc::new(config());
    let mut snapshot = snapshot(&config, servers, &mut rng);
    let refresh_load = |one: &Backend, rng: &mut SmallRng| Backend {
        load: rng.random_range(0..SLOTS),
        reported: Some(Instant::now()),
        ..one.clone()
    };
    let mut running = std::collections::VecDeque::new();
    let mut elapsed = Duration::ZERO;
    for number in 0..DECISIONS {
        if number % DECISIONS_PER_SNAPSHOT == 0 {
            let backends =
                snapshot.backends.iter().map(|one| refresh_load(one, &mut rng)).collect();
            snapshot = Snapshot { backends, ..snapshot };
        }
        let query = query(&mut rng);
        let started = Instant::now();
        let plan =
            router.plan(&snapshot, &query).map_err(|reason| Failure::new(&Refused(reason)))?;
        let release = plan.candidates[0].release.clone();
        let choice = black_box(router.choose_server(&snapshot, &query, &release, &[]))
            .map_err(|reason| Failure::new(&Refused(reason)))?;
        running.push_back((choice, release));
        if running.len() > MAX_RUNNING
            && let Some((choice, release)) = running.pop_front()
        {
            let took = Duration::from_millis(50);
            router.record_outcome(
                &choice,
                Some(&release),
                router::Outcome::Answered(took),
                Instant::now(),
            );
        }
        elapsed += started.elapsed();
        router.record_rating(&query.account, &query.task, &plan.candidates[0].release, 1.0);
    }
    Ok(elapsed.as_secs_f64() * 1e6 / f64::from(DECISIONS))
}

#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("a decision was refused: {_0}")]
struct Refused(#[error(not(source))] hawthornmount_core::reason::Refusal);

fn name(kind: &str, number: usize) -> Arc<str> {
    format!("{kind}-{number:04}").into()
}

fn release(model: usize) -> Release {
    Release { model: name("model", model), version: "v1".into() }
}

fn config() -> Config {
    let mut config = Config::default();
    let models: Vec<Arc<str>> = (0..MODEL_COUNT).map(|at| release(at).model).collect();
    for (at, model) in models.iter().enumerate() {
        let version = Version { state: State::Proven, weights: None, generation: 0 };
        let versions = [(Arc::from("v1"), version)].into_iter().collect();
        let price = 100 * (at as u64 + 1);
        config.models.insert(model.clone(), Model { price, versions, stable: "v1".into() });
    }
    let allowance = |model: &Arc<str>| Allowance { model: model.clone(), versions: None };
    for at in 0..ACCOUNT_COUNT {
        config.accounts.insert(
            name("account", at),
            Account {
                key_hashes: Vec::new(),
                weight: 1,
                cascade: Some("all".into()),
                allow: models.iter().map(allowance).collect(),
                services: Vec::new(),
                quality_target: 0.9,
                priority: 0,
                require_key: false,
                rank: None,
                allowed_regions: Vec::new(),
            },
        );
    }
    config.cascades.insert("all".into(), Cascade { models });
    config
}

fn snapshot(config: &Arc<Config>, servers: usize, rng: &mut SmallRng) -> Snapshot {
    let backends = (0..servers).map(|at| backend(at, rng)).collect();
    Snapshot { config: config.clone(), backends, ..Snapshot::empty() }
}

fn backend(at: usize, rng: &mut SmallRng) -> Backend {
    let mut loaded: Vec<Release> =
        (0..LOADED_VERSIONS).map(|shift| release((at + shift * 3) % MODEL_COUNT)).collect();
    loaded.sort();
    Backend {
        id: name("server", at),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        data_centre: name("place", at % 5),
        region: name("region", at % 5 / 3),
        health: Health::Up,
        loaded,
        slots: SLOTS,
        load: rng.random_range(0..SLOTS),
        reported: Some(Instant::now()),
    }
}

fn query(rng: &mut SmallRng) -> Query {
    let now = Instant::now();
    Query {
        account: name("account", rng.random_range(0..ACCOUNT_COUNT)),
        task: name("task", rng.random_range(0..4)),
        model: None,
        pinned: None,
        streamed: rng.random_bool(0.5),
        prefix_hash: rng.random(),
        prompt_tokens: rng.random_range(10..500),
        max_tokens: 200,
        data_centre: name("place", 0),
        region: name("region", 0),
        deadline: now + Duration::from_secs(60),
        now,
    }
}
