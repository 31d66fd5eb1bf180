//! The quarantine as the traffic thread and the follower of the store share it.

use {
    super::{
        Change, Quarantine,
        evidence::{End, REPORT_PREFIX, Report},
    },
    crate::{message::PartId, time},
    hawthornmount_core::{id::InstanceId, metrics::Metrics},
    hawthornmount_store::{Entry, Txn},
    parking_lot::Mutex,
    std::time::Duration,
};

/// Name of the gauge of the parts in quarantine.
const GAUGE: &str = "quarantined_parts";

/// Shares the quarantine, and logs the parts that enter and leave it.
pub struct Monitor {
    instance: InstanceId,
    metrics: Metrics,
    quarantine: Mutex<Quarantine>,
}

impl Monitor {
    /// Creates the quarantine of an instance.
    pub fn new(instance: InstanceId, metrics: Metrics) -> Self {
        let quarantine = Mutex::new(Quarantine::new(instance.clone(), time::now()));
        metrics.gauges.with_label_values(&[GAUGE]).set(0);
        Self { instance, metrics, quarantine }
    }

    /// Returns a part that is in quarantine, and the time until its quarantine ends.
    pub fn find(&self, parts: impl IntoIterator<Item = PartId>) -> Option<(PartId, Duration)> {
        self.quarantine.lock().find(parts, time::now())
    }

    /// Returns whether servers ended under one of the parts, and no answer with it went on.
    pub fn is_suspect(&self, parts: &[PartId]) -> bool {
        self.quarantine.lock().is_suspect(parts, time::now())
    }

    /// Returns whether servers ended recently, so that reports of other instances are expected.
    pub fn is_gathering(&self) -> bool {
        self.quarantine.lock().is_gathering(time::now())
    }

    /// Records a request whose answer broke off right after its head.
    pub fn record_end(&self, end: End) {
        self.update(|quarantine| quarantine.record_end(end, time::now()));
    }

    /// Records an answer that went on for a while or was complete.
    pub fn record_proof(&self, parts: &[PartId]) {
        self.update(|quarantine| quarantine.record_proof(parts, time::now()));
    }

    /// Removes what is too old.
    pub fn expire(&self) {
        self.update(|quarantine| quarantine.expire(time::now()));
    }

    /// Takes a key of the store, and returns whether it holds the report of an instance. Reports are
    /// applied after the complete list.
    pub fn put(&self, entry: &Entry) -> bool {
        let Some(instance) = entry.key.strip_prefix(REPORT_PREFIX) else { return false };
        match serde_json::from_slice::<Report>(&entry.value) {
            Ok(report) => {
                self.quarantine.lock().put(&instance.into(), report, time::now());
            }
            Err(error) => {
                log::warn!("skipped a report on ends of servers; key={} cause={error}", entry.key);
            }
        }
        true
    }

    /// Applies a complete list of keys, given whether it contains a key.
    pub fn retain_listed(&self, is_listed: impl Fn(&str) -> bool) {
        if !is_listed(&self.key()) {
            self.quarantine.lock().record_missing();
        }
        self.update(|quarantine| quarantine.judge_reports(time::now()));
    }

    /// Returns the write of the own report, if one is due.
    pub fn take_report(&self) -> Option<Txn> {
        let report = self.quarantine.lock().take_report(time::now())?;
        match serde_json::to_vec(&report) {
            Ok(value) => {
                log::info!("reports ends of servers; ends={}", report.ends.len());
                Some(Txn::new().put(&self.key(), value))
            }
            Err(error) => {
                log::error!("a report on ends of servers can't be encoded; cause={error}");
                None
            }
        }
    }

    /// Records that the store did not confirm the last report.
    pub fn report_lost(&self) {
        self.quarantine.lock().report_lost(time::now());
    }

    fn key(&self) -> String {
        format!("{REPORT_PREFIX}{}", self.instance)
    }

    fn update(&self, apply: impl FnOnce(&mut Quarantine) -> Vec<Change>) {
        let (changes, count) = {
            let mut quarantine = self.quarantine.lock();
            let changes = apply(&mut quarantine);
            (changes, quarantine.len(time::now()))
        };
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Entered { part, servers, term } => log::warn!(
                    "part of prompts enters quarantine; part={part:x} servers={servers} for_s={}",
                    term.as_secs()
                ),
                Change::Expired(part) => {
                    log::info!("part of prompts leaves quarantine; part={part:x} cause=time");
                }
                Change::Cleared(part) => {
                    log::info!("part of prompts leaves quarantine; part={part:x} cause=evidence");
                }
            }
        }
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.gauges.with_label_values(&[GAUGE]).set(count);
    }
}
