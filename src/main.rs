//! Command line of hawthornmount.

mod cmd;
mod log;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::run(pico_args::Arguments::from_env())
}
