//! Tests of the quarantine of requests that end servers.

use {
    hawthornmount_gateway::{
        message::{Digest, PartId},
        quarantine::{
            Change, Quarantine,
            evidence::{
                End,
                Suspect::{self, Part, Request},
            },
            verdict::{self, Record},
        },
    },
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Digests of a request that ends servers, and of sound ones.
const DEADLY: Digest = 0xdead;
const SOUND: Digest = 0x50;
const OTHER_SOUND: Digest = 0x51;
/// Part that sound requests and those that end servers share.
const SHARED: PartId = 1;

fn end(server: &str, request: &str, digest: Digest, parts: &[PartId]) -> End {
    End {
        server: server.into(),
        start_ms: 1,
        request: request.into(),
        parts: parts.to_vec(),
        waiting_parts: Vec::new(),
        digest: Some(digest),
        waiting: None,
        is_confirmed: true,
    }
}

struct Blame {
    /// Ends, each as its server, the id and the digest of its request, and the parts.
    ends: &'static [(&'static str, &'static str, Digest, &'static [PartId])],
    proofs: &'static [(Suspect, u32)],
    is_settled: bool,
    blamed: &'static [Suspect],
}

#[rstest]
#[case::comes_again_and_again(Blame {
    ends: &[("a", "r", DEADLY, &[]), ("b", "s", DEADLY, &[]), ("c", "t", DEADLY, &[])],
    proofs: &[], is_settled: false, blamed: &[Request(DEADLY)],
})]
#[case::came_twice_and_others_may_explain_it(Blame {
    ends: &[("a", "r", SOUND, &[]), ("b", "r", SOUND, &[]), ("c", "s", SOUND, &[])],
    proofs: &[], is_settled: false, blamed: &[],
})]
#[case::came_twice(Blame {
    ends: &[("a", "r", DEADLY, &[]), ("b", "r", DEADLY, &[]), ("c", "s", DEADLY, &[])],
    proofs: &[], is_settled: true, blamed: &[Request(DEADLY)],
})]
#[case::two_servers(Blame {
    ends: &[("a", "r", DEADLY, &[]), ("b", "s", DEADLY, &[]), ("b", "t", DEADLY, &[])],
    proofs: &[], is_settled: true, blamed: &[],
})]
#[case::came_once_and_others_may_explain_it(Blame {
    ends: &[("a", "r", DEADLY, &[]), ("b", "r", DEADLY, &[]), ("c", "r", DEADLY, &[])],
    proofs: &[], is_settled: false, blamed: &[],
})]
#[case::came_once(Blame {
    ends: &[("a", "r", DEADLY, &[]), ("b", "r", DEADLY, &[]), ("c", "r", DEADLY, &[])],
    proofs: &[], is_settled: true, blamed: &[Request(DEADLY)],
})]
#[case::was_answered(Blame {
    ends: &[("a", "r", SOUND, &[]), ("b", "s", SOUND, &[]), ("c", "t", SOUND, &[])],
    proofs: &[(Request(SOUND), 1)], is_settled: true, blamed: &[],
})]
#[case::sound_request_beside(Blame {
    ends: &[
        ("a", "r", DEADLY, &[]), ("b", "r", DEADLY, &[]), ("c", "s", DEADLY, &[]),
        ("d", "t", DEADLY, &[]),
        ("a", "u", SOUND, &[]), ("b", "u", SOUND, &[]), ("c", "v", SOUND, &[]),
    ],
    proofs: &[], is_settled: true, blamed: &[Request(DEADLY)],
})]
#[case::requests_that_cant_be_told_apart_yet(Blame {
    ends: &[
        ("a", "r", DEADLY, &[]), ("b", "s", DEADLY, &[]), ("c", "t", DEADLY, &[]),
        ("a", "u", SOUND, &[]), ("b", "v", SOUND, &[]), ("c", "w", SOUND, &[]),
    ],
    proofs: &[], is_settled: true, blamed: &[],
})]
#[case::part_of_the_bad_request(Blame {
    ends: &[
        ("a", "r", DEADLY, &[SHARED]), ("b", "r", DEADLY, &[SHARED]),
        ("c", "s", DEADLY, &[SHARED]), ("d", "t", DEADLY, &[SHARED]),
        ("a", "u", SOUND, &[SHARED]), ("b", "v", OTHER_SOUND, &[SHARED]),
    ],
    proofs: &[], is_settled: true, blamed: &[Request(DEADLY)],
})]
#[case::part_of_different_requests(Blame {
    ends: &[
        ("a", "r", 1, &[SHARED]), ("b", "r", 1, &[SHARED]), ("c", "r", 1, &[SHARED]),
        ("d", "s", 2, &[SHARED]), ("e", "s", 2, &[SHARED]), ("f", "t", 3, &[SHARED]),
    ],
    proofs: &[], is_settled: false, blamed: &[Part(SHARED)],
})]
fn request_is_blamed_for_the_servers_that_ended_under_it(#[case] case: Blame) {
    let row = |(server, request, digest, parts): &(&str, &str, Digest, &[PartId])| {
        end(server, request, *digest, parts)
    };
    let ends: Vec<End> = case.ends.iter().map(row).collect();
    let record = |suspect| Record {
        proofs: case.proofs.iter().find(|proof| proof.0 == suspect).map_or(0, |proof| proof.1),
        is_settled: case.is_settled,
        ..Record::default()
    };
    let verdict = verdict::judge(&ends.iter().collect::<Vec<_>>(), &[], record);
    let blamed: Vec<Suspect> = verdict.blamed.iter().map(|one| one.suspect).collect();
    assert_eq!(blamed, case.blamed, "{verdict:?}");
}

