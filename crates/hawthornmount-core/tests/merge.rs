//! Merge of configuration files, and the problems that it reports with their file and line.

use {
    hawthornmount_core::merge::{self, Error, Merged, Source},
    proptest::{collection, prelude::*},
    rstest::rstest,
    serde_json::{Value, json},
    std::fs,
};

fn source(name: &str, text: &str) -> Source {
    Source { name: name.into(), text: text.into() }
}

/// Merges and checks the files and returns the problems as text.
fn problems(sources: &[Source]) -> Vec<String> {
    match Merged::new(sources).and_then(|merged| merged.config()) {
        Ok(_) => Vec::new(),
        Err(Error::Invalid { problems }) => problems.iter().map(ToString::to_string).collect(),
        Err(error) => panic!("{error}"),
    }
}

const BASE: &str = r#"{
  // Lines are counted with comments.
  "data_centres": { "attica-a": { "region": "attica" } },
  "models": {
    "small": { "price": 1, "stable": "v1", "versions": { "v1": { "state": "proven" } } },
    "large": { "price": 9, "stable": "v1", "versions": { "v1": { "state": "proven" } } },
  },
  "cascades": { "drafting": { "models": ["small", "large"] } },
}"#;

struct Case {
    patch: &'static str,
    problem: &'static str,
}

#[rstest]
#[case::syntax(Case { patch: "{\n \"a\": [1,\n", problem: "b.json:2: /: " })]
#[case::not_an_object(Case { patch: "[]", problem: "b.json:1: /: is not an object: " })]
#[case::empty(Case { patch: "// nothing\n", problem: "b.json:1: /: is empty: " })]
#[case::duplicate(Case {
    patch: "{\n \"limits\": {},\n \"limits\": {} }",
    problem: "b.json:3: /limits: stands twice, first in line 2: remove one of them",
})]
#[case::unknown_key(Case {
    patch: "{\n \"limits\": {\n  \"body_byte\": 1 } }",
    problem: "b.json:3: /limits/body_byte: is an unknown key: remove it or use ",
})]
#[case::unknown_section(Case {
    patch: "{\n \"acounts\": {} }",
    problem: "b.json:2: /acounts: is an unknown key: ",
})]
#[case::wrong_type(Case {
    patch: "{ \"models\": { \"small\": {\n \"price\": \"dear\" } } }",
    problem: "b.json:2: /models/small/price: invalid type: string \"dear\"",
})]
#[case::missing(Case {
    patch: "{\n \"models\": { \"new\": {\n \"price\": 1, \"versions\": {} } } }",
    problem: "b.json:2: /models/new/stable: is missing: give a value",
})]
#[case::removed_by_null(Case {
    patch: "{ \"models\": { \"small\": { \"stable\": null } } }",
    problem: "a.json:5: /models/small/stable: is missing: give a value",
})]
#[case::dangling_model(Case {
    patch: "{ \"accounts\": { \"x\": { \"key_hashes\": [],\n \"allow\": [{ \"model\": \"no\" }] } } }",
    problem: "b.json:2: /accounts/x/allow/0/model: model no does not exist: ",
})]
#[case::dangling_version(Case {
    patch: "{ \"accounts\": { \"x\": { \"key_hashes\": [],\n \
        \"allow\": [{ \"model\": \"small\", \"versions\": [\"v9\"] }] } } }",
    problem: "b.json:2: /accounts/x/allow/0/versions/0: version v9 of small does not exist: ",
})]
#[case::dangling_cascade(Case {
    patch: "{ \"accounts\": { \"x\": { \"key_hashes\": [], \"allow\": [],\n \"cascade\": \"no\" } } }",
    problem: "b.json:2: /accounts/x/cascade: cascade no does not exist: ",
})]
#[case::cascade_not_allowed(Case {
    patch: "{ \"accounts\": { \"x\": { \"key_hashes\": [], \"allow\": [{ \"model\": \"small\" }],\n \
        \"cascade\": \"drafting\" } } }",
    problem: "b.json:2: /accounts/x/cascade: cascade drafting names model large, which the account",
})]
#[case::cascade_order(Case {
    patch: "{ \"cascades\": { \"drafting\": {\n \"models\": [\"large\",\n \"small\"] } } }",
    problem: "b.json:3: /cascades/drafting/models/1: model small is cheaper than one before it: ",
})]
#[case::dangling_service(Case {
    patch: "{ \"accounts\": { \"x\": { \"key_hashes\": [], \"allow\": [], \"services\": [\"no\"] } } }",
    problem: "b.json:1: /accounts/x/services/0: service no does not exist: ",
})]
#[case::dangling_data_centre(Case {
    patch: "{ \"servers\": { \"s\": { \"address\": \"127.0.0.1:1\", \"slots\": 1,\n \
        \"data_centre\": \"no\" } } }",
    problem: "b.json:2: /servers/s/data_centre: data centre no does not exist: ",
})]
#[case::two_rollouts(Case {
    patch: "{ \"rollouts\": {\n \
        \"one\": { \"model\": \"small\", \"to\": \"v1\", \"steps\": [1], \"step_ms\": 1 },\n \
        \"two\": { \"model\": \"small\", \"to\": \"v1\", \"steps\": [1], \"step_ms\": 1 } } }",
    problem: "b.json:3: /rollouts/two/model: model small is rolled out by one too: ",
})]
#[case::steps(Case {
    patch: "{ \"rollouts\": {\n \
        \"one\": { \"model\": \"small\", \"to\": \"v1\", \"steps\": [0.5, 0.1], \"step_ms\": 1 } } }",
    problem: "b.json:2: /rollouts/one/steps: is not a growing list of parts above 0 and up to 1: ",
})]
#[case::key_hash(Case {
    patch: "{ \"accounts\": { \"x\": { \"key_hashes\": [\"secret\"], \"allow\": [] } } }",
    problem: "b.json:1: /accounts/x/key_hashes/0: is not a hash of a key: ",
})]
fn problem_names_file_line_path_and_remedy(#[case] case: Case) {
    let found = problems(&[source("a.json", BASE), source("b.json", case.patch)]);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].starts_with(case.problem), "{found:#?}");
}

