//! Withdrawals and suspensions over a fleet that loses frames.

use {
    super::{BOUND, Load, patch, runs, until, withdrawal},
    hawthornmount_core::{
        config::State as Use,
        snapshot::{Health, Release},
    },
    hawthornmount_demo::world::{Shape, World},
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

/// Instances of the fleet that loses frames.
const LOSSY_INSTANCES: usize = 9;
/// Part of the frames that are lost.
const LOSS: f64 = 0.2;
/// Part of the frames that come twice.
const DUPLICATION: f64 = 0.1;

/// Replaces the world's instances by nine that lose frames.
async fn replace_by_lossy(world: &mut World) {
    world.instances.clear();
    let faults = Faults::new(3);
    faults.set_loss(LOSS);
    faults.set_duplication(DUPLICATION);
    faults.set_delay(Duration::from_millis(2), Duration::from_millis(20));
    let mut listed = Vec::new();
    for number in 0..LOSSY_INSTANCES {
        let data_centre = Shape::DEMO.data_centres[number % Shape::DEMO.data_centres.len()];
        let parts = Builder::new(world.settings(data_centre, 10 + number)).build();
        let net = Net::bind(parts.settings.fleet).expect("a port is free");
        parts.mesh.attach(Arc::new(Injector::new(Arc::new(net), faults.clone())));
        listed.push(Listed {
            id: parts.settings.instance.clone(),
            kind: Kind::Entry,
            address: parts.mesh.address(),
            data_centre: data_centre.into(),
            state: State::Live,
        });
        world.instances.push(Instance::start_with(parts).expect("the instance starts"));
    }
    world.list.set(listed);
    let servers = world.engines.len() + 1;
    until("the lossy fleet is whole", || {
        world.instances.iter().all(|one| {
            let snapshot = one.parts().snapshot.load();
            let up = snapshot.backends.iter().filter(|one| one.health == Health::Up).count();
            snapshot.members.len() == LOSSY_INSTANCES && up == servers
        })
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_reaches_every_instance_although_frames_are_lost() {
    let mut world = World::start().await.expect("the demo starts");
    replace_by_lossy(&mut world).await;
    let load = Load::start(&world);
    until("v1 runs", || runs(&world, "v1") > 20).await;
    patch(&world, &withdrawal()).await;
    let accepted = Instant::now();
    let refuses = |one: &Instance| {
        let snapshot = one.parts().snapshot.load();
        let versions = &snapshot.config.models.get("draft-small").expect("exists").versions;
        versions.get("v1").expect("exists").state == Use::Withdrawn
    };
    until("every instance knows", || world.instances.iter().all(refuses)).await;
    assert!(accepted.elapsed() < BOUND, "known everywhere after {:?}", accepted.elapsed());
    tokio::time::sleep(BOUND.saturating_sub(accepted.elapsed())).await;
    let before = runs(&world, "v1");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&world, "v1"), before);
    drop(load);
}

#[tokio::test(flavor = "multi_thread")]
async fn suspension_reaches_every_instance_while_the_store_is_down() {
    let mut world = World::start().await.expect("the demo starts");
    replace_by_lossy(&mut world).await;
    world.store.faults().set_down(true);
    let release = Release { model: "draft-small".into(), version: "v1".into() };
    let first = world.instances[0].parts();
    first.monitor.merge_suspensions(vec![Suspension {
        key: Key { model: release.model.clone(), version: release.version.clone(), generation: 0 },
        cause: Cause { revision: u64::MAX, text: "bad".into(), by: "test".into(), at_ms: 0 },
    }]);
    let all = vec![first.monitor.suspensions()[0].clone()];
    hawthornmount_rollout::gossip::publish_suspensions(&*first.fleet, &all);
    let told = Instant::now();
    until("v1 is suspended everywhere", || {
        world.instances.iter().all(|one| one.parts().snapshot.load().is_suspended(&release))
    })
    .await;
    assert!(told.elapsed() < BOUND, "suspended everywhere after {:?}", told.elapsed());
}
