//! Property tests: settings and configuration files with any text are parsed without a panic,
//! errors have a message, and files merge as RFC 7396 defines.

use {
    hawthornmount_core::{
        merge::{self, Source},
        settings::Settings,
    },
    proptest::prelude::*,
    serde_json::{Map, Value, json},
};

/// Number of cases per property. The seed is fixed.
const CASES: u32 = 128;

fn config() -> ProptestConfig {
    ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() }
}

fn runner() -> proptest::test_runner::TestRunner {
    let algorithm = config().rng_algorithm;
    let rng = proptest::test_runner::TestRng::deterministic_rng(algorithm);
    proptest::test_runner::TestRunner::new_with_rng(config(), rng)
}

/// Generates JSON values as in configuration files, including nulls, which remove members.
fn json_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i32>().prop_map(Value::from),
        "[a-z]{0,4}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..3).prop_map(Value::from),
            prop::collection::btree_map("[a-d]", inner, 0..4)
                .prop_map(|map| Value::Object(map.into_iter().collect::<Map<_, _>>())),
        ]
    })
}

/// Generates JSON objects, the top-level value of a configuration file.
fn json_object() -> impl Strategy<Value = Value> {
    prop::collection::btree_map("[a-d]", json_value(), 0..4)
        .prop_map(|map| Value::Object(map.into_iter().collect::<Map<_, _>>()))
}

/// Generates text that resembles JSON: punctuation, keys and random characters in any order.
fn json_like_text() -> impl Strategy<Value = String> {
    let part = prop_oneof![
        Just("{".to_owned()),
        Just("}".to_owned()),
        Just("[".to_owned()),
        Just("]".to_owned()),
        Just(":".to_owned()),
        Just(",".to_owned()),
        Just("//".to_owned()),
        Just("/*".to_owned()),
        Just("\"accounts\"".to_owned()),
        Just("\"instance\"".to_owned()),
        "\\PC{0,6}",
    ];
    prop::collection::vec(part, 0..24).prop_map(|parts| parts.concat())
}

fn source(name: &str, text: &str) -> Source {
    Source { name: name.into(), text: text.into() }
}

#[test]
fn settings_of_any_text_give_an_error_that_can_be_shown() {
    let check = |text: String| {
        if let Err(error) = Settings::parse(&text) {
            prop_assert!(!error.to_string().is_empty());
        }
        Ok(())
    };
    runner().run(&json_like_text(), check).expect("the property holds");
}

#[test]
fn folder_files_of_any_text_give_an_error_that_names_the_file() {
    let check = |text: String| {
        match merge::merge_sources(&[source("10-any.jsonc", &text)]) {
            Ok(value) => {
                let _ = merge::from_value(value);
            }
            Err(error) => prop_assert!(error.to_string().contains("10-any.jsonc"), "{error}"),
        }
        Ok(())
    };
    runner().run(&json_like_text(), check).expect("the property holds");
}

/// Compares the merge with the pseudocode of RFC 7396, implemented in the test.
#[test]
fn files_merge_in_order_as_the_rfc_says() {
    fn patch(target: Value, with: &Value) -> Value {
        let Value::Object(with) = with else { return with.clone() };
        let mut target = match target {
            Value::Object(map) => map,
            _ => Map::new(),
        };
        for (name, value) in with {
            if value.is_null() {
                target.remove(name);
            } else {
                let old = target.remove(name).unwrap_or(Value::Null);
                target.insert(name.clone(), patch(old, value));
            }
        }
        Value::Object(target)
    }
    let check = |(first, second, third): (Value, Value, Value)| {
        let sources = [
            source("10-a.json", &first.to_string()),
            source("20-b.json", &second.to_string()),
            source("30-c.json", &third.to_string()),
        ];
        let merged = merge::merge_sources(&sources);
        let expected = [&first, &second, &third].into_iter().fold(json!({}), patch);
        prop_assert_eq!(merged.expect("the files are objects"), expected);
        Ok(())
    };
    runner()
        .run(&(json_object(), json_object(), json_object()), check)
        .expect("the merge matches the RFC");
}
