//! `explain`: explains the decisions on one request.

use {
    super::{Error, Result, admin, asks_help, refuse_rest},
    pico_args::Arguments,
    std::process::ExitCode,
};

const HELP: &str = "\
Usage: hawthornmount explain REQUEST-ID --admin ADDRESS

Options:
  --admin ADDRESS  Operators' interface of any instance
  -h, --help       Show help

Example:
  hawthornmount explain req-0123 --admin 127.0.0.1:9100
";

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if asks_help(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let address = admin::address(&mut arguments)?;
    let request: String = arguments.free_from_str().map_err(Error::usage)?;
    refuse_rest(arguments, &["--admin", "--help"])?;
    admin::print(address, &format!("/explain/{request}"))
}
