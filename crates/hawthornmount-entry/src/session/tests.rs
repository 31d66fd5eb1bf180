use {
    super::{MAX_PINS, Pins, token::Keys},
    hawthornmount_core::settings::Settings,
    hawthornmount_ledger::Pin,
    rstest::rstest,
    std::sync::Arc,
};

fn keys(current: &str, old: &[&str]) -> Keys {
    let text = format!(
        r#"{{ "instance": "a", "data_centre": "d", "region": "r", "listen": "127.0.0.1:0",
        "admin": "127.0.0.1:0", "fleet": "127.0.0.1:0", "store": ["127.0.0.1:1"],
        "fleet_key": "{current}", "old_fleet_keys": {old:?} }}"#
    );
    Keys::new(&Settings::parse(&text).expect("valid settings"))
}

fn pin(session: &str, version: &str, generation: u64) -> Pin {
    Pin {
        account: "oikos".into(),
        session: session.into(),
        model: "draft".into(),
        version: version.into(),
        generation,
    }
}

const FIRST_SECRET: &str = "the first secret of the fleet";
const SECOND_SECRET: &str = "the second secret of the fleet";

struct Case {
    signed_by: &'static str,
    current: &'static str,
    old: &'static [&'static str],
    valid: bool,
}

#[rstest]
#[case::current_key(Case {
    signed_by: FIRST_SECRET,
    current: FIRST_SECRET,
    old: &[],
    valid: true,
})]
#[case::old_key(Case {
    signed_by: FIRST_SECRET,
    current: SECOND_SECRET,
    old: &[FIRST_SECRET],
    valid: true,
})]
#[case::removed_key(Case {
    signed_by: FIRST_SECRET,
    current: SECOND_SECRET,
    old: &[],
    valid: false,
})]
#[case::signed_by_an_instance_with_rotated_keys(Case {
    signed_by: SECOND_SECRET,
    current: FIRST_SECRET,
    old: &[SECOND_SECRET],
    valid: true,
})]
fn tokens_are_valid_under_current_and_old_keys(#[case] case: Case) {
    let token = keys(case.signed_by, &[]).sign(&pin("s", "v1", 3)).expect("a token");
    let found = keys(case.current, case.old).verify(&token);
    assert_eq!(found, case.valid.then(|| pin("s", "v1", 3)));
}

#[test]
fn altered_token_is_invalid() {
    let keys = keys(FIRST_SECRET, &[]);
    let token = keys.sign(&pin("s", "v1", 0)).expect("a token");
    for at in 0..token.len() {
        let mut bytes = token.clone().into_bytes();
        bytes[at] = if bytes[at] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(bytes).expect("text");
        assert_eq!(keys.verify(&changed), None, "{changed}");
    }
    assert_eq!(keys.verify(""), None);
    assert_eq!(keys.verify(&"A".repeat(10_000)), None);
}

#[test]
fn pin_is_replaced_only_by_a_higher_generation_or_the_ledger() {
    let mut pins = Pins::default();
    assert_eq!(pins.merge(pin("s", "v1", 0), false), pin("s", "v1", 0));
    assert_eq!(pins.merge(pin("s", "v2", 0), false), pin("s", "v1", 0));
    assert_eq!(
        pins.merge(pin("s", "v3", 0), true),
        pin("s", "v3", 0),
        "the ledger takes precedence"
    );
    assert_eq!(pins.merge(pin("s", "v1", 0), true), pin("s", "v3", 0));
    assert_eq!(pins.merge(pin("s", "v2", 1), false), pin("s", "v2", 1));
    assert_eq!(pins.merge(pin("s", "v1", 0), true), pin("s", "v2", 1));
}

#[test]
fn oldest_pins_are_evicted_beyond_the_maximum() {
    let mut pins = Pins::default();
    for number in 0..MAX_PINS + 10 {
        pins.merge(pin(&format!("s{number}"), "v1", 0), false);
    }
    assert_eq!(pins.entries.len(), MAX_PINS);
    assert!(pins.get("oikos", "s9").is_none());
    assert!(pins.get("oikos", &Arc::<str>::from(format!("s{}", MAX_PINS + 9))).is_some());
}
