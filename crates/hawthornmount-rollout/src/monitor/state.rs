//! State of the monitor, behind its lock.

use {
    super::{Decision, latency::Latency},
    crate::{
        Sample,
        evidence::{
            Count, Evidence, Key, Record, Signal, Tally,
            bet::{self, Wealth},
            drift::{Batch, Drift},
            pair::Pairs,
        },
        progress::Progress,
        sample::Outcome,
        suspension::{self, Cause, Set, Suspension},
    },
    hawthornmount_core::{
        config::{Config, State},
        id::{DataCentreId, Incarnation, InstanceId, Revision, ServerId},
        snapshot::Release,
    },
    rand::RngExt,
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Probability that a good version is ever suspended, over all signals and instances.
const FALSE_ALARM_PROBABILITY: f64 = 0.001;
/// Tests of each version: three signals compared with the stable version, and three compared with
/// the version's own past.
const TESTS_PER_VERSION: f64 = 6.0;

/// Most decisions that are kept for operators.
const MAX_DECISIONS: usize = 256;

/// State of the monitor.
pub struct Inner {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub revision: Revision,
    pub config: Arc<Config>,
    /// Largest number of fleet members so far.
    pub members: usize,
    pub evidence: Evidence,
    /// Keys of the own tallies that are to be sent, the worsened ones first.
    pub changed_keys: Vec<Key>,
    /// Whether a worsened tally should be sent without delay.
    pub has_urgent: bool,
    pub pairs: Pairs,
    pub latency: Latency,
    /// Drift detectors by release, with the release's generation, one for each signal.
    pub drifts: Vec<(Release, u64, [Drift; 3])>,
    /// Number of tallies that were passed to the drift detectors.
    pub sequence: u64,
    pub suspensions: Set,
    /// Suspensions made by this instance that are to be sent.
    pub unsent: Vec<Suspension>,
    pub progress: Vec<Progress>,
    pub decisions: VecDeque<Decision>,
}

impl Inner {
    /// Counts a sample. Returns whether a release was suspended by it.
    pub fn observe(&mut self, sample: &Sample, now_ms: u64) -> bool {
        let observations = match sample.outcome {
            Outcome::Unreachable => return false,
            Outcome::Failed => [Some((Signal::Failure, 1.0)), None],
            Outcome::Rated(rating) => {
                [Some((Signal::Rating, randomized_round(1.0 - rating))), None]
            }
            Outcome::Answered(elapsed) => {
                let slowness = self.slowness(sample, elapsed);
                [Some((Signal::Failure, 0.0)), slowness.map(|badness| (Signal::Latency, badness))]
            }
        };
        let mut changed = false;
        for (signal, badness) in observations.into_iter().flatten() {
            changed |= self.count(sample, signal, badness, now_ms);
        }
        changed
    }

    /// Returns 1 if an answer is slow compared with the stable version's on the same server, else
    /// 0; `None` while there are too few of those. Answers of the stable version update the limit.
    fn slowness(&mut self, sample: &Sample, elapsed: Duration) -> Option<f64> {
        let stable = self.config.models.get(&sample.release.model)?.stable.clone();
        let is_stable = stable == sample.release.version;
        let slow = self.latency.is_slow(&sample.release.model, &sample.server, elapsed);
        if is_stable {
            self.latency.learn(&sample.release.model, &sample.server, elapsed);
        }
        slow.map(|slow| if slow { 1.0 } else { 0.0 })
    }

    /// Counts one observation of a signal. Returns whether a release was suspended by it.
    fn count(&mut self, sample: &Sample, signal: Signal, badness: f64, now_ms: u64) -> bool {
        let mut record = self.local_record(&sample.release, &sample.server, &sample.data_centre);
        let count = &mut record.tally.counts[signal as usize];
        count.seen += 1;
        count.bad += u64::from(badness > 0.5);
        let mut changed = false;
        if let Some(stable) = self.stable_of(&sample.release) {
            let is_candidate = stable.version != sample.release.version;
            if is_candidate {
                let block = self.pairs.push(&sample.release, &sample.server, signal, true, badness);
                add_block(count, block);
            } else {
                changed = self.pair_stable(sample, signal, badness, now_ms);
            }
        }
        record.tally.changes += 1;
        self.merge_record(record, now_ms) || changed
    }

    /// Pairs an answer of the stable version with waiting answers of the model's candidates.
    fn pair_stable(&mut self, sample: &Sample, signal: Signal, badness: f64, now_ms: u64) -> bool {
        let mut changed = false;
        for candidate in self.candidates(&sample.release) {
            let block = self.pairs.push(&candidate, &sample.server, signal, false, badness);
            if block.is_none() {
                continue;
            }
            let mut record = self.local_record(&candidate, &sample.server, &sample.data_centre);
            add_block(&mut record.tally.counts[signal as usize], block);
            record.tally.changes += 1;
            changed |= self.merge_record(record, now_ms);
        }
        changed
    }

    /// Returns this instance's record of a release on a server; an empty one if there is none.
    fn local_record(
        &self,
        release: &Release,
        server: &ServerId,
        data_centre: &DataCentreId,
    ) -> Record {
        let is_stable = self.stable_of(release).as_ref() == Some(release);
        let group = if is_stable { self.group(data_centre, server) } else { server.clone() };
        let key = Key {
            model: release.model.clone(),
            version: release.version.clone(),
            generation: self.config.generation(&release.model, &release.version),
            server: group,
            instance: self.instance.clone(),
            incarnation: self.incarnation,
        };
        let tally = self.evidence.get(&key).cloned().unwrap_or(Tally {
            data_centre: data_centre.clone(),
            changes: 0,
            counts: Default::default(),
        });
        Record { key, tally }
    }

    /// Merges a tally and evaluates its release again. Returns whether that suspended the release.
    pub fn merge_record(&mut self, record: Record, now_ms: u64) -> bool {
        let release =
            Release { model: record.key.model.clone(), version: record.key.version.clone() };
        let generation = record.key.generation;
        let is_local = record.key.instance == self.instance;
        let (key, tally) = (record.key.clone(), record.tally.clone());
        let Some(before) = self.evidence.merge(record) else { return false };
        if is_local {
            let worsened = before.as_ref().is_none_or(|before| has_worsened(before, &tally));
            self.mark_changed(key.clone(), worsened);
        }
        if generation != self.config.generation(&release.model, &release.version) {
            return false;
        }
        self.update_drift(&release, &key.server, before.as_ref(), &tally);
        let worsened = before.as_ref().is_none_or(|before| has_worsened(before, &tally));
        self.has_urgent |= is_local && worsened && self.is_suspect(&release);
        worsened && self.evaluate(&release, generation, now_ms)
    }

    /// Returns whether bad observations of a release should be sent without delay: those of a
    /// version that is not the stable one, or whose drift detectors show a rising wealth.
    fn is_suspect(&self, release: &Release) -> bool {
        if self.stable_of(release).as_ref() != Some(release) {
            return true;
        }
        let found = self.drifts.binary_search_by(|(known, ..)| known.cmp(release));
        found.is_ok_and(|at| self.drifts[at].2.iter().any(|drift| drift.rising_since().is_some()))
    }

    /// Marks a tally as to be sent; worsened ones are sent first.
    fn mark_changed(&mut self, key: Key, worsened: bool) {
        match self.changed_keys.iter().position(|known| *known == key) {
            Some(at) if worsened => self.changed_keys[..=at].rotate_right(1),
            Some(_) => {}
            None if worsened => self.changed_keys.insert(0, key),
            None => self.changed_keys.push(key),
        }
    }

    /// Passes the observations by which a tally grew to the drift detectors of its release.
    fn update_drift(
        &mut self,
        release: &Release,
        server: &ServerId,
        old: Option<&Tally>,
        new: &Tally,
    ) {
        let group = self.group(&new.data_centre, server);
        self.sequence += 1;
        let found = self.drifts.binary_search_by(|(known, ..)| known.cmp(release));
        let at = found.unwrap_or_else(|at| {
            let generation = self.config.generation(&release.model, &release.version);
            self.drifts.insert(at, (release.clone(), generation, Signal::ALL.map(Drift::new)));
            at
        });
        for signal in Signal::ALL {
            let signal_index = signal as usize;
            let before = old.map_or_else(Count::default, |old| old.counts[signal_index]);
            let now = new.counts[signal_index];
            let batch = Batch {
                total: now.seen.saturating_sub(before.seen),
                bad: now.bad.saturating_sub(before.bad),
            };
            self.drifts[at].2[signal_index].observe(&group, batch, self.sequence);
        }
    }

    /// Returns the group of servers that may fail together: the data centre, or the server itself
    /// if there is only one data centre.
    fn group(&self, data_centre: &DataCentreId, server: &ServerId) -> Arc<str> {
        if self.config.data_centres.len() > 1 { data_centre.clone() } else { server.clone() }
    }

    /// Suspends a release if the evidence against it reaches the threshold. Returns whether it did.
    fn evaluate(&mut self, release: &Release, generation: u64, now_ms: u64) -> bool {
        if self.exclusion(release).is_some() {
            return false;
        }
        let Some(text) = self.suspension_cause(release, generation) else { return false };
        let key = suspension::Key {
            model: release.model.clone(),
            version: release.version.clone(),
            generation,
        };
        let cause =
            Cause { revision: self.revision, text, by: self.instance.clone(), at_ms: now_ms };
        let what = format!(
            "version suspended; release={}@{} cause={}",
            key.model, key.version, cause.text
        );
        log::warn!("{what}");
        self.record_decision(now_ms, what.into());
        let suspension = Suspension { key, cause };
        self.unsent.push(suspension.clone());
        self.suspensions.merge(suspension)
    }

    /// Returns why a release is to be suspended, if the evidence is sufficient.
    fn suspension_cause(&self, release: &Release, generation: u64) -> Option<Arc<str>> {
        let threshold = self.threshold();
        for signal in Signal::ALL {
            let paired = self.evidence.log_e_value(release, generation, signal);
            if paired >= threshold {
                let text = format!("{signal} worse than the stable version's, ln e = {paired:.1}");
                return Some(text.into());
            }
            let past = self.drift_log_wealth(release, signal);
            if past >= threshold && !self.may_affect_all_models(release, signal) {
                return Some(format!("{signal} worse than in its past, ln e = {past:.1}").into());
            }
        }
        None
    }

    /// Returns the log wealth against a release compared with its own past. Latency is ignored
    /// here, because load makes a good version slow too.
    fn drift_log_wealth(&self, release: &Release, signal: Signal) -> f64 {
        if signal == Signal::Latency {
            return f64::NEG_INFINITY;
        }
        let found = self.drifts.binary_search_by(|(known, ..)| known.cmp(release));
        found.map_or(f64::NEG_INFINITY, |at| self.drifts[at].2[signal as usize].log_wealth())
    }

    /// Returns whether ratings may have fallen for all models at once, which points to a fault of
    /// the rating service. This is ruled out only by a release of another model whose ratings are
    /// steady.
    fn may_affect_all_models(&self, release: &Release, signal: Signal) -> bool {
        if signal != Signal::Rating {
            return false;
        }
        let found = self.drifts.binary_search_by(|(known, ..)| known.cmp(release));
        let own = found.ok().map(|at| &self.drifts[at].2[signal as usize]);
        let since = own.and_then(Drift::rising_since).unwrap_or(self.sequence);
        let others = self.drifts.iter().filter(|(other, ..)| other.model != release.model);
        !others.into_iter().any(|(_, _, drift)| drift[signal as usize].is_steady_after(since))
    }

    /// Returns the logarithm of the e-value from which a version is suspended. The false alarm
    /// probability is divided among the members and the tests of a version.
    pub fn threshold(&self) -> f64 {
        (self.members.max(1) as f64 * TESTS_PER_VERSION / FALSE_ALARM_PROBABILITY).ln()
    }

    /// Returns the number of ratings of a release and the largest log e-value against it.
    pub fn assessment(&self, release: &Release) -> (u64, f64) {
        let generation = self.config.generation(&release.model, &release.version);
        let log_e_value = |signal| {
            let paired = self.evidence.log_e_value(release, generation, signal);
            paired.max(self.drift_log_wealth(release, signal))
        };
        let max = Signal::ALL.into_iter().map(log_e_value).fold(f64::NEG_INFINITY, f64::max);
        (self.evidence.observations(release, generation, Signal::Rating), max)
    }

    /// Returns why a release gets no new requests, if it is withdrawn or suspended.
    pub fn exclusion(&self, release: &Release) -> Option<Arc<str>> {
        let version = self.config.models.get(&release.model)?.versions.get(&release.version)?;
        if version.state == State::Withdrawn {
            return Some("the version is withdrawn".into());
        }
        let in_force = self.suspensions.in_force(self.revision, &self.config);
        let found = in_force.into_iter().find(|one| one.key.release() == *release)?;
        Some(format!("suspended: {}", found.cause.text).into())
    }

    /// Merges the progress of a roll-out. Returns whether it is newer than the known one.
    pub fn merge_progress(&mut self, progress: Progress) -> bool {
        match self.progress.binary_search_by(|known| known.rollout.cmp(&progress.rollout)) {
            Ok(at) if self.progress[at].ordering_key() >= progress.ordering_key() => false,
            Ok(at) => {
                self.progress[at] = progress;
                true
            }
            Err(at) => {
                self.progress.insert(at, progress);
                true
            }
        }
    }

    /// Keeps a decision for operators and drops the oldest one above the limit.
    pub fn record_decision(&mut self, at_ms: u64, what: Arc<str>) {
        self.decisions.push_back(Decision { at_ms, what });
        if self.decisions.len() > MAX_DECISIONS {
            self.decisions.pop_front();
        }
    }

    fn stable_of(&self, release: &Release) -> Option<Release> {
        let model = self.config.models.get(&release.model)?;
        Some(Release { model: release.model.clone(), version: model.stable.clone() })
    }

    /// Returns the versions of the stable release's model other than itself that are not withdrawn.
    fn candidates(&self, stable: &Release) -> Vec<Release> {
        let Some(model) = self.config.models.get(&stable.model) else { return Vec::new() };
        let others = model.versions.iter().filter(|row| row.id != stable.version);
        let usable = others.filter(|row| row.value.state != State::Withdrawn);
        usable.map(|row| Release { model: stable.model.clone(), version: row.id.clone() }).collect()
    }

    /// Removes the evidence of versions that are no longer configured and of older generations.
    pub fn discard_obsolete(&mut self) {
        let config = self.config.clone();
        self.drifts.retain(|(release, generation, _)| {
            config.generation(&release.model, &release.version) == *generation
        });
        self.evidence.retain(|key| {
            let exists = config
                .models
                .get(&key.model)
                .is_some_and(|model| model.versions.contains(&key.version));
            exists && config.generation(&key.model, &key.version) <= key.generation
        });
    }
}

/// Rounds a badness to 0 or 1 at random, so that its mean is preserved.
fn randomized_round(badness: f64) -> f64 {
    if rand::rng().random_bool(badness.clamp(0.0, 1.0)) { 1.0 } else { 0.0 }
}

/// Returns whether a tally has more bad observations than before.
fn has_more_bad(before: &Tally, now: &Tally) -> bool {
    before.counts.iter().zip(&now.counts).any(|(before, now)| now.bad > before.bad)
}

/// Returns whether a tally has more bad observations, or more wealth against its release, than
/// before.
fn has_worsened(before: &Tally, now: &Tally) -> bool {
    let grew = |before: &Wealth, now: &Wealth| before.iter().zip(now).any(|(old, new)| new > old);
    let pairs = before.counts.iter().zip(&now.counts);
    has_more_bad(before, now) || pairs.into_iter().any(|(old, new)| grew(&old.wealth, &new.wealth))
}

/// Adds the log-likelihood ratios of a block to the wealth of a count.
fn add_block(count: &mut Count, block: Option<Wealth>) {
    if let Some(block) = block {
        bet::add(&mut count.wealth, &block);
        count.blocks += 1;
    }
}
