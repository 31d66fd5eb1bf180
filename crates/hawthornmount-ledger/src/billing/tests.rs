use {
    super::{Billing, RETRY_INTERVAL},
    crate::{
        Error,
        fakes::{Flaky, Mesh, usage},
    },
    hawthornmount_store::{Store, memory::Memory},
    rstest::rstest,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Delay of each call to the store.
const DELAY: Duration = Duration::from_millis(2);
/// Time allowed for a flush.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(30);

/// Instances on one store.
struct Rig {
    mesh: Arc<Mesh>,
    stores: Vec<Arc<Flaky>>,
    billings: Vec<Arc<Billing>>,
}

/// Starts three instances, each in a data centre of its own.
fn rig(max_waiting: usize) -> Rig {
    rig_in(["attica-1", "crete-1", "macedonia-1"].map(|name| (name, name)), max_waiting)
}

/// Starts instances with these names in these data centres.
fn rig_in<const N: usize>(instances: [(&str, &str); N], max_waiting: usize) -> Rig {
    let mesh = Arc::new(Mesh::default());
    let memory = Arc::new(Memory::new());
    let mut rig = Rig { mesh: mesh.clone(), stores: Vec::new(), billings: Vec::new() };
    for (name, data_centre) in instances {
        let flaky = Flaky::new(&memory, DELAY);
        let store: Arc<dyn Store> = flaky.clone();
        rig.stores.push(flaky);
        rig.billings.push(Billing::new(store, mesh.join(name, data_centre), max_waiting));
    }
    rig
}

impl Rig {
    fn set_down(&self, down: bool) {
        for store in &self.stores {
            store.faults.down.store(down, Ordering::SeqCst);
        }
    }

    /// Returns how many requests of the account are counted.
    async fn requests(&self) -> u64 {
        self.billings[2].total("oikos").await.expect("a total").requests
    }
}

#[tokio::test(start_paused = true)]
async fn total_counts_each_record_of_all_instances_once() {
    let rig = rig(100);
    for number in 0..400 {
        let billing = &rig.billings[number % 3];
        let record = usage(&format!("r{number}"), "oikos");
        billing.record(record.clone()).await.expect("durable");
        billing.record(record).await.expect("counted already");
    }
    let total = rig.billings[0].total("oikos").await.expect("a total");
    assert_eq!((total.requests, total.billed, total.cost), (400, 2_800, 3_600));
    assert_eq!(rig.billings[0].total("vitrine").await.expect("a total").requests, 0);
}

#[tokio::test(start_paused = true)]
async fn record_is_billed_once_after_a_lost_store_answer() {
    let rig = rig(100);
    rig.stores[0].faults.lose.store(1, Ordering::SeqCst);
    rig.billings[0].record(usage("a", "oikos")).await.expect("copied");
    rig.billings[0].record(usage("b", "oikos")).await.expect("durable");
    rig.billings[0].flush(FLUSH_TIMEOUT).await.expect("flushed");
    assert_eq!(rig.requests().await, 2);
}

#[tokio::test(start_paused = true)]
async fn records_taken_during_an_outage_are_billed_once() {
    let rig = rig(100);
    rig.set_down(true);
    for number in 0..10 {
        rig.billings[0].record(usage(&format!("r{number}"), "oikos")).await.expect("copied");
    }
    tokio::time::sleep(Duration::from_secs(60)).await;
    rig.set_down(false);
    tokio::time::sleep(Duration::from_secs(60)).await;
    rig.billings[0].flush(FLUSH_TIMEOUT).await.expect("flushed");
    assert_eq!(rig.requests().await, 10);
}

#[tokio::test(start_paused = true)]
async fn peers_write_the_records_of_a_lost_instance() {
    let rig = rig(100);
    rig.set_down(true);
    rig.billings[0].record(usage("a", "oikos")).await.expect("copied");
    rig.mesh.cut("attica-1", true);
    for store in &rig.stores[1..] {
        store.faults.down.store(false, Ordering::SeqCst);
    }
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(rig.requests().await, 1);
    rig.stores[0].faults.down.store(false, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(rig.requests().await, 1);
}

/// Guards against copies that are all in one data centre: the loss of that data centre and of the
/// origin lost the bill.
#[rstest]
#[case::first_data_centre_is_lost("crete", "macedonia")]
#[case::second_data_centre_is_lost("macedonia", "crete")]
#[tokio::test(start_paused = true)]
async fn copies_of_a_batch_survive_the_loss_of_a_data_centre(
    #[case] lost: &str,
    #[case] remaining: &str,
) {
    let instances = [
        ("attica-1", "attica"),
        ("crete-1", "crete"),
        ("crete-2", "crete"),
        ("macedonia-1", "macedonia"),
        ("macedonia-2", "macedonia"),
    ];
    let rig = rig_in(instances, 100);
    rig.set_down(true);
    rig.billings[0].record(usage("a", "oikos")).await.expect("copied");
    let mut remaining_billing = None;
    for (at, (name, data_centre)) in instances.into_iter().enumerate() {
        rig.mesh.cut(name, data_centre == "attica" || data_centre == lost);
        if data_centre == remaining {
            rig.stores[at].faults.down.store(false, Ordering::SeqCst);
            remaining_billing = Some(&rig.billings[at]);
        }
    }
    tokio::time::sleep(Duration::from_secs(30)).await;
    let total = remaining_billing.expect("one remains").total("oikos").await.expect("a total");
    assert_eq!(total.requests, 1);
}

/// Guards against a lost bill: peers dropped the copies of a batch that was still being copied when
/// the batches before it became durable.
#[tokio::test(start_paused = true)]
async fn peers_keep_a_batch_that_is_copied_while_earlier_ones_are_written() {
    let rig = rig(100);
    // Longer than a write, and the copies of a batch take longer than the interval of the retries.
    rig.mesh.set_delay(RETRY_INTERVAL * 3 / 5);
    rig.set_down(true);
    rig.billings[0].record(usage("a", "oikos")).await.expect("copied");
    tokio::time::sleep(RETRY_INTERVAL * 3 / 5).await;
    rig.set_down(false);
    rig.billings[0].record(usage("b", "oikos")).await.expect("copied");
    tokio::time::sleep(RETRY_INTERVAL / 2).await;
    rig.mesh.cut("attica-1", true);
    rig.stores[0].faults.down.store(true, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(rig.requests().await, 2);
}

#[tokio::test(start_paused = true)]
async fn full_backlog_refuses_records() {
    let rig = rig(10);
    rig.set_down(true);
    for number in 0..9 {
        rig.billings[0].record(usage(&format!("r{number}"), "oikos")).await.expect("copied");
    }
    let full = rig.billings[0].check_capacity();
    assert!(matches!(full, Err(Error::Backlog { .. })), "{full:?}");
    rig.billings[0].record(usage("last", "oikos")).await.expect("copied");
    let refused = rig.billings[0].record(usage("more", "oikos")).await;
    assert!(matches!(refused, Err(Error::Backlog { waiting: 10 })), "{refused:?}");
    rig.set_down(false);
    tokio::time::sleep(RETRY_INTERVAL * 4).await;
    rig.billings[0].record(usage("after", "oikos")).await.expect("durable");
    assert_eq!(rig.requests().await, 11);
}

#[tokio::test(start_paused = true)]
async fn record_is_refused_and_unbilled_without_store_and_peers() {
    let rig = rig(100);
    rig.set_down(true);
    rig.mesh.cut("attica-1", true);
    let refused = rig.billings[0].record(usage("a", "oikos")).await;
    assert!(matches!(refused, Err(Error::Unavailable { .. })), "{refused:?}");
    rig.set_down(false);
    rig.billings[0].flush(FLUSH_TIMEOUT).await.expect("flushed");
    let total = rig.billings[0].total("oikos").await.expect("a total");
    assert_eq!((total.billed, total.cost), (0, 9));
}

struct Load {
    /// Interval between records.
    interval: Duration,
    count: u32,
    /// Limit on the time until a record is durable.
    max_latency: Duration,
    /// Limit on the writes of this instance, one of three.
    max_writes: u64,
}

#[rstest]
#[case::idle_instance_writes_immediately(Load {
    interval: Duration::from_millis(100),
    count: 50,
    max_latency: Duration::from_millis(4),
    max_writes: 50,
})]
#[case::busy_instance_stays_within_its_rate(Load {
    interval: Duration::from_millis(1),
    count: 3_000,
    max_latency: Duration::from_millis(25),
    // The load takes about 3 s, in which a third of the fleet's rate allows 50 writes per second;
    // 8 are the burst, the rest is margin.
    max_writes: 3 * 54 + 8 + 3,
})]
#[tokio::test(start_paused = true)]
async fn writes_stay_within_latency_and_write_rate(#[case] load: Load) {
    let rig = rig(10_000);
    let mut records = Vec::new();
    for number in 0..load.count {
        let billing = rig.billings[0].clone();
        records.push(tokio::spawn(async move {
            let started = tokio::time::Instant::now();
            billing.record(usage(&format!("r{number}"), "oikos")).await.expect("durable");
            started.elapsed()
        }));
        tokio::time::sleep(load.interval).await;
    }
    let mut longest = Duration::ZERO;
    for record in records {
        longest = longest.max(record.await.expect("no panic"));
    }
    assert!(longest <= load.max_latency, "{longest:?}");
    let writes = rig.stores[0].faults.writes.load(Ordering::SeqCst);
    assert!(writes <= load.max_writes, "{writes} writes");
}