#[test]
fn every_problem_is_listed() {
    let patch = r#"{ "limits": { "x": 1, "body_bytes": "y" }, "z": 0, "models": { "small": 7 } }"#;
    let found = problems(&[source("a.json", BASE), source("b.json", patch)]);
    assert_eq!(found.len(), 4, "{found:#?}");
    let broken = [source("a.json", "{"), source("b.json", "{"), source("c.json", "{}")];
    assert_eq!(problems(&broken).len(), 2, "each broken file is named");
    assert_eq!(problems(&[source("a.json", BASE)]), Vec::<String>::new());
}

#[test]
fn key_of_two_accounts_is_a_problem() {
    let hash = hawthornmount_core::config::key_hash("key");
    let account = json!({ "key_hashes": [hash], "allow": [] });
    let value = json!({ "accounts": { "x": account, "y": account } });
    let found = problems(&[source("a.json", &value.to_string())]);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains("/accounts/y/key_hashes/0: stands at /accounts/x"), "{found:#?}");
}

#[test]
fn origins_name_the_last_file_that_set_a_value() {
    let patch = "{\n \"models\": { \"small\": { \"price\": 2 } } }";
    let merged = Merged::new(&[source("a.json", BASE), source("b.json", patch)]).expect("valid");
    let origins = merged.origins();
    let location = |pointer: &str| {
        let origin = origins.iter().find(|origin| origin.pointer == pointer).expect("a value");
        format!("{}:{}", origin.location.file, origin.location.line)
    };
    assert_eq!(location("/models/small/price"), "b.json:2");
    assert_eq!(location("/models/large/price"), "a.json:6");
}

#[test]
fn files_merge_in_byte_order_and_hidden_or_other_files_are_ignored() {
    let folder = std::env::temp_dir().join(format!("hawthornmount-merge-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("created");
    let files = [
        ("B.json", 1),
        ("a.jsonc", 2),
        ("10.json", 3),
        ("9.json5", 4),
        (".b.json", 5),
        ("b.json~", 6),
        ("b.json.bak", 7),
        ("notes.txt", 8),
    ];
    for (name, number) in files {
        let text = format!("{{ \"limits\": {{ \"body_bytes\": {number}, }} }} // end");
        fs::write(folder.join(name), text).expect("written");
    }
    let names: Vec<_> =
        merge::read_sources(&folder).expect("read").into_iter().map(|s| s.name).collect();
    let config = merge::load_folder(&folder);
    fs::remove_dir_all(&folder).expect("removed");
    assert_eq!(
        names.iter().map(|name| &**name).collect::<Vec<_>>(),
        ["10.json", "9.json5", "B.json", "a.jsonc"]
    );
    assert_eq!(config.expect("valid").limits.body_bytes, 2);
}

/// Generates JSON values, with keys and strings that need escaping in a JSON pointer.
fn values() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i32>().prop_map(Value::from),
        "[a-c~/\"\\\\é]{0,3}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 40, 4, |inner| {
        prop_oneof![collection::vec(inner.clone(), 0..4).prop_map(Value::from), objects_of(inner),]
    })
}

fn objects_of(inner: impl Strategy<Value = Value>) -> impl Strategy<Value = Value> {
    let keys = "[a-c~/]{1,2}";
    collection::btree_map(keys, inner, 0..4)
        .prop_map(|members| Value::Object(members.into_iter().collect()))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merge_matches_the_json_patch_library(files in collection::vec(objects_of(values()), 0..5)) {
        let sources: Vec<Source> = files
            .iter()
            .enumerate()
            .map(|(at, file)| source(&format!("{at}.json"), &format!("{file:#}")))
            .collect();
        let mut expected = json!({});
        for file in &files {
            json_patch::merge(&mut expected, file);
        }
        prop_assert_eq!(merge::merge_sources(&sources).expect("valid JSON"), expected);
    }
}
