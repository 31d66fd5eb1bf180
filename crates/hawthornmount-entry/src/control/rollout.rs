//! Starts the parts of the control thread that judge versions, drive roll-outs and order engines.

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

struct Present(Arc<Parts>);

impl SnapshotSource for Present {
    fn snapshot(&self) -> Arc<Snapshot> {
        self.0.cell.load()
    }
}

pub fn start(parts: &Arc<Parts>) {
    let name = id::generate(&parts.settings.instance);
    let driver = Driver::new(
        parts.monitor.clone(),
        parts.store.clone(),
        parts.fleet.clone(),
        Arc::new(Present(parts.clone())),
        Lease::new(name, parts.clock.clone()),
        parts.role.clone(),
    );
    tokio::spawn(parts.inbox.clone().run());
    tokio::spawn(gossip::run(parts.monitor.clone(), parts.fleet.clone()));
    tokio::spawn(driver.run(Orders::new(Client::new())));
}
