//! The `hawthornmount` program: entry point of its command line.

mod cmd;
mod log;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::run(pico_args::Arguments::from_env())
}
