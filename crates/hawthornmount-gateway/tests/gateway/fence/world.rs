//! A few instances, their store and the events between them, one at a time.

use {
    super::{
        action::{Action, Fault, Setup},
        choice,
        codec::{CONFIG, DRAINING, SERVER},
        history::History,
        network::{Network, Port, hash, id},
        node::{LIST_INTERVAL, Node},
        promise::{Change, Ledger},
    },
    hawthornmount_gateway::relay::server,
    hawthornmount_store::{Error, Event},
    parking_lot::Mutex,
    std::{hash::Hash, sync::Arc, time::Duration},
};

/// Half of the time in which a write of the operator is accepted.
const WRITE_TIME: Duration = Duration::from_millis(50);
/// Time after a restore by which the operator and the servers have written again what it lost.
const RESTATEMENT_TIME: Duration = Duration::from_millis(1_900);
/// Time after which the reader has listed the store twice, and next asks only for its revision.
const WARM_UP: Duration = Duration::from_secs(1);

/// Write that a restore lost.
struct Lost {
    key: Arc<str>,
    value: String,
    due: Duration,
}

/// Instances and their surroundings.
pub struct World {
    setup: Setup,
    network: Arc<Mutex<Network>>,
    nodes: Vec<Node>,
    lost: Option<Lost>,
    ledger: Ledger,
    used: Vec<Action>,
    /// Hash of all changes of the store.
    digest: u64,
}

impl World {
    /// Starts the instances, and lets them find their reader.
    pub async fn start(setup: &Setup) -> Self {
        let states_era = setup.fault != Fault::HiddenEra;
        let network = Arc::new(Mutex::new(Network {
            history: History::new(setup.instances, setup.records > 0, states_era),
            ports: (0..setup.instances).map(|_| Port::default()).collect(),
            page_entries: usize::MAX,
            activity: 0,
            active: Arc::default(),
            start: tokio::time::Instant::now(),
        }));
        let mut world = Self {
            setup: *setup,
            nodes: (0..setup.instances).map(|number| Node::start(&network, number)).collect(),
            network,
            lost: None,
            ledger: Ledger::default(),
            used: Vec::new(),
            digest: 0,
        };
        world.settle().await;
        while world.now() < WARM_UP {
            world.calm().await;
            world.wait().await;
        }
        world.calm().await;
        world.pass(LIST_INTERVAL.saturating_sub(setup.lead)).await;
        world.network.lock().page_entries = setup.page_entries;
        for node in &mut world.nodes {
            node.digest = 0;
            node.observe().expect("nothing goes back");
        }
        world
    }

    /// Answers everything at once until all instances wait for the next list.
    async fn calm(&mut self) {
        let is_answer = |action: &Action| {
            matches!(action, Action::Deliver(..) | Action::Arrive(_) | Action::Reply(_))
        };
        while let Some(action) = self.enabled().into_iter().find(is_answer) {
            self.act(action).await;
        }
    }

    /// Returns the events that may happen next.
    pub fn enabled(&self) -> Vec<Action> {
        choice::enabled(&self.setup, &self.used, &self.network.lock())
    }

