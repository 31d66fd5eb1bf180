//! The quarantine as the traffic thread and the follower of the store share it.

use {
    super::{
        Change, Quarantine,
        evidence::{End, REPORT_PREFIX, Report, Suspect},
    },
    crate::time,
    hawthornmount_core::{id::InstanceId, metrics::Metrics},
    hawthornmount_store::{Entry, Txn},
    parking_lot::Mutex,
    std::time::Duration,
};

/// Names of the gauges of the parts and requests in quarantine.
const PARTS_GAUGE: &str = "quarantined_parts";
const REQUESTS_GAUGE: &str = "quarantined_requests";

/// Shares the quarantine, and logs what enters and leaves it.
pub struct Monitor {
    instance: InstanceId,
    metrics: Metrics,
    quarantine: Mutex<Quarantine>,
}

impl Monitor {
    /// Creates the quarantine of an instance.
    pub fn new(instance: InstanceId, metrics: Metrics) -> Self {
        let quarantine = Mutex::new(Quarantine::new(instance.clone(), time::now()));
        for gauge in [PARTS_GAUGE, REQUESTS_GAUGE] {
            metrics.gauges.with_label_values(&[gauge]).set(0);
        }
        Self { instance, metrics, quarantine }
    }

    /// Returns a suspect that is in quarantine, and the time until its quarantine ends.
    pub fn find(&self, suspects: impl IntoIterator<Item = Suspect>) -> Option<(Suspect, Duration)> {
        self.quarantine.lock().find(suspects, time::now())
    }

    /// Returns whether servers ended recently, so that reports of other instances are expected.
    pub fn is_gathering(&self) -> bool {
        self.quarantine.lock().is_gathering(time::now())
    }

    /// Records a request that got no whole answer because its server ended.
    pub fn record_end(&self, end: End) {
        self.update(|quarantine| quarantine.record_end(end, time::now()));
    }

    /// Records an answer that went on for a while or was complete.
    pub fn record_proof(&self, suspects: &[Suspect]) {
        self.update(|quarantine| quarantine.record_proof(suspects, time::now()));
    }

    /// Records an answer to a stream.
    pub fn record_answered(&self, request: Suspect) {
        self.quarantine.lock().record_answered(request, time::now());
    }

    /// Returns whether a request may not be sent again to another server.
    pub fn is_suspected(&self, request: Suspect) -> bool {
        self.quarantine.lock().is_suspected(request)
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
        let (changes, counts) = {
            let mut quarantine = self.quarantine.lock();
            let changes = apply(&mut quarantine);
            (changes, quarantine.counts(time::now()))
        };
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Entered { suspect, servers, term } => log::warn!(
                    "{} enters quarantine; {suspect} servers={servers} for_s={}",
                    suspect.kind(),
                    term.as_secs()
                ),
                Change::Suspected(suspect) => {
                    log::info!("{} is not sent again to other servers; {suspect}", suspect.kind());
                }
                Change::Expired(suspect) => {
                    log::info!("{} leaves quarantine; {suspect} cause=time", suspect.kind());
                }
                Change::Cleared(suspect) => {
                    log::info!("{} leaves quarantine; {suspect} cause=evidence", suspect.kind());
                }
            }
        }
        for (gauge, count) in [(PARTS_GAUGE, counts.parts), (REQUESTS_GAUGE, counts.requests)] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.metrics.gauges.with_label_values(&[gauge]).set(count);
        }
    }
}
