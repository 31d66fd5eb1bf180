//! Test fixtures: snapshots of fleets with any servers and models, and queries.

use {
    hawthornmount_core::{
        config::{Account, Allowance, Cascade, Config, DataCentre, Model, State, Version},
        snapshot::{Backend, Health, Release, Snapshot},
    },
    hawthornmount_policy::Query,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub const SLOTS: u32 = 8;

pub fn release(model: usize) -> Release {
    Release { model: format!("model-{model}").into(), version: "v1".into() }
}

pub fn backend(name: &str, data_centre: &str, region: &str, models: usize) -> Backend {
    let mut loaded: Vec<Release> = (0..models).map(release).collect();
    loaded.sort();
    Backend {
        id: name.into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        data_centre: data_centre.into(),
        region: region.into(),
        health: Health::Up,
        loaded,
        slots: SLOTS,
        load: 0,
        reported: Some(Instant::now()),
    }
}

/// Returns a snapshot with `models` models from cheap to costly, all of which account `a` may use.
pub fn snapshot(models: usize, mut backends: Vec<Backend>) -> Snapshot {
    backends.sort_by(|a, b| a.id.cmp(&b.id));
    let mut config = Config::default();
    let names: Vec<Arc<str>> = (0..models).map(|at| release(at).model).collect();
    for (at, name) in names.iter().enumerate() {
        let version = Version { state: State::Proven, weights: None, generation: 0 };
        let versions = [(Arc::from("v1"), version)].into_iter().collect();
        let price = 100 * 3_u64.pow(u32::try_from(at.min(8)).unwrap_or(8));
        config.models.insert(name.clone(), Model { price, versions, stable: "v1".into() });
    }
    let allow =
        names.iter().map(|name| Allowance { model: name.clone(), versions: None }).collect();
    config.cascades.insert("all".into(), Cascade { models: names });
    config.accounts.insert(
        "a".into(),
        Account {
            key_hashes: Vec::new(),
            weight: 1,
            cascade: Some("all".into()),
            allow,
            services: Vec::new(),
            quality_target: 0.9,
            priority: 0,
            require_key: false,
            rank: None,
            allowed_regions: Vec::new(),
        },
    );
    let data_centres = [("one", "north"), ("two", "north"), ("far", "south")];
    for (id, region) in data_centres {
        let data_centre = DataCentre { region: region.into(), transfer_price: 20_000 };
        config.data_centres.insert(id.into(), data_centre);
    }
    Snapshot { config: Arc::new(config), backends: backends.into(), ..Snapshot::empty() }
}

pub fn query(now: Instant) -> Query {
    Query {
        account: "a".into(),
        task: "notes".into(),
        model: None,
        pinned: None,
        streamed: false,
        prefix_hash: 7,
        prompt_tokens: 16,
        max_tokens: 16,
        data_centre: "one".into(),
        region: "north".into(),
        deadline: now + Duration::from_secs(30),
        now,
    }
}
