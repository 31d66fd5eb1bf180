use {
    super::state::State,
    crate::instance::{Builder, Components},
    async_trait::async_trait,
    hawthornmount_core::{
        clock::Manual,
        settings::Settings,
        snapshot::{DEFAULT_FRESHNESS_LIMIT, Release, Share},
    },
    hawthornmount_rollout::{Evaluator, Sample},
    hawthornmount_store::memory::Memory,
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Evaluator with one version under roll-out, which gets half of the new sessions.
struct HalfShare;

#[async_trait]
impl Evaluator for HalfShare {
    fn observe(&self, _sample: Sample) {}

    fn suspended(&self) -> Vec<Release> {
        Vec::new()
    }

    fn shares(&self) -> Vec<Share> {
        let release = Release { model: "small".into(), version: "v2".into() };
        vec![Share { release, fraction: 0.5 }]
    }
}

fn components(clock: Arc<Manual>) -> Components {
    let settings = Settings::parse(
        r#"{ "instance": "a", "data_centre": "d", "region": "r", "listen": "127.0.0.1:0",
        "admin": "127.0.0.1:0", "fleet": "127.0.0.1:0", "store": ["127.0.0.1:1"],
        "fleet_key": "0123456789abcdef" }"#,
    );
    let builder = Builder::new(settings.expect("valid settings"));
    let mut components =
        builder.store(Arc::new(Memory::new())).evaluator(Arc::new(HalfShare)).build();
    components.clock = clock;
    components
}

struct Case {
    /// Age of the confirmation at the publication, or `None` if there was no confirmation.
    age: Option<Duration>,
    shares: usize,
}

#[rstest]
#[case::fresh(Case { age: Some(Duration::from_secs(1)), shares: 1 })]
#[case::at_the_limit(Case { age: Some(DEFAULT_FRESHNESS_LIMIT), shares: 1 })]
#[case::stale(Case { age: Some(DEFAULT_FRESHNESS_LIMIT + Duration::from_secs(1)), shares: 0 })]
#[case::never_confirmed(Case { age: None, shares: 0 })]
#[tokio::test]
async fn candidates_get_new_sessions_only_while_the_configuration_is_fresh(#[case] case: Case) {
    let clock = Arc::new(Manual::new());
    let components = components(clock.clone());
    let state = State::new(&components);
    if let Some(age) = case.age {
        let start = hawthornmount_core::clock::Clock::now(&*clock);
        components.mesh.tracker().confirm(Instant::from_std(start));
        clock.advance(age);
    }
    state.publish(&components);
    assert_eq!(components.snapshot.load().shares.len(), case.shares);
    let fresh = components.metrics.gauges.with_label_values(&["config_fresh"]).get();
    assert_eq!(fresh, i64::try_from(case.shares).expect("small"));
}
