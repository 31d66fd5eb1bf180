//! Exit codes and output of the program, run as a process.

use {
    rstest::rstest,
    std::process::{Command, Output},
};

struct Case {
    arguments: &'static [&'static str],
    code: i32,
    /// Text that the standard output contains.
    stdout: &'static str,
    /// Text that the standard error contains.
    stderr: &'static str,
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hawthornmount"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("the program runs")
}

#[rstest]
#[case::version(Case { arguments: &["--version"], code: 0, stdout: "hawthornmount ", stderr: "" })]
#[case::help(Case { arguments: &["--help"], code: 0, stdout: "Usage: ", stderr: "" })]
#[case::help_of_subcommand(Case {
    arguments: &["serve", "--help"],
    code: 0,
    stdout: "Usage: hawthornmount serve",
    stderr: "",
})]
#[case::unknown_subcommand(Case {
    arguments: &["serv"],
    code: 2,
    stdout: "",
    stderr: "unknown subcommand `serv`: did you mean `serve`?",
})]
#[case::unknown_flag(Case {
    arguments: &["demo", "--jsno"],
    code: 2,
    stdout: "",
    stderr: "unknown argument `--jsno`: did you mean `--json`?",
})]
#[case::bad_settings(Case {
    arguments: &["serve", "--settings", "Cargo.toml"],
    code: 2,
    stdout: "",
    stderr: "Cargo.toml: ",
})]
#[case::valid_folder(Case {
    arguments: &["config", "check", "examples/config"],
    code: 0,
    stdout: "",
    stderr: "",
})]
fn prints_the_expected_output_and_exit_code(#[case] case: Case) {
    let output = run(case.arguments);
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(case.code), "{stderr}");
    assert!(stdout.contains(case.stdout), "{stdout}");
    assert!(stderr.contains(case.stderr), "{stderr}");
    assert!(stderr.lines().count() <= 1, "{stderr}");
}
