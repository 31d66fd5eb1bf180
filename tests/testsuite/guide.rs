//! Checks that the operators' guide covers every subcommand and setting of the program.

use {
    rstest::rstest,
    std::{fs, path::PathBuf, process::Command},
};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read_page(path: &str) -> String {
    fs::read_to_string(root().join("docs/operators").join(path))
        .unwrap_or_else(|error| panic!("docs/operators/{path} is missing: {error}"))
}

fn read_help(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_hawthornmount"))
        .args(arguments)
        .arg("--help")
        .output()
        .expect("the program runs");
    String::from_utf8(output.stdout).expect("help is text")
}

#[test]
fn every_command_has_a_page() {
    let help = read_help(&[]);
    let indented = help.lines().filter_map(|line| line.strip_prefix("  "));
    let names: Vec<&str> = indented
        .filter(|line| !line.starts_with('-') && !line.starts_with("hawthornmount"))
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    assert!(names.contains(&"serve"), "{names:?}");
    for name in names {
        assert!(read_page(&format!("commands/{name}.md")).contains(&format!("{name} --help")));
        assert!(read_page("commands/README.md").contains(&format!("]({name}.md)")));
    }
}

#[test]
fn every_setting_has_a_page() {
    let example =
        fs::read_to_string(root().join("examples/settings.jsonc")).expect("the example exists");
    let error = hawthornmount_core::settings::Settings::parse("{\"no-such\": 1}");
    let text = format!("{:?}", error.expect_err("an unknown setting is refused"));
    let known = text.split_once("use one of ").expect("the known settings are listed").1;
    let known = known.split('"').next().unwrap_or_default();
    let names: Vec<&str> = known.split('`').skip(1).step_by(2).collect();
    assert!(names.len() > 10, "{names:?}");
    for name in names {
        assert!(read_page(&format!("settings/{name}.md")).contains("Default: "));
        assert!(read_page("settings/README.md").contains(&format!("]({name}.md)")));
    }
    hawthornmount_core::settings::Settings::parse(&example).expect("the example is valid");
}

#[test]
fn every_setting_of_a_gateway_has_a_page() {
    let example =
        fs::read_to_string(root().join("examples/gateway.jsonc")).expect("the example exists");
    let names: Vec<&str> =
        example.lines().filter_map(|line| line.strip_prefix("  \"")?.split('"').next()).collect();
    assert!(names.len() > 10, "{names:?}");
    for name in names {
        assert!(read_page(&format!("gateway-settings/{name}.md")).contains("Default: "));
        assert!(read_page("gateway-settings/README.md").contains(&format!("]({name}.md)")));
    }
}

struct Case {
    page: &'static str,
    code: i32,
}

#[rstest]
#[case::config(Case { page: "commands/config.md", code: 0 })]
fn example_of_a_page_runs(#[case] case: Case) {
    let text = read_page(case.page);
    let example = text.lines().find_map(|line| line.strip_prefix("    hawthornmount "));
    let arguments = example.expect("the page has an example").split(' ');
    let status = Command::new(env!("CARGO_BIN_EXE_hawthornmount"))
        .args(arguments)
        .current_dir(root())
        .status()
        .expect("the program runs");
    assert_eq!(status.code(), Some(case.code));
}
