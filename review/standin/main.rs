//! Stand-ins for the platform, servers and clients, and the cases of this review that are scripts.
//!
//! `standin CASE RECORD` plays a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run. `TROUBLE=0` leaves the disruption out.

mod http;
mod json;
mod store;
mod world;

mod crash;
mod entry;

use std::path::PathBuf;

/// Result of a case: whether the rule was broken; `None` if it couldn't run.
pub type Verdict = Option<bool>;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let record = PathBuf::from(arguments.next().unwrap_or_else(|| "record.txt".to_owned()));
    let is_disturbed = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = world::Record::new(&record);
    let verdict = match case.as_str() {
        "crash-stream" => crash::play(&record, is_disturbed, crash::Kind::Request),
        "crash-part" => crash::play(&record, is_disturbed, crash::Kind::Part),
        "foreign-entry" => entry::play(&record, is_disturbed),
        _ => None,
    };
    let (code, text) = match verdict {
        Some(true) => (1, "the rule was broken"),
        Some(false) => (0, "the rule held"),
        None => (2, "the case couldn't run"),
    };
    record.line(text);
    println!("{text}");
    std::process::exit(code);
}
