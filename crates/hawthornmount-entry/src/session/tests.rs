use {
    super::{MAX_PINS, Pins, token::Keys},
    hawthornmount_core::settings::Settings,
    hawthornmount_ledger::Pin,
    rstest::rstest,
    std::sync::Arc,
};

fn keys(present: &str, old: &[&str]) -> Keys {
    let text = format!(
        r#"{{ "instance": "a", "data_centre": "d", "region": "r", "listen": "127.0.0.1:0",
        "admin": "127.0.0.1:0", "fleet": "127.0.0.1:0", "store": ["127.0.0.1:1"],
        "fleet_key": "{present}", "old_fleet_keys": {old:?} }}"#
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

const ONE: &str = "the first secret of the fleet";
const TWO: &str = "the second secret of the fleet";

struct Case {
    signed_by: &'static str,
    present: &'static str,
    old: &'static [&'static str],
    valid: bool,
}

#[rstest]
#[case::same_key(Case { signed_by: ONE, present: ONE, old: &[], valid: true })]
#[case::rotated(Case { signed_by: ONE, present: TWO, old: &[ONE], valid: true })]
#[case::rotated_out(Case { signed_by: ONE, present: TWO, old: &[], valid: false })]
#[case::not_yet_rotated(Case { signed_by: TWO, present: ONE, old: &[TWO], valid: true })]
fn tokens_are_valid_under_the_keys_of_the_fleet(#[case] case: Case) {
    let token = keys(case.signed_by, &[]).sign(&pin("s", "v1", 3)).expect("a token");
    let found = keys(case.present, case.old).verify(&token);
    assert_eq!(found, case.valid.then(|| pin("s", "v1", 3)));
}

#[test]
fn no_changed_token_is_valid() {
    let keys = keys(ONE, &[]);
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
fn a_pin_gives_way_to_a_later_generation_only() {
    let mut pins = Pins::default();
    assert_eq!(pins.put(pin("s", "v1", 0), false), pin("s", "v1", 0));
    assert_eq!(pins.put(pin("s", "v2", 0), false), pin("s", "v1", 0));
    assert_eq!(pins.put(pin("s", "v3", 0), true), pin("s", "v3", 0), "the ledger is right");
    assert_eq!(pins.put(pin("s", "v1", 0), true), pin("s", "v3", 0));
    assert_eq!(pins.put(pin("s", "v2", 1), false), pin("s", "v2", 1));
    assert_eq!(pins.put(pin("s", "v1", 0), true), pin("s", "v2", 1));
}

#[test]
fn the_oldest_pins_are_forgotten_at_the_bound() {
    let mut pins = Pins::default();
    for number in 0..MAX_PINS + 10 {
        pins.put(pin(&format!("s{number}"), "v1", 0), false);
    }
    assert_eq!(pins.rows.len(), MAX_PINS);
    assert!(pins.get("oikos", "s9").is_none());
    assert!(pins.get("oikos", &Arc::<str>::from(format!("s{}", MAX_PINS + 9))).is_some());
}