/// Load: a sound server breaks off answers to one request again and again.
#[test]
fn request_whose_servers_go_on_is_not_in_quarantine() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new("one".into(), now);
    for (server, request) in [("a", "r"), ("b", "s"), ("c", "t"), ("d", "u")] {
        let end = End { is_confirmed: false, ..end(server, request, SOUND, &[]) };
        assert_eq!(quarantine.record_end(end, now), []);
    }
    assert_eq!(quarantine.expire(now + Duration::from_secs(2)), []);
    assert_eq!(quarantine.find([Request(SOUND)], now), None);
}

/// Load: the request comes once at each of three instances and may not run twice.
#[test]
fn request_is_kept_from_servers_by_what_other_instances_report() {
    let now = Instant::now();
    let mut last = Quarantine::new("last".into(), now);
    for (name, server) in [("one", "a"), ("two", "b")] {
        let mut other = Quarantine::new(name.into(), now);
        other.record_end(end(server, name, DEADLY, &[]), now);
        let report = other.take_report(now).expect("a report is due");
        let bytes = serde_json::to_vec(&report).expect("a report is encoded");
        let report = serde_json::from_slice(&bytes).expect("a report is decoded");
        last.put(&name.into(), report, now);
    }
    assert_eq!(last.judge_reports(now), []);
    let changes = last.record_end(end("c", "three", DEADLY, &[]), now);
    assert!(
        matches!(changes[..], [Change::Entered { suspect: Request(DEADLY), servers: 3, .. }]),
        "{changes:?}"
    );
}

/// Load: a request that waits at a server when it enters quarantine ends that server afterwards, and
/// a sound one at another instance runs beside it for the third time.
#[test]
fn sound_request_is_acquitted_by_ends_under_a_request_in_quarantine() {
    let now = Instant::now();
    let mut first = Quarantine::new("first".into(), now);
    let mut second = Quarantine::new("second".into(), now);
    for (server, request) in [("a", "r"), ("b", "s"), ("c", "t")] {
        first.record_end(end(server, request, DEADLY, &[]), now);
    }
    assert!(first.take_report(now).is_some());
    let later = now + Duration::from_secs(2);
    first.record_end(end("d", "u", DEADLY, &[]), later);
    for server in ["b", "c", "d"] {
        second.record_end(end(server, "v", SOUND, &[]), later);
    }
    second.put(&"first".into(), first.take_report(later).expect("a report is due"), later);
    second.judge_reports(later);
    let settled = later + Duration::from_secs(2);
    second.expire(settled);
    assert!(second.find([Request(DEADLY)], settled).is_some());
    assert_eq!(second.find([Request(SOUND)], settled), None);
}

