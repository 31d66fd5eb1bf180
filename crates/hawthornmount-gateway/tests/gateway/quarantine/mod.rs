//! Tests of the quarantine of prompt parts that end servers, on simulated time.

mod detector;
mod exchange;
mod fleet;
mod request;
mod stream;

use {
    hawthornmount_gateway::{
        message::PartId,
        quarantine::{
            Change, Quarantine,
            evidence::{
                End, Report,
                Suspect::{self, Part},
            },
            proof::Counter,
            start::Start,
            verdict::{self, Blamed, Record},
        },
    },
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Parts that end servers in the tables.
const BAD: PartId = 0xbad;
const OTHER_BAD: PartId = 0xbae;
/// Part that begins most prompts.
const FIRST: PartId = 1;

fn end(server: &str, request: &str, parts: &[PartId]) -> End {
    let (server, request) = (server.into(), request.into());
    let parts = parts.to_vec();
    End {
        server,
        start_ms: 1,
        request,
        parts,
        waiting_parts: Vec::new(),
        digest: None,
        waiting: None,
        is_confirmed: false,
    }
}

/// Ends, each as its server, request and parts.
type Ends = &'static [(&'static str, &'static str, &'static [PartId])];

struct Blame {
    ends: Ends,
    proofs: &'static [(PartId, u32)],
    blamed: &'static [PartId],
}

#[rstest]
#[case::one_request(Blame {
    ends: &[("a", "r", &[BAD]), ("b", "r", &[BAD]), ("c", "r", &[BAD]), ("d", "r", &[BAD])],
    proofs: &[], blamed: &[],
})]
#[case::three_servers(Blame {
    ends: &[("a", "r", &[BAD]), ("b", "s", &[BAD]), ("c", "t", &[BAD]), ("c", "u", &[BAD])],
    proofs: &[], blamed: &[],
})]
#[case::four_servers(Blame {
    ends: &[("a", "r", &[BAD]), ("b", "r", &[BAD]), ("c", "s", &[BAD]), ("d", "s", &[BAD])],
    proofs: &[], blamed: &[BAD],
})]
#[case::shared_first_part(Blame {
    ends: &[
        ("a", "r", &[FIRST, BAD]), ("b", "s", &[FIRST, 7, BAD]), ("c", "t", &[FIRST, BAD, 8]),
        ("d", "u", &[FIRST, BAD]),
    ],
    proofs: &[(FIRST, 9)], blamed: &[BAD],
})]
#[case::first_part_without_proofs(Blame {
    ends: &[
        ("a", "r", &[FIRST, BAD]), ("b", "s", &[FIRST, BAD]), ("c", "t", &[FIRST, BAD]),
        ("d", "u", &[FIRST, BAD]),
    ],
    proofs: &[], blamed: &[BAD],
})]
#[case::bad_first_part(Blame {
    ends: &[("a", "r", &[BAD, 7]), ("b", "s", &[BAD, 8]), ("c", "t", &[BAD]), ("d", "u", &[BAD])],
    proofs: &[], blamed: &[BAD],
})]
#[case::answered_part(Blame {
    ends: &[("a", "r", &[7]), ("b", "s", &[7]), ("c", "t", &[7]), ("d", "u", &[7])],
    proofs: &[(7, 1)], blamed: &[],
})]
#[case::victims_beside(Blame {
    ends: &[
        ("a", "r", &[BAD]), ("b", "s", &[BAD]), ("c", "t", &[BAD]), ("d", "t", &[BAD]),
        ("e", "t", &[BAD]),
        ("a", "u", &[7]), ("b", "u", &[7]), ("c", "v", &[7]), ("d", "v", &[7]),
    ],
    proofs: &[], blamed: &[BAD],
})]
#[case::rare_part_beside_two_parts(Blame {
    ends: &[
        ("a", "r", &[7, BAD]), ("b", "r", &[7, BAD]), ("c", "s", &[BAD]), ("d", "s", &[BAD]),
        ("e", "u", &[7, OTHER_BAD]), ("f", "u", &[7, OTHER_BAD]), ("g", "v", &[OTHER_BAD]),
        ("h", "v", &[OTHER_BAD]),
    ],
    proofs: &[], blamed: &[BAD, OTHER_BAD],
})]
#[case::parts_that_cant_be_told_apart(Blame {
    ends: &[
        ("a", "r", &[7, BAD, 8]), ("b", "s", &[7, BAD, 8]), ("c", "t", &[7, BAD, 8]),
        ("d", "u", &[7, BAD, 8]),
    ],
    proofs: &[], blamed: &[8, BAD],
})]
#[case::bad_part_beside_another(Blame {
    ends: &[
        ("a", "r", &[BAD]), ("b", "r", &[BAD]), ("c", "s", &[BAD]), ("d", "s", &[BAD]),
        ("e", "t", &[BAD]), ("f", "t", &[BAD]), ("g", "u", &[BAD]),
        ("a", "v", &[OTHER_BAD]), ("b", "v", &[OTHER_BAD]), ("c", "w", &[OTHER_BAD]),
        ("d", "w", &[OTHER_BAD]), ("e", "x", &[OTHER_BAD]), ("f", "x", &[OTHER_BAD]),
    ],
    proofs: &[], blamed: &[BAD, OTHER_BAD],
})]
#[case::two_parts(Blame {
    ends: &[
        ("a", "r", &[FIRST, BAD]), ("b", "s", &[FIRST, BAD]), ("c", "t", &[FIRST, BAD]),
        ("h", "t", &[FIRST, BAD]),
        ("d", "u", &[FIRST, OTHER_BAD]), ("e", "v", &[FIRST, OTHER_BAD]),
        ("f", "w", &[FIRST, OTHER_BAD]), ("g", "x", &[FIRST, OTHER_BAD]),
    ],
    proofs: &[(FIRST, 1)], blamed: &[BAD, OTHER_BAD],
})]
fn part_is_blamed_for_the_servers_that_ended_under_it(#[case] case: Blame) {
    let ends: Vec<End> =
        case.ends.iter().map(|(server, request, parts)| end(server, request, parts)).collect();
    let proofs =
        |one| case.proofs.iter().find(|(part, _)| Part(*part) == one).map_or(0, |row| row.1);
    let record = |suspect| Record { proofs: proofs(suspect), ..Record::default() };
    let blamed = verdict::judge(&ends.iter().collect::<Vec<_>>(), &[], record).blamed;
    let suspects: Vec<Suspect> = blamed.iter().map(|blamed: &Blamed| blamed.suspect).collect();
    let mut expected: Vec<Suspect> = case.blamed.iter().copied().map(Part).collect();
    expected.sort_unstable();
    assert_eq!(suspects, expected);
}

