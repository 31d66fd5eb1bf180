//! Reports on ends of servers, as instances exchange them.

use {
    super::{
        Change, GATHERING_TIME, Known, MAX_OWN_ENDS, Quarantine, Reported,
        evidence::{End, Report, Suspect},
        verdict,
    },
    hawthornmount_core::id::InstanceId,
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// Number of reports of other instances that are remembered.
const MAX_REPORTS: usize = 512;
/// Number of suspects in the ends of a report, which limits its size.
const MAX_REPORTED_SUSPECTS: usize = 512;
/// Number of suspects whose proofs a report states.
const MAX_REPORTED_PROOFS: usize = 64;
/// Minimum interval between the first two reports. It grows by as much with each further report, up to
/// [`MAX_REPORT_INTERVAL`], until no report was written for [`GATHERING_TIME`].
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Interval after a report that the store did not confirm.
const FAILED_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a report in which a list of the store may still show the one before.
const LIST_DELAY: Duration = Duration::from_secs(3);

impl Quarantine {
    /// Takes the report that an instance wrote to the store, until [`Self::judge_reports`].
    pub fn put(&mut self, instance: &InstanceId, report: Report, now: Instant) {
        self.has_new_reports |= !report.ends.is_empty();
        if *instance == self.own {
            self.put_own(report, now);
            return;
        }
        let at = self.reports.binary_search_by(|known| known.instance.cmp(instance));
        let before = at.ok().map(|at| &self.reports[at]);
        let known = |end: End| {
            let known =
                before.and_then(|row| row.ends.iter().find(|known| known.end.is_same(&end)));
            let at = known.map_or(now, |known| known.at);
            Known { end, at }
        };
        let mut proofs: Vec<(Suspect, u32)> =
            report.suspect_proofs().take(MAX_REPORTED_PROOFS).collect();
        proofs.sort_unstable();
        let answered = report.answered.iter().copied().map(Suspect::Request);
        let mut answered: Vec<Suspect> = answered.take(MAX_REPORTED_PROOFS).collect();
        answered.sort_unstable();
        let ends = report.ends.into_iter().take(MAX_OWN_ENDS).map(known).collect();
        let row = Reported { instance: instance.clone(), ends, proofs, answered, received_at: now };
        match at {
            Ok(at) => self.reports[at] = row,
            Err(at) if self.reports.len() < MAX_REPORTS => self.reports.insert(at, row),
            Err(_) => {}
        }
    }

    /// Decides on the reports that arrived since the last time.
    pub fn judge_reports(&mut self, now: Instant) -> Vec<Change> {
        let is_due = std::mem::take(&mut self.has_new_reports);
        if is_due { self.judge(now) } else { Vec::new() }
    }

    /// Records that the own report is missing from the store, which was then restored from a copy.
    pub fn record_missing(&mut self) {
        self.is_lost = self.written.as_ref().is_some_and(|report| !report.ends.is_empty());
    }

    /// Returns the report on the own evidence, if one is due.
    pub fn take_report(&mut self, now: Instant) -> Option<Report> {
        let is_lost = self.is_lost && self.next_report_at.is_none_or(|at| now >= at + LIST_DELAY);
        let is_due = self.is_report_due && self.next_report_at.is_none_or(|at| now >= at);
        if !is_lost && !is_due {
            return None;
        }
        self.is_lost = false;
        let report = self.report(now);
        self.is_report_due = false;
        let is_first = self.next_report_at.is_none_or(|at| now >= at + GATHERING_TIME);
        let interval = if is_first { REPORT_INTERVAL } else { self.interval + REPORT_INTERVAL };
        self.interval = interval.min(MAX_REPORT_INTERVAL);
        self.next_report_at = Some(now + self.interval);
        if report.ends.is_empty() && self.written.as_ref().is_none_or(|last| last.ends.is_empty()) {
            return None;
        }
        self.written = Some(report.clone());
        Some(report)
    }

    /// Records that the store did not confirm the last report.
    pub fn report_lost(&mut self, now: Instant) {
        self.is_report_due = true;
        self.next_report_at = Some(now + FAILED_REPORT_INTERVAL);
    }

    fn put_own(&mut self, report: Report, now: Instant) {
        if self.written.is_none() {
            // This instance wrote the report before it started again.
            for end in report.ends.iter().take(MAX_OWN_ENDS.saturating_sub(self.ends.len())) {
                if !self.ends.iter().any(|known| known.end.is_same(end)) {
                    self.ends.insert(0, Known { end: end.clone(), at: now });
                }
            }
            for (suspect, count) in report.suspect_proofs() {
                self.proofs.add(suspect, count, now);
            }
            for digest in report.answered.iter().take(MAX_REPORTED_PROOFS) {
                self.record_answered(Suspect::Request(*digest), now);
            }
            self.written = Some(report);
        } else {
            self.is_lost = self.written.as_ref().is_some_and(|last| last.ends != report.ends);
        }
    }

    fn report(&self, now: Instant) -> Report {
        let mut suspects = 0;
        let newest = self.ends.iter().rev().map(|known| &known.end).take_while(|end| {
            suspects += end.suspects().count();
            suspects <= MAX_REPORTED_SUSPECTS
        });
        let mut ends: Vec<End> = newest.cloned().collect();
        ends.reverse();
        // The most suspect first.
        let mut counts = verdict::counts(&self.ends_in_force(now));
        counts.sort_by_key(|(_, servers)| Reverse(*servers));
        let proofs = counts.iter().map(|(one, _)| (*one, self.proofs.count(*one, now)));
        let proofs = proofs.filter(|(_, count)| *count > 0).take(MAX_REPORTED_PROOFS);
        let mut proofs: Vec<(Suspect, u32)> = proofs.collect();
        proofs.sort_unstable();
        let answered = counts.into_iter().filter_map(|(one, _)| match one {
            Suspect::Request(digest) if self.answered.count(one, now) > 0 => Some(digest),
            _ => None,
        });
        Report::new(ends, &proofs, answered.take(MAX_REPORTED_PROOFS).collect())
    }
}