    /// Lets one event happen.
    ///
    /// # Errors
    ///
    /// Returns the promise that an instance has broken.
    pub async fn step(&mut self, action: Action) -> Result<(), String> {
        self.used.push(action);
        self.act(action).await;
        let now = self.now();
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let name = |broken| format!("instance-{number}: {broken}");
            node.observe().and_then(|()| self.ledger.check(node, now)).map_err(name)?;
        }
        Ok(())
    }

    /// Returns whether an instance confirms a change.
    pub fn has_confirmed_change(&self) -> bool {
        self.nodes.iter().any(|node| self.ledger.is_change_confirmed(node))
    }

    /// Returns the hash of all that determines what can happen next.
    pub fn fingerprint(&self) -> u64 {
        let losses = self.used.iter().filter(|action| action.is_loss()).count();
        let network = self.network.lock();
        let nodes: Vec<u64> = self.nodes.iter().map(|node| node.digest).collect();
        let ports: Vec<u64> = network.ports.iter().map(Port::digest).collect();
        hash((self.digest, network.now(), losses, nodes, ports))
    }

    async fn act(&mut self, action: Action) {
        match action {
            Action::Configure => {
                let version = self.ledger.newest_version() + 1;
                self.write(CONFIG, &version.to_string(), Change::Configuration(version)).await;
            }
            Action::Drain => self.write(SERVER, DRAINING, Change::Drained).await,
            Action::Record => {
                self.pass(WRITE_TIME).await;
                self.network.lock().history.write_record();
                self.pass(WRITE_TIME).await;
                self.mix_store(action);
            }
            Action::Restore => {
                self.pass(WRITE_TIME).await;
                let restored = self.network.lock().history.restore();
                let due = self.now() + self.setup.fault.restatement_time(RESTATEMENT_TIME);
                self.lost = restored.map(|(key, value)| Lost { key, value, due });
                self.pass(WRITE_TIME).await;
                self.mix_store(action);
            }
            Action::Restart(number) => self.restart(number),
            Action::Deliver(number, lag) => self.deliver(number, lag),
            Action::Lose(number) => drop(self.network.lock().ports[number].call.take()),
            Action::Arrive(number) => self.arrive(number),
            Action::Reply(number) => self.reply(number),
            Action::Cut(number) => drop(self.network.lock().ports[number].request.take()),
            Action::Event(number) => self.deliver_event(number),
            Action::Interrupt(number) => {
                if let Some(watcher) = self.network.lock().ports[number].watcher.take() {
                    let dropped = Err(Error::Compacted { oldest: 1 });
                    watcher.events.unbounded_send(dropped).expect("the watch is open");
                }
            }
            Action::Wait => self.wait().await,
        }
        self.mix(action);
        self.settle().await;
    }

    /// Adds an event to the history of the instance that it happens to.
    fn mix(&mut self, action: Action) {
        let (Action::Restart(number)
        | Action::Deliver(number, _)
        | Action::Lose(number)
        | Action::Reply(number)
        | Action::Cut(number)
        | Action::Event(number)
        | Action::Interrupt(number)) = action
        else {
            return;
        };
        let (now, changes) = (self.now(), self.network.lock().history.changes());
        let node = &mut self.nodes[number];
        node.digest = hash((node.digest, action, now, changes));
    }

    fn mix_store(&mut self, what: impl Hash) {
        self.digest = hash((self.digest, what, self.now()));
    }

    async fn write(&mut self, key: &str, value: &str, change: Change) {
        self.pass(WRITE_TIME).await;
        self.network.lock().history.write(key, value);
        self.ledger.accept(change, self.now());
        self.mix_store(value);
        self.pass(WRITE_TIME).await;
    }

    /// Writes again what a restore lost, unless something newer was written.
    fn restate(&mut self) {
        let now = self.now();
        let Some(lost) = self.lost.take_if(|lost| now >= lost.due) else { return };
        let mut network = self.network.lock();
        let version = |value: &[u8]| std::str::from_utf8(value).ok()?.parse::<u64>().ok();
        let known = network.history.value(&lost.key).and_then(version);
        if known.is_none_or(|known| Some(known) < version(lost.value.as_bytes())) {
            network.history.write(&lost.key, &lost.value);
        }
        drop(network);
        self.mix_store("restated");
    }

    fn restart(&mut self, number: usize) {
        self.nodes[number].task.abort();
        let mut network = self.network.lock();
        network.ports[number] = Port::default();
        for port in &mut network.ports {
            // A request that has not arrived yet reaches the new start, and an answer that was sent
            // still arrives.
            port.request.take_if(|one| {
                one.reader == number && one.follow.is_none() && one.update.is_none()
            });
        }
        drop(network);
        let before = self.nodes[number].digest;
        self.nodes[number] = Node::start(&self.network, number);
        self.nodes[number].digest = before;
    }

    fn deliver(&mut self, number: usize, lag: usize) {
        let mut network = self.network.lock();
        let call = network.ports[number].call.take().expect("a call is open");
        let page = network.history.page(&call.question, lag);
        drop(network);
        self.ledger.answered(call.asked);
        call.reply.send(Ok(page)).expect("the instance waits");
    }

    fn arrive(&mut self, number: usize) {
        let network = self.network.clone();
        let mut locked = network.lock();
        let arrived_at = locked.now();
        let open = locked.ports[number].request.as_mut().expect("a request is open");
        let follow = open.follow.take().expect("the request has not arrived");
        open.digest = hash(arrived_at);
        let serial = open.serial;
        let shared = self.nodes[open.reader].shared.clone();
        drop(locked);
        let younger = self.setup.fault.younger_us();
        tokio::task::spawn_local(async move {
            let arrived = shared.freshness.now();
            let mut update = server::answer_follower(&shared, &id(number), follow, arrived).await;
            update.confirmed_after_arrival_us =
                update.confirmed_after_arrival_us.saturating_add(younger);
            let mut network = network.lock();
            // The request may have been given up.
            let open = network.ports[number].request.as_mut();
            let Some(open) = open.filter(|open| open.serial == serial) else { return };
            let reached = (update.cursor.stamp, update.cursor.sequence);
            let confirmed = (update.confirmation, update.confirmed_after_arrival_us);
            open.digest = hash((reached, confirmed, format!("{:?}", update.delta)));
            open.update = Some(update);
            network.record_activity();
        });
    }

    fn reply(&mut self, number: usize) {
        let request = self.network.lock().ports[number].request.take().expect("a request is open");
        let update = request.update.expect("the reader has answered");
        let node = &mut self.nodes[number];
        node.digest = hash((node.digest, request.digest));
        request.reply.send(Ok(update)).map_err(drop).expect("the instance waits");
    }

    fn deliver_event(&mut self, number: usize) {
        let mut network = self.network.lock();
        let Network { history, ports, .. } = &mut *network;
        let watcher = ports[number].watcher.as_mut().expect("a watch is open");
        let record = history.records[watcher.delivered].clone();
        watcher.delivered += 1;
        watcher.events.unbounded_send(Ok(Event::Put(record))).expect("the watch is open");
    }

    fn now(&self) -> Duration {
        self.network.lock().now()
    }

    /// Lets time pass until an instance does something.
    async fn wait(&mut self) {
        let activity = self.network.lock().active.clone();
        let active = activity.notified();
        self.pass_until(self.now() + LIST_INTERVAL, active).await;
    }

    async fn pass(&mut self, time: Duration) {
        self.pass_until(self.now() + time, std::future::pending()).await;
    }

    /// Lets time pass until an instant or until something has happened. The operator writes again
    /// what was lost when that is due.
    async fn pass_until(&mut self, until: Duration, happened: impl Future<Output = ()>) {
        let mut happened = std::pin::pin!(happened);
        loop {
            let due = self.lost.as_ref().map_or(until, |lost| lost.due.min(until));
            let left = due.saturating_sub(self.now());
            let is_over = tokio::time::timeout(left, happened.as_mut()).await.is_ok();
            self.settle().await;
            self.restate();
            if is_over || self.now() >= until {
                return;
            }
        }
    }

    /// Runs the tasks until none can go on.
    async fn settle(&self) {
        loop {
            let before = self.network.lock().activity;
            tokio::task::yield_now().await;
            if self.network.lock().activity == before {
                return;
            }
        }
    }
}