/// Pieces of an answer at these times after its head, in milliseconds, and when it broke off.
struct Answer {
    pieces: &'static [u64],
    broke_at: u64,
    is_proof: bool,
    is_early: bool,
}

#[rstest]
#[case::at_once(Answer { pieces: &[], broke_at: 0, is_proof: false, is_early: true })]
#[case::after_a_piece(Answer { pieces: &[10], broke_at: 60, is_proof: false, is_early: true })]
#[case::later(Answer { pieces: &[100, 200], broke_at: 400, is_proof: false, is_early: false })]
#[case::goes_on(Answer { pieces: &[90, 180, 270, 360, 450, 540], broke_at: 560, is_proof: true, is_early: false })]
#[case::read_late(Answer { pieces: &[3_000, 3_000, 3_000], broke_at: 3_000, is_proof: false, is_early: false })]
fn answer_that_breaks_off_at_its_start_is_told_from_one_that_goes_on(#[case] answer: Answer) {
    let head = Instant::now();
    let at = |ms| head + Duration::from_millis(ms);
    let mut start = Start::new(head);
    let proofs = answer.pieces.iter().filter(|ms| start.record_piece(at(**ms))).count();
    assert_eq!(proofs, usize::from(answer.is_proof));
    assert_eq!(start.is_early(at(answer.broke_at)), answer.is_early);
}

#[test]
fn answers_stop_counting() {
    let now = Instant::now();
    let mut counter = Counter::new(now);
    let at = |seconds| now + Duration::from_secs(seconds);
    counter.add(Part(7), 1, at(1));
    counter.add(Part(7), 1, at(59));
    let counts = [59, 61, 119, 121].map(|seconds| counter.count(Part(7), at(seconds)));
    assert_eq!(counts, [2, 2, 2, 0]);
    counter.add(Part(7), 1, at(70));
    assert_eq!(
        [70, 119, 125, 200].map(|seconds| counter.count(Part(7), at(seconds))),
        [3, 3, 3, 0]
    );
}

/// Ends enough servers under a part for a quarantine.
fn quarantined(now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::new("one".into(), now);
    for _ in 0..20 {
        quarantine.record_proof(&[Part(FIRST)], now);
    }
    for (server, request) in [("a", "r"), ("b", "s"), ("c", "t"), ("e", "v")] {
        quarantine.record_end(end(server, request, &[FIRST, BAD]), now);
    }
    assert!(quarantine.find([Part(BAD)], now).is_some());
    quarantine
}

#[test]
fn quarantine_ends_and_one_more_end_renews_it_for_longer() {
    let now = Instant::now();
    let mut quarantine = quarantined(now);
    let (_, term) = quarantine.find([Part(BAD)], now).expect("the part is in quarantine");
    assert!(quarantine.expire(now + term / 2).is_empty());
    let over = now + term;
    assert_eq!(quarantine.expire(over), [Change::Expired(Part(BAD))]);
    assert_eq!(quarantine.find([Part(BAD)], over), None);
    assert!(quarantine.expire(over).is_empty(), "announced twice");
    let changes = quarantine.record_end(end("d", "u", &[FIRST, BAD]), over);
    assert_eq!(changes, [Change::Entered { suspect: Part(BAD), servers: 1, term: term * 2 }]);
}

