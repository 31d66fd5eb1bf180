//! `status`: shows the state of the fleet.

use {
    super::{Result, admin, asks_help, refuse_rest},
    pico_args::Arguments,
    std::process::ExitCode,
};

const HELP: &str = "\
Usage: hawthornmount status --admin ADDRESS

Options:
  --admin ADDRESS  Operators' interface of any instance
  -h, --help       Show help

Example:
  hawthornmount status --admin 127.0.0.1:9100
";

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if asks_help(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let address = admin::address(&mut arguments)?;
    refuse_rest(arguments, &["--admin", "--help"])?;
    admin::print(address, "/status")
}
