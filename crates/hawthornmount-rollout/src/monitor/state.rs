//! State of the judge.

use {
    super::{Decision, latency::Latency},
    crate::{
        Sample,
        evidence::{
            Count, Evidence, Key, Record, Signal, Tally,
            bet::Wealth,
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

/// Chance that a good version is ever suspended, over all signals and instances.
const FALSE_ALARMS: f64 = 0.001;
/// Ways in which a version can be condemned: three signals beside the stable version and three
/// against its past.
const WAYS: f64 = 6.0;

/// Decisions that are kept.
const DECISIONS: usize = 256;

/// State of the judge.
pub struct Inner {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub revision: Revision,
    pub config: Arc<Config>,
    pub members: usize,
    pub evidence: Evidence,
    pub fresh: Vec<Key>,
    pub urgent: bool,
    pub pairs: Pairs,
    pub latency: Latency,
    pub drifts: Vec<(Release, u64, [Drift; 3])>,
    pub sequence: u64,
    pub suspensions: Set,
    pub unsent: Vec<Suspension>,
    pub progress: Vec<Progress>,
    pub decisions: VecDeque<Decision>,
}

impl Inner {
    pub fn observe(&mut self, sample: &Sample, now_ms: u64) -> bool {
        let observed = match sample.outcome {
            Outcome::Unreachable => return false,
            Outcome::Failed => [Some((Signal::Failure, 1.0)), None],
            Outcome::Rated(rating) => [Some((Signal::Rating, round(1.0 - rating))), None],
            Outcome::Answered(elapsed) => {
                let slow = self.slow(sample, elapsed).map(|slow| (Signal::Latency, slow));
                [Some((Signal::Failure, 0.0)), slow]
            }
        };
        let mut changed = false;
        for (signal, badness) in observed.into_iter().flatten() {
            changed |= self.count(sample, signal, badness, now_ms);
        }
        changed
    }

    /// Tells whether an answer was slower than most of the stable version's on the same server.
    fn slow(&mut self, sample: &Sample, elapsed: Duration) -> Option<f64> {
        let stable = self.config.models.get(&sample.release.model)?.stable.clone();
        let is_stable = stable == sample.release.version;
        let slow = self.latency.is_slow(&sample.release.model, &sample.server, elapsed);
        if is_stable {
            self.latency.learn(&sample.release.model, &sample.server, elapsed);
        }
        slow.map(|slow| if slow { 1.0 } else { 0.0 })
    }

    fn count(&mut self, sample: &Sample, signal: Signal, badness: f64, now_ms: u64) -> bool {
        let mut cell = self.own_cell(&sample.release, &sample.server, &sample.data_centre);
        let count = &mut cell.tally.counts[signal as usize];
        count.seen += 1;
        count.bad += u64::from(badness > 0.5);
        let mut changed = false;
        if let Some(stable) = self.stable_of(&sample.release) {
            let is_candidate = stable.version != sample.release.version;
            if is_candidate {
                let block = self.pairs.take(&sample.release, &sample.server, signal, true, badness);
                bet(count, block);
            } else {
                changed = self.pair_stable(sample, signal, badness, now_ms);
            }
        }
        cell.tally.changes += 1;
        self.take_cell(cell, now_ms) || changed
    }

    /// Pairs an answer of the stable version with waiting answers of the model's candidates.
    fn pair_stable(&mut self, sample: &Sample, signal: Signal, badness: f64, now_ms: u64) -> bool {
        let mut changed = false;
        for candidate in self.candidates(&sample.release) {
            let block = self.pairs.take(&candidate, &sample.server, signal, false, badness);
            if block.is_none() {
                continue;
            }
            let mut cell = self.own_cell(&candidate, &sample.server, &sample.data_centre);
            bet(&mut cell.tally.counts[signal as usize], block);
            cell.tally.changes += 1;
            changed |= self.take_cell(cell, now_ms);
        }
        changed
    }

    fn own_cell(&self, release: &Release, server: &ServerId, place: &DataCentreId) -> Record {
        let is_stable = self.stable_of(release).as_ref() == Some(release);
        let group = if is_stable { self.group(place, server) } else { server.clone() };
        let key = Key {
            model: release.model.clone(),
            version: release.version.clone(),
            generation: self.config.generation(&release.model, &release.version),
            server: group,
            instance: self.instance.clone(),
            incarnation: self.incarnation,
        };
        let tally = self.evidence.get(&key).cloned().unwrap_or(Tally {
            data_centre: place.clone(),
            changes: 0,
            counts: Default::default(),
        });
        Record { key, tally }
    }

    /// Takes a tally and judges its release again. Tells whether the release was suspended now.
    pub fn take_cell(&mut self, cell: Record, now_ms: u64) -> bool {
        let release = Release { model: cell.key.model.clone(), version: cell.key.version.clone() };
        let generation = cell.key.generation;
        let own = cell.key.instance == self.instance;
        let (key, tally) = (cell.key.clone(), cell.tally.clone());
        let Some(before) = self.evidence.merge(cell) else { return false };
        if own {
            let worse = before.as_ref().is_none_or(|before| rose(before, &tally));
            self.note_fresh(key.clone(), worse);
        }
        if generation != self.config.generation(&release.model, &release.version) {
            return false;
        }
        self.feed_drift(&release, &key.server, before.as_ref(), &tally);
        let rose = before.as_ref().is_none_or(|before| rose(before, &tally));
        self.urgent |= own && rose && self.is_in_doubt(&release);
        rose && self.judge(&release, generation, now_ms)
    }

    /// Tells whether bad news of a release should not wait: it is no stable version, or its own
    /// past speaks against it.
    fn is_in_doubt(&self, release: &Release) -> bool {
        if self.stable_of(release).as_ref() != Some(release) {
            return true;
        }
        let found = self.drifts.binary_search_by(|(one, ..)| one.cmp(release));
        found.is_ok_and(|at| self.drifts[at].2.iter().any(|one| one.rising_since().is_some()))
    }

    /// Notes that a tally has to be told; one that got worse goes first.
    fn note_fresh(&mut self, key: Key, worse: bool) {
        match self.fresh.iter().position(|one| *one == key) {
            Some(at) if worse => self.fresh[..=at].rotate_right(1),
            Some(_) => {}
            None if worse => self.fresh.insert(0, key),
            None => self.fresh.push(key),
        }
    }

    fn feed_drift(
        &mut self,
        release: &Release,
        server: &ServerId,
        old: Option<&Tally>,
        new: &Tally,
    ) {
        let group = self.group(&new.data_centre, server);
        self.sequence += 1;
        let found = self.drifts.binary_search_by(|(one, ..)| one.cmp(release));
        let at = found.unwrap_or_else(|at| {
            let generation = self.config.generation(&release.model, &release.version);
            self.drifts.insert(at, (release.clone(), generation, Signal::ALL.map(Drift::new)));
            at
        });
        for signal in Signal::ALL {
            let at_signal = signal as usize;
            let before = old.map_or_else(Count::default, |old| old.counts[at_signal]);
            let now = new.counts[at_signal];
            let batch = Batch {
                seen: now.seen.saturating_sub(before.seen),
                bad: now.bad.saturating_sub(before.bad),
            };
            self.drifts[at].2[at_signal].take(&group, batch, self.sequence);
        }
    }

    /// Returns the group that may be wrong as a whole: the data centre, or the server where there
    /// is only one data centre.
    fn group(&self, data_centre: &DataCentreId, server: &ServerId) -> Arc<str> {
        if self.config.data_centres.len() > 1 { data_centre.clone() } else { server.clone() }
    }

    fn judge(&mut self, release: &Release, generation: u64, now_ms: u64) -> bool {
        if self.against(release).is_some() {
            return false;
        }
        let Some(text) = self.condemned(release, generation) else { return false };
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
        self.note(now_ms, what.into());
        let suspension = Suspension { key, cause };
        self.unsent.push(suspension.clone());
        self.suspensions.merge(suspension)
    }

    fn condemned(&self, release: &Release, generation: u64) -> Option<Arc<str>> {
        let threshold = self.threshold();
        for signal in Signal::ALL {
            let paired = self.evidence.against(release, generation, signal);
            if paired >= threshold {
                let text = format!("{signal} worse than the stable version's, ln e = {paired:.1}");
                return Some(text.into());
            }
            let past = self.drift(release, signal);
            if past >= threshold && !self.is_common(release, signal) {
                return Some(format!("{signal} worse than in its past, ln e = {past:.1}").into());
            }
        }
        None
    }

    /// Returns the logarithm of the e-value against a release compared with its past. Slowness says
    /// nothing here: load makes a good version slow.
    fn drift(&self, release: &Release, signal: Signal) -> f64 {
        if signal == Signal::Latency {
            return f64::NEG_INFINITY;
        }
        let found = self.drifts.binary_search_by(|(one, ..)| one.cmp(release));
        found.map_or(f64::NEG_INFINITY, |at| self.drifts[at].2[signal as usize].against())
    }

    /// Tells whether ratings may have fallen for every model at once, which is the rating service's
    /// doing. Only a release of another model that stayed as it was shows that they did not.
    fn is_common(&self, release: &Release, signal: Signal) -> bool {
        if signal != Signal::Rating {
            return false;
        }
        let found = self.drifts.binary_search_by(|(one, ..)| one.cmp(release));
        let own = found.ok().map(|at| &self.drifts[at].2[signal as usize]);
        let since = own.and_then(Drift::rising_since).unwrap_or(self.sequence);
        let others = self.drifts.iter().filter(|(one, ..)| one.model != release.model);
        !others.into_iter().any(|(_, _, drift)| drift[signal as usize].is_steady_after(since))
    }

    /// Returns the logarithm of the e-value that condemns.
    pub fn threshold(&self) -> f64 {
        (self.members.max(1) as f64 * WAYS / FALSE_ALARMS).ln()
    }

    pub fn standing(&self, release: &Release) -> (u64, f64) {
        let generation = self.config.generation(&release.model, &release.version);
        let doubt = |signal| {
            let paired = self.evidence.against(release, generation, signal);
            paired.max(self.drift(release, signal))
        };
        let most = Signal::ALL.into_iter().map(doubt).fold(f64::NEG_INFINITY, f64::max);
        (self.evidence.seen(release, generation, Signal::Rating), most)
    }

    pub fn against(&self, release: &Release) -> Option<Arc<str>> {
        let version = self.config.models.get(&release.model)?.versions.get(&release.version)?;
        if version.state == State::Withdrawn {
            return Some("the version is withdrawn".into());
        }
        let held = self.suspensions.in_force(self.revision, &self.config);
        let found = held.into_iter().find(|one| one.key.release() == *release)?;
        Some(format!("suspended: {}", found.cause.text).into())
    }

    pub fn take_progress(&mut self, progress: Progress) -> bool {
        match self.progress.binary_search_by(|one| one.rollout.cmp(&progress.rollout)) {
            Ok(at) if self.progress[at].order() >= progress.order() => false,
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

    pub fn note(&mut self, at_ms: u64, what: Arc<str>) {
        self.decisions.push_back(Decision { at_ms, what });
        if self.decisions.len() > DECISIONS {
            self.decisions.pop_front();
        }
    }

    fn stable_of(&self, release: &Release) -> Option<Release> {
        let model = self.config.models.get(&release.model)?;
        Some(Release { model: release.model.clone(), version: model.stable.clone() })
    }

    fn candidates(&self, stable: &Release) -> Vec<Release> {
        let Some(model) = self.config.models.get(&stable.model) else { return Vec::new() };
        let others = model.versions.iter().filter(|row| row.id != stable.version);
        let alive = others.filter(|row| row.value.state != State::Withdrawn);
        alive.map(|row| Release { model: stable.model.clone(), version: row.id.clone() }).collect()
    }

    /// Forgets what belongs to versions and generations that are gone.
    pub fn forget(&mut self) {
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

/// Rounds a badness to 0 or 1 by chance, so that its mean stays.
fn round(badness: f64) -> f64 {
    if rand::rng().random_bool(badness.clamp(0.0, 1.0)) { 1.0 } else { 0.0 }
}

fn is_worse(before: &Tally, now: &Tally) -> bool {
    before.counts.iter().zip(&now.counts).any(|(before, now)| now.bad > before.bad)
}

/// Tells whether anything in a tally speaks more against its release than before.
fn rose(before: &Tally, now: &Tally) -> bool {
    let grew = |before: &Wealth, now: &Wealth| before.iter().zip(now).any(|(old, new)| new > old);
    let pairs = before.counts.iter().zip(&now.counts);
    is_worse(before, now) || pairs.into_iter().any(|(old, new)| grew(&old.wealth, &new.wealth))
}

fn bet(count: &mut Count, block: Option<Wealth>) {
    if let Some(block) = block {
        crate::evidence::bet::add(&mut count.wealth, &block);
        count.blocks += 1;
    }
}
