//! An instance that is cut off from the store and the other instances.

use {
    super::{BOUND, ask, patch, runs, until, withdrawal},
    async_trait::async_trait,
    futures::StreamExt,
    hawthornmount_core::{id::Revision, snapshot::Health},
    hawthornmount_demo::world::{Shape, World},
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

/// Way to the store that can be cut for one instance.
struct Way {
    store: Etcd,
    cut: Arc<AtomicBool>,
}

impl Way {
    fn open(&self) -> store::Result<&Etcd> {
        if self.cut.load(Ordering::SeqCst) {
            return Err(store::Error::Unreachable { cause: "cut off".into() });
        }
        Ok(&self.store)
    }
}

#[async_trait]
impl Store for Way {
    async fn get(&self, key: &str) -> store::Result<Option<Entry>> {
        self.open()?.get(key).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> store::Result<Page> {
        self.open()?.list(prefix, after, limit).await
    }

    async fn commit(&self, txn: Txn) -> store::Result<Commit> {
        self.open()?.commit(txn).await
    }

    async fn grant(&self, ttl: Duration) -> store::Result<LeaseId> {
        self.open()?.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> store::Result<Duration> {
        self.open()?.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> store::Result<()> {
        self.open()?.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> store::Result<Watch> {
        let watch = self.open()?.watch(prefix, from).await?;
        let cut = self.cut.clone();
        let open = move |event: &store::Result<Event>| {
            let kept = !cut.load(Ordering::SeqCst) && event.is_ok();
            futures::future::ready(kept)
        };
        Ok(watch.filter(open).boxed())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_that_is_cut_off_is_refused_at_the_engines() {
    let mut world = World::start().await.expect("the demo starts");
    let cut = Arc::new(AtomicBool::new(false));
    let mut settings = world.settings(Shape::DEMO.data_centres[0], 20);
    settings.instance_list = None;
    let etcd = Etcd::new(settings.store.clone());
    let way = Way { store: etcd, cut: cut.clone() };
    let parts = Builder::new(settings).store(Arc::new(way)).build();
    let lonely = Instance::start_with(parts).expect("the instance starts");
    until("the lonely instance is ready", || {
        let backends = lonely.parts().snapshot.load().backends.clone();
        backends.iter().filter(|one| one.health == Health::Up).count() == world.engines.len() + 1
    })
    .await;
    until("another instance drives the roll-outs", || {
        let held = |one: &Instance| one.parts().driver_status.lock().fence.is_some();
        world.instances.iter().any(held)
    })
    .await;
    cut.store(true, Ordering::SeqCst);
    patch(&world, &withdrawal()).await;
    tokio::time::sleep(BOUND).await;
    let before = runs(&world, "v1");
    let client = Client::new();
    for _ in 0..20 {
        ask(&client, lonely.caller_address()).await;
    }
    assert_eq!(
        lonely.parts().snapshot.load().config.models.get("draft-small").map(|m| &*m.stable),
        Some("v1")
    );
    assert_eq!(runs(&world, "v1"), before);
    world.instances.push(lonely);
}
