//! `usage`: sums the usage of an account.

use {
    super::{Error, Result, admin, asks_help, refuse_rest},
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
    if asks_help(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let address = admin::address(&mut arguments)?;
    let account: String = arguments.value_from_str("--account").map_err(Error::usage)?;
    refuse_rest(arguments, &["--account", "--admin", "--help"])?;
    admin::print(address, &format!("/usage/{account}"))
}
