use {
    hawthornmount_core::{
        metrics::Metrics,
        reason::{Refusal, Retry},
    },
    rstest::rstest,
    std::{fs, path::Path},
};

struct Section {
    title: &'static str,
    counter: &'static str,
    reasons: Vec<&'static str>,
}

fn refusals() -> Section {
    let reasons = Refusal::ALL.iter().map(|reason| reason.as_str()).collect();
    Section { title: "## Refusals", counter: "hawthornmount_refusals_total", reasons }
}

fn retries() -> Section {
    let reasons = Retry::ALL.iter().map(|reason| reason.as_str()).collect();
    Section { title: "## Retries", counter: "hawthornmount_retries_total", reasons }
}

/// Returns the names in the first column of the table in the section `title`.
fn rows<'a>(page: &'a str, title: &str) -> Vec<&'a str> {
    let section = page.split(title).nth(1).unwrap_or_default();
    let section = section.split("\n## ").next().unwrap_or_default();
    let row = |line: &'a str| line.strip_prefix("| `")?.split('`').next();
    section.lines().filter_map(row).collect()
}

#[rstest]
#[case::refusals(refusals())]
#[case::retries(retries())]
fn each_reason_is_documented_and_has_a_counter_that_starts_at_zero(#[case] section: Section) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/reasons.md");
    let page = fs::read_to_string(path).expect("the page exists");
    assert_eq!(rows(&page, section.title), section.reasons);
    let metrics = Metrics::new().encode();
    for reason in section.reasons {
        let sample = format!("{}{{reason=\"{reason}\"}} 0", section.counter);
        assert!(metrics.contains(&sample), "{sample} is missing");
    }
}
