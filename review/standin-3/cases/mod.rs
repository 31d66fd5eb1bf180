//! The cases, and what they share.

mod deadly;
mod parts;
mod passed;

use std::{
    fmt::Write as _,
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};

/// Lines of `record.txt`: what was sent, answered and run, with seconds since the start.
pub struct Record {
    path: PathBuf,
    began: Instant,
    text: String,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        Self { path: folder.join("record.txt"), began: Instant::now(), text: String::new() }
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn line(&mut self, at: Instant, text: &str) {
        writeln!(self.text, "{:8.3} {text}", self.seconds(at)).expect("text can grow");
    }

    /// Writes lines of several threads in the order of their times.
    pub fn lines(&mut self, mut lines: Vec<(Instant, String)>) {
        lines.sort_by_key(|line| line.0);
        for (at, text) in lines {
            self.line(at, &text);
        }
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        fs::write(&self.path, &self.text).expect("record.txt can be written");
    }
}

/// Returns a new id of a client attempt.
pub fn attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x9c41_0000_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Runs a case, and returns whether the rule was broken.
pub fn run(case: &str, temporary: &Path, has_trouble: bool, record: &mut Record) -> bool {
    match case {
        "parts" => parts::run(temporary, has_trouble, record),
        "deadly" => deadly::run(temporary, has_trouble, record),
        "passed" => passed::run(temporary, has_trouble, record),
        _ => panic!("no case {case}"),
    }
}
