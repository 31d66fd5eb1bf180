//! Starts the tasks of the control thread that evaluate versions, drive roll-outs and send load
//! orders to the servers.

use {
    crate::instance::Parts,
    hawthornmount_core::{id, snapshot::Snapshot},
    hawthornmount_http::client::Client,
    hawthornmount_rollout::{
        driver::{Driver, SnapshotSource, lease::Lease},
        gossip,
        order::Orders,
    },
    std::sync::Arc,
};

struct CurrentSnapshot(Arc<Parts>);

impl SnapshotSource for CurrentSnapshot {
    fn snapshot(&self) -> Arc<Snapshot> {
        self.0.snapshot.load()
    }
}

pub fn start(parts: &Arc<Parts>) {
    let name = id::generate(&parts.settings.instance);
    let driver = Driver::new(
        parts.monitor.clone(),
        parts.store.clone(),
        parts.fleet.clone(),
        Arc::new(CurrentSnapshot(parts.clone())),
        Lease::new(name, parts.clock.clone()),
        parts.driver_status.clone(),
    );
    tokio::spawn(parts.inbox.clone().run());
    tokio::spawn(gossip::run(parts.monitor.clone(), parts.fleet.clone()));
    tokio::spawn(driver.run(Orders::new(Client::new())));
}
