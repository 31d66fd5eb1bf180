//! `usage` subcommand: shows the total usage of an account.

use {
    super::{Error, Result, admin, print_help_if_requested, reject_remaining},
    pico_args::Arguments,
    std::process::ExitCode,
};

const HELP: &str = "\
Usage: hawthornmount usage --account ACCOUNT --admin ADDRESS

Options:
  --admin ADDRESS  Operators' interface of any instance
  -h, --help       Show help

Example:
  hawthornmount usage --account municipal --admin 127.0.0.1:9100
";

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if print_help_if_requested(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let address = admin::address(&mut arguments)?;
    let account: String = arguments.value_from_str("--account").map_err(Error::usage)?;
    reject_remaining(arguments, &["--account", "--admin", "--help"])?;
    admin::print_body(address, &format!("/usage/{account}"))
}
