//! Propagation of withdrawals and suspensions through a fleet that loses and repeats frames.

use {
    super::{
        BackgroundLoad, PROPAGATION_LIMIT, apply_patch, count_runs, wait_until,
        wait_until_or_describe, withdrawal_patch,
    },
    crate::captured_log,
    hawthornmount_core::{
        config::State as VersionState,
        snapshot::{Backend, Health, Member, Release},
    },
    hawthornmount_demo::deployment::{Deployment, Size},
    hawthornmount_entry::{Instance, instance::Builder},
    hawthornmount_fleet::transport::{
        fault::{Faults, Injector},
        net::Net,
    },
    hawthornmount_rollout::suspension::{Cause, Key, Suspension},
    hawthornmount_standin::list::{Kind, Listed, State},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of instances of the lossy fleet.
const LOSSY_INSTANCES: usize = 9;
/// Seed with which faulty frames are drawn.
const FAULT_SEED: u64 = 3;
/// Fraction of the frames that are lost.
const LOSS: f64 = 0.2;
/// Fraction of the frames that arrive twice.
const DUPLICATION: f64 = 0.1;

/// Replaces the instances of the demo with [`LOSSY_INSTANCES`] ones whose transport loses, repeats
/// and delays frames.
async fn start_lossy_fleet(deployment: &mut Deployment) {
    deployment.instances.clear();
    let faults = Faults::new(FAULT_SEED);
    faults.set_loss(LOSS);
    faults.set_duplication(DUPLICATION);
    faults.set_delay(Duration::from_millis(2), Duration::from_millis(20));
    let mut listed = Vec::new();
    for number in 0..LOSSY_INSTANCES {
        let data_centre = Size::DEMO.data_centres[number % Size::DEMO.data_centres.len()];
        let components = Builder::new(deployment.settings(data_centre, 10 + number)).build();
        let net = Net::bind(components.settings.fleet).expect("a port is free");
        components.mesh.attach(Arc::new(Injector::new(Arc::new(net), faults.clone())));
        listed.push(Listed {
            id: components.settings.instance.clone(),
            kind: Kind::Entry,
            address: components.mesh.address(),
            data_centre: data_centre.into(),
            state: State::Live,
        });
        deployment.instances.push(Instance::start_with(components).expect("the instance starts"));
    }
    deployment.list.set(listed);
    let servers = deployment.engines.len() + 1;
    let has_joined = |instance: &Instance| {
        let snapshot = instance.components().snapshot.load();
        let up = snapshot.backends.iter().filter(|backend| backend.health == Health::Up).count();
        snapshot.members.len() == LOSSY_INSTANCES && up == servers
    };
    wait_until_or_describe(
        "the lossy fleet has joined and knows all servers",
        || deployment.instances.iter().all(has_joined),
        || describe_views(deployment),
    )
    .await;
}

/// Returns what each instance knows of members, servers and suspensions.
fn describe_views(deployment: &Deployment) -> String {
    let view = |instance: &Instance| {
        let components = instance.components();
        let snapshot = components.snapshot.load();
        let member = |member: &Member| format!("{} {:?}", member.id, member.liveness);
        let server = |backend: &Backend| format!("{} {:?}", backend.id, backend.health);
        format!(
            "{} revision={} members={:?} servers={:?} suspended={:?}",
            components.settings.instance,
            snapshot.revision,
            snapshot.members.iter().map(member).collect::<Vec<_>>(),
            snapshot.backends.iter().map(server).collect::<Vec<_>>(),
            snapshot.suspended,
        )
    };
    deployment.instances.iter().map(view).collect::<Vec<_>>().join("\n")
}

/// Guards against a withdrawal that spreads too slowly when frames are lost.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_reaches_every_instance_although_frames_are_lost() {
    let mut deployment = Deployment::start().await.expect("the demo starts");
    start_lossy_fleet(&mut deployment).await;
    let load = BackgroundLoad::start(&deployment);
    wait_until("v1 runs", || count_runs(&deployment, "v1") > 20).await;
    apply_patch(&deployment, &withdrawal_patch()).await;
    let accepted = Instant::now();
    let has_withdrawn = |instance: &Instance| {
        let snapshot = instance.components().snapshot.load();
        let versions = &snapshot.config.models.get("draft-small").expect("exists").versions;
        versions.get("v1").expect("exists").state == VersionState::Withdrawn
    };
    wait_until("v1 is withdrawn everywhere", || deployment.instances.iter().all(has_withdrawn))
        .await;
    assert!(
        accepted.elapsed() < PROPAGATION_LIMIT,
        "withdrawn everywhere after {:?}",
        accepted.elapsed()
    );
    tokio::time::sleep(PROPAGATION_LIMIT.saturating_sub(accepted.elapsed())).await;
    let before = count_runs(&deployment, "v1");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(count_runs(&deployment, "v1"), before);
    drop(load);
}

/// Guards against a suspension that needs the store or the arrival of every frame to spread.
#[tokio::test(flavor = "multi_thread")]
async fn suspension_reaches_every_instance_while_the_store_is_down() {
    captured_log::start();
    let mut deployment = Deployment::start().await.expect("the demo starts");
    start_lossy_fleet(&mut deployment).await;
    deployment.store.faults().set_down(true);
    let release = Release { model: "draft-small".into(), version: "v1".into() };
    let first = deployment.instances[0].components();
    first.monitor.merge_suspensions(vec![Suspension {
        key: Key { model: release.model.clone(), version: release.version.clone(), generation: 0 },
        cause: Cause { revision: u64::MAX, text: "bad".into(), by: "test".into(), at_ms: 0 },
    }]);
    let suspensions = vec![first.monitor.suspensions()[0].clone()];
    hawthornmount_rollout::gossip::publish_suspensions(&*first.fleet, &suspensions);
    let published = Instant::now();
    let has_suspended =
        |instance: &Instance| instance.components().snapshot.load().is_suspended(&release);
    wait_until_or_describe(
        "v1 is suspended everywhere",
        || deployment.instances.iter().all(has_suspended),
        || describe_views(&deployment),
    )
    .await;
    assert!(
        published.elapsed() < PROPAGATION_LIMIT,
        "suspended everywhere after {:?}",
        published.elapsed()
    );
}
