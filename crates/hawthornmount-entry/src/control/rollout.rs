//! Starts the tasks of the control thread that evaluate versions, drive roll-outs and send load
//! orders to the servers.

use {
    crate::instance::Components,
    hawthornmount_core::{id, snapshot::Snapshot},
    hawthornmount_http::client::Client,
    hawthornmount_rollout::{
        driver::{Driver, SnapshotSource, lease::Lease},
        gossip,
        order::Orders,
    },
    std::sync::Arc,
};

struct CurrentSnapshot(Arc<Components>);

impl SnapshotSource for CurrentSnapshot {
    fn snapshot(&self) -> Arc<Snapshot> {
        self.0.snapshot.load()
    }
}

pub fn start(components: &Arc<Components>) {
    let name = id::generate(&components.settings.instance);
    let driver = Driver::new(
        components.monitor.clone(),
        components.store.clone(),
        components.fleet.clone(),
        Arc::new(CurrentSnapshot(components.clone())),
        Lease::new(name, components.clock.clone()),
        components.driver_status.clone(),
    );
    tokio::spawn(components.inbox.clone().run());
    tokio::spawn(gossip::run(components.monitor.clone(), components.fleet.clone()));
    tokio::spawn(driver.run(Orders::new(Client::new())));
}