/// Load: very many requests, each of which breaks at a server that ends.
#[test]
fn evidence_against_requests_is_bounded() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new("one".into(), now);
    for number in 0..10_000 {
        let server = format!("server-{}", number / 10);
        quarantine.record_end(end(&server, &format!("r-{number}"), number, &[]), now);
        quarantine.record_proof(&[Request(number)], now);
    }
    let report = quarantine.take_report(now).expect("a report is due");
    let bytes = serde_json::to_vec(&report).expect("a report is encoded").len();
    assert!(bytes <= 16 << 10, "{bytes} bytes");
}

struct Waiting {
    /// Ends at which requests may only have waited, each as its server, the id and the digest.
    ends: &'static [(&'static str, &'static str, Digest)],
    answered: &'static [Digest],
    is_suspected: bool,
    is_blamed: bool,
}

/// Guards against a quarantine of sound requests that only waited at servers that ended (LOST).
#[rstest]
#[case::two_servers(Waiting {
    ends: &[("a", "r", DEADLY), ("b", "s", DEADLY), ("b", "t", DEADLY), ("b", "u", DEADLY)],
    answered: &[], is_suspected: false, is_blamed: false,
})]
#[case::came_three_times(Waiting {
    ends: &[("a", "r", DEADLY), ("b", "r", DEADLY), ("c", "s", DEADLY), ("d", "t", DEADLY)],
    answered: &[], is_suspected: true, is_blamed: false,
})]
#[case::came_four_times(Waiting {
    ends: &[("a", "r", DEADLY), ("b", "s", DEADLY), ("c", "t", DEADLY), ("c", "u", DEADLY)],
    answered: &[], is_suspected: true, is_blamed: true,
})]
#[case::beside_another_at_all_servers_but_one(Waiting {
    ends: &[
        ("a", "r", DEADLY), ("b", "s", DEADLY), ("c", "t", DEADLY), ("d", "u", DEADLY),
        ("a", "v", SOUND), ("b", "v", SOUND), ("c", "v", SOUND),
    ],
    answered: &[], is_suspected: true, is_blamed: false,
})]
#[case::beside_an_answered_one(Waiting {
    ends: &[
        ("a", "r", DEADLY), ("b", "s", DEADLY), ("c", "t", DEADLY), ("d", "u", DEADLY),
        ("a", "v", SOUND), ("b", "v", SOUND), ("c", "v", SOUND),
    ],
    answered: &[SOUND], is_suspected: true, is_blamed: true,
})]
#[case::answered_and_alone_at_half(Waiting {
    ends: &[
        ("a", "r", DEADLY), ("b", "s", DEADLY), ("c", "t", DEADLY), ("d", "u", DEADLY),
        ("a", "v", SOUND), ("b", "w", OTHER_SOUND),
    ],
    answered: &[DEADLY], is_suspected: true, is_blamed: false,
})]
#[case::answered_and_alone(Waiting {
    ends: &[
        ("a", "r", DEADLY), ("b", "s", DEADLY), ("c", "t", DEADLY), ("d", "u", DEADLY),
        ("a", "v", SOUND),
    ],
    answered: &[DEADLY], is_suspected: true, is_blamed: true,
})]
fn request_that_may_have_waited_is_suspected_before_it_is_blamed(#[case] case: Waiting) {
    let now = Instant::now();
    let mut quarantine = Quarantine::new("one".into(), now);
    for digest in case.answered {
        quarantine.record_answered(Request(*digest), now);
    }
    for (server, request, digest) in case.ends {
        let waiting = End { digest: None, waiting: Some(*digest), ..end(server, request, 0, &[]) };
        quarantine.record_end(waiting, now);
    }
    assert_eq!(quarantine.is_suspected(Request(DEADLY)), case.is_suspected);
    assert_eq!(quarantine.find([Request(DEADLY)], now), None, "others may explain it");
    let later = now + Duration::from_secs(3);
    quarantine.expire(later);
    assert_eq!(quarantine.find([Request(DEADLY)], later).is_some(), case.is_blamed);
    assert_eq!(quarantine.find([Request(SOUND)], later), None);
}

/// Builds that take every request for a running one find no digest in such an end.
#[test]
fn end_of_a_request_that_may_have_waited_has_no_digest_for_older_builds() {
    let waiting = End { digest: None, waiting: Some(SOUND), ..end("a", "r", 0, &[]) };
    let value = serde_json::to_value(&waiting).expect("an end is encoded");
    assert_eq!(value.get("digest"), None);
    assert_eq!(serde_json::from_value::<End>(value).expect("an end is decoded"), waiting);
}