#[test]
fn answers_that_go_on_end_a_quarantine() {
    let now = Instant::now();
    let mut quarantine = quarantined(now);
    assert_eq!(
        quarantine.record_proof(&[Part(FIRST), Part(BAD)], now),
        [Change::Cleared(Part(BAD))]
    );
    assert_eq!(quarantine.find([Part(BAD)], now), None);
}

/// The instance keeps no evidence of its own, so it has to get it from the report.
#[rstest]
#[case::other_instance("two")]
#[case::same_instance_after_a_restart("one")]
fn instance_that_starts_later_gets_the_quarantine_from_the_store(#[case] name: &str) {
    let now = Instant::now();
    let later = now + Duration::from_secs(120);
    let mut first = quarantined(now);
    let report = first.take_report(now).expect("a report is due");
    first.expire(later);
    let mut second = Quarantine::new(name.into(), later);
    second.put(&"one".into(), report, later);
    second.judge_reports(later);
    assert!(second.find([Part(BAD)], later).is_some());
}

#[test]
fn evidence_that_a_restored_store_lacks_is_written_again() {
    let now = Instant::now();
    let mut quarantine = quarantined(now);
    let report = quarantine.take_report(now).expect("a report is due");
    let later = now + Duration::from_secs(5);
    assert_eq!(quarantine.take_report(later), None);
    quarantine.record_missing();
    assert_eq!(quarantine.take_report(later), Some(report));
    quarantine.put(&"one".into(), Report::default(), later);
    assert!(quarantine.take_report(later + Duration::from_secs(5)).is_some(), "an older copy");
}

#[test]
fn evidence_that_is_too_old_is_replaced_in_the_store() {
    let now = Instant::now();
    let mut quarantine = quarantined(now);
    assert!(quarantine.take_report(now).is_some());
    let later = now + Duration::from_secs(3_600);
    quarantine.expire(later);
    assert_eq!(quarantine.take_report(later), Some(Report::default()));
    quarantine.record_missing();
    assert_eq!(quarantine.take_report(later + Duration::from_secs(9)), None);
}

/// Load: prompts of very many parts, as far as the limit on the head of a request allows.
#[test]
fn report_stays_small_when_prompts_have_many_parts() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new("one".into(), now);
    for at in 0..100 {
        let parts: Vec<PartId> = (0..1_000).map(|part| u64::MAX - 1_000 * at - part).collect();
        quarantine.record_end(end(&format!("server-{at}"), &format!("request-{at}"), &parts), now);
    }
    let report = quarantine.take_report(now).expect("a report is due");
    assert!(!report.ends.is_empty());
    let bytes = serde_json::to_vec(&report).expect("a report is encoded").len();
    assert!(bytes <= 16 << 10, "{bytes} bytes");
}

/// Evidence on a bad part in an hour with few requests.
struct Quiet {
    /// Answers that went on, by part.
    proofs: &'static [(PartId, usize)],
    /// Parts of the requests under which four servers ended.
    parts: &'static [PartId],
    is_blamed: bool,
}

/// No part was blamed before 20 answers had gone on, which takes long while requests are rare.
#[rstest]
#[case::others_are_answered(Quiet { proofs: &[(FIRST, 3)], parts: &[FIRST, BAD], is_blamed: true })]
#[case::too_few_answers(Quiet { proofs: &[(FIRST, 2)], parts: &[FIRST, BAD], is_blamed: false })]
#[case::company_without_answers(Quiet { proofs: &[(FIRST, 9)], parts: &[FIRST, 7, BAD], is_blamed: false })]
#[case::answered_itself(Quiet { proofs: &[(FIRST, 9), (BAD, 1)], parts: &[FIRST, BAD], is_blamed: false })]
#[case::nothing_is_answered(Quiet { proofs: &[], parts: &[BAD], is_blamed: false })]
fn part_without_answers_is_blamed_while_requests_are_rare(#[case] case: Quiet) {
    let now = Instant::now();
    let mut quarantine = Quarantine::new("one".into(), now);
    for (part, count) in case.proofs {
        for _ in 0..*count {
            assert!(quarantine.record_proof(&[Part(*part)], now).is_empty());
        }
    }
    for (number, server) in ["a", "b", "c", "d"].into_iter().enumerate() {
        quarantine.record_end(end(server, &format!("r-{number}"), case.parts), now);
    }
    assert_eq!(quarantine.find([Part(BAD)], now).is_some(), case.is_blamed);
}
