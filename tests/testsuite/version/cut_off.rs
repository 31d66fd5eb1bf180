//! An instance that is isolated from the store and the other instances.

use {
    super::{
        PROPAGATION_LIMIT, apply_patch, count_runs, send_unchecked, wait_until, withdrawal_patch,
    },
    async_trait::async_trait,
    futures::StreamExt,
    hawthornmount_core::{id::Revision, snapshot::Health},
    hawthornmount_demo::deployment::{Deployment, Size},
    hawthornmount_entry::{Instance, instance::Builder},
    hawthornmount_http::client::Client,
    hawthornmount_store::{
        self as store, Commit, Entry, Event, LeaseId, Page, Store, Txn, Watch, etcd::Etcd,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Store client of one instance whose connection can be cut.
struct CuttableStore {
    store: Etcd,
    is_cut: Arc<AtomicBool>,
}

impl CuttableStore {
    /// Returns the store unless the connection is cut.
    fn connected(&self) -> store::Result<&Etcd> {
        if self.is_cut.load(Ordering::SeqCst) {
            return Err(store::Error::Unreachable { cause: "cut off".into() });
        }
        Ok(&self.store)
    }
}

#[async_trait]
impl Store for CuttableStore {
    async fn get(&self, key: &str) -> store::Result<Option<Entry>> {
        self.connected()?.get(key).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> store::Result<Page> {
        self.connected()?.list(prefix, after, limit).await
    }

    async fn commit(&self, txn: Txn) -> store::Result<Commit> {
        self.connected()?.commit(txn).await
    }

    async fn grant(&self, ttl: Duration) -> store::Result<LeaseId> {
        self.connected()?.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> store::Result<Duration> {
        self.connected()?.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> store::Result<()> {
        self.connected()?.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> store::Result<Watch> {
        let watch = self.connected()?.watch(prefix, from).await?;
        let is_cut = self.is_cut.clone();
        let filter = move |event: &store::Result<Event>| {
            let is_delivered = !is_cut.load(Ordering::SeqCst) && event.is_ok();
            futures::future::ready(is_delivered)
        };
        Ok(watch.filter(filter).boxed())
    }
}

/// Guards against runs of a withdrawn version for an instance that missed the withdrawal: its
/// snapshot still has the version as stable. The lease holder has the version unloaded, so that the
/// engines refuse the requests.
#[tokio::test(flavor = "multi_thread")]
async fn engines_refuse_a_withdrawn_version_to_an_isolated_instance() {
    let mut deployment = Deployment::start().await.expect("the demo starts");
    let is_cut = Arc::new(AtomicBool::new(false));
    let mut settings = deployment.settings(Size::DEMO.data_centres[0], 20);
    settings.instance_list = None;
    let etcd = Etcd::new(settings.store.clone());
    let store = CuttableStore { store: etcd, is_cut: is_cut.clone() };
    let components = Builder::new(settings).store(Arc::new(store)).build();
    let isolated = Instance::start_with(components).expect("the instance starts");
    wait_until("the isolated instance is ready", || {
        let backends = isolated.components().snapshot.load().backends.clone();
        backends.iter().filter(|backend| backend.health == Health::Up).count()
            == deployment.engines.len() + 1
    })
    .await;
    wait_until("another instance drives the roll-outs", || {
        let drives =
            |instance: &Instance| instance.components().driver_status.lock().fence.is_some();
        deployment.instances.iter().any(drives)
    })
    .await;
    is_cut.store(true, Ordering::SeqCst);
    apply_patch(&deployment, &withdrawal_patch()).await;
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let before = count_runs(&deployment, "v1");
    let client = Client::new();
    for _ in 0..20 {
        send_unchecked(&client, isolated.caller_address()).await;
    }
    assert_eq!(
        isolated.components().snapshot.load().config.models.get("draft-small").map(|m| &*m.stable),
        Some("v1")
    );
    assert_eq!(count_runs(&deployment, "v1"), before);
    deployment.instances.push(isolated);
}
