//! The exchange of reports over the store between the instances of a fleet, on simulated time.

use {
    hawthornmount_gateway::quarantine::{Quarantine, evidence::Report},
    rand::{RngExt, rngs::StdRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time of the simulation in milliseconds.
pub type Millis = u64;

/// Step of the simulation.
pub const STEP: Millis = 10;
/// Time for which an instance counts as disturbed after it was killed.
pub const STABILITY_WINDOW: Millis = 3_000;
const DATA_CENTRES: usize = 3;
/// Intervals at which a data centre reads the store, usually and while servers end.
const LIST_INTERVAL: Millis = 2_000;
const GATHERING_INTERVAL: Millis = 1_000;
/// Time in which a data centre has another reader after one was killed.
const READER_REPLACEMENT: Millis = 2_700;
const READER_KILL_INTERVAL: Millis = 4_000;
const WRITE_DELAY: Millis = 50;
const REPORT_CHECK_INTERVAL: Millis = 100;
const SWEEP_INTERVAL: Millis = 1_000;

/// Disruption of instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// The readers of the data centres are killed in turn.
    KilledReaders,
    /// One instance in six can't reach the store.
    CutOff,
}

/// An instance of the fleet.
pub struct Instance {
    pub quarantine: Quarantine,
    /// Number of the last write that the instance has read, and when it was killed last.
    read: usize,
    killed_at: Option<Millis>,
    pub is_cut: bool,
}

/// A report that was written to the store.
struct Write {
    instance: usize,
    report: Report,
    visible_at: Millis,
}

/// The instances of a fleet and what they wrote to the store.
pub struct Fleet {
    pub instances: Vec<Instance>,
    fault: Fault,
    origin: Instant,
    next_read: [Millis; DATA_CENTRES],
    writes: Vec<Write>,
}

impl Instance {
    /// Applies the last report of each instance, among the writes that are new.
    fn read(&mut self, writes: &[Write], now: Instant) {
        for (at, write) in writes.iter().enumerate().skip(self.read) {
            if !writes[at + 1..].iter().any(|later| later.instance == write.instance) {
                self.quarantine.put(&name(write.instance), write.report.clone(), now);
            }
        }
        self.quarantine.judge_reports(now);
        self.read = writes.len();
    }

    /// Returns whether the rules hold for the instance: it was not killed a moment ago, and reaches the
    /// store.
    pub fn is_in_touch(&self, now: Millis) -> bool {
        !self.is_cut && self.killed_at.is_none_or(|at| now > at + STABILITY_WINDOW)
    }
}

impl Fleet {
    pub fn new(instances: usize, fault: Fault) -> Self {
        let origin = Instant::now();
        let instance = |number: usize| Instance {
            quarantine: Quarantine::new(name(number), origin),
            read: 0,
            killed_at: None,
            is_cut: fault == Fault::CutOff && number % 6 == 5,
        };
        Self {
            instances: (0..instances).map(instance).collect(),
            fault,
            origin,
            next_read: [0, 700, 1_400],
            writes: Vec::new(),
        }
    }

    pub fn at(&self, time: Millis) -> Instant {
        self.origin + Duration::from_millis(time)
    }

    /// Returns the number of writes to the store.
    pub fn writes(&self) -> usize {
        self.writes.len()
    }

    /// Writes the reports that are due, and reads those of others. Returns the instance that was killed.
    pub fn exchange(&mut self, time: Millis, rng: &mut StdRng) -> Option<usize> {
        if !time.is_multiple_of(REPORT_CHECK_INTERVAL) {
            return None;
        }
        let now = self.at(time);
        for (number, instance) in self.instances.iter_mut().enumerate() {
            if time.is_multiple_of(SWEEP_INTERVAL) {
                instance.quarantine.expire(now);
            }
            let Some(report) = instance.quarantine.take_report(now) else { continue };
            if instance.is_cut {
                instance.quarantine.report_lost(now);
                continue;
            }
            let visible_at = time + WRITE_DELAY;
            self.writes.push(Write { instance: number, report, visible_at });
        }
        let is_kill_due =
            self.fault == Fault::KilledReaders && time.is_multiple_of(READER_KILL_INTERVAL);
        let killed = is_kill_due.then(|| {
            self.kill_reader((time / READER_KILL_INTERVAL) as usize % DATA_CENTRES, time, rng)
        });
        for data_centre in 0..DATA_CENTRES {
            if time >= self.next_read[data_centre] {
                self.read(data_centre, time);
            }
        }
        killed
    }

    fn read(&mut self, data_centre: usize, time: Millis) {
        let now = self.at(time);
        let visible = self.visible_writes(time);
        let mut is_gathering = false;
        for instance in self.instances.iter_mut().skip(data_centre).step_by(DATA_CENTRES) {
            is_gathering |= instance.quarantine.is_gathering(now);
            if !instance.is_cut {
                instance.read(&self.writes[..visible], now);
            }
        }
        let interval = if is_gathering { GATHERING_INTERVAL } else { LIST_INTERVAL };
        self.next_read[data_centre] = time + interval;
    }

    fn visible_writes(&self, time: Millis) -> usize {
        self.writes.iter().take_while(|write| write.visible_at <= time).count()
    }

    /// Kills and restarts an instance; the others of its data centre find another reader.
    fn kill_reader(&mut self, data_centre: usize, time: Millis, rng: &mut StdRng) -> usize {
        let now = self.at(time);
        let candidates: Vec<usize> =
            (data_centre..self.instances.len()).step_by(DATA_CENTRES).collect();
        let number = candidates[rng.random_range(0..candidates.len())];
        let visible = self.visible_writes(time);
        let instance = &mut self.instances[number];
        instance.quarantine = Quarantine::new(name(number), now);
        instance.read = 0;
        instance.killed_at = Some(time);
        // An instance takes requests once it has listed the store.
        instance.read(&self.writes[..visible], now);
        self.next_read[data_centre] = time + READER_REPLACEMENT;
        number
    }
}

fn name(instance: usize) -> Arc<str> {
    format!("instance-{instance:03}").into()
}
