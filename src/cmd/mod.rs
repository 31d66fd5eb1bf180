//! Subcommands, one module each, and the code that they share.

mod admin;
mod config;
mod demo;
mod error;
mod explain;
mod gateway;
mod serve;
mod status;
mod usage;

pub use error::{Error, Result};

use {pico_args::Arguments, std::process::ExitCode};

struct Command {
    name: &'static str,
    summary: &'static str,
    execute: fn(Arguments) -> Result<ExitCode>,
}

const COMMANDS: &[Command] = &[
    Command { name: "demo", summary: "Run the whole product on loopback", execute: demo::execute },
    Command { name: "serve", summary: "Run an entry instance", execute: serve::execute },
    Command { name: "gateway", summary: "Forward requests by routes", execute: gateway::execute },
    Command { name: "config", summary: "Check and apply configuration", execute: config::execute },
    Command { name: "status", summary: "Show the state of the fleet", execute: status::execute },
    Command { name: "explain", summary: "Explain one request", execute: explain::execute },
    Command { name: "usage", summary: "Sum the usage of an account", execute: usage::execute },
];

/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

/// Runs the subcommand named in `arguments`, prints its error and returns the exit code.
pub fn run(mut arguments: Arguments) -> ExitCode {
    if arguments.contains("--version") {
        println!("hawthornmount {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match dispatch(arguments) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("hawthornmount: {}", error::with_causes(&error));
            ExitCode::from(error.exit_code())
        }
    }
}

fn dispatch(mut arguments: Arguments) -> Result<ExitCode> {
    let name = arguments.subcommand().map_err(Error::usage)?;
    let Some(name) = name else {
        if arguments.contains(["-h", "--help"]) {
            print!("{}", help());
            return Ok(ExitCode::SUCCESS);
        }
        return Err(Error::Usage { message: "no subcommand: see `hawthornmount --help`".into() });
    };
    match COMMANDS.iter().find(|command| command.name == name) {
        Some(command) => (command.execute)(arguments),
        None => {
            let names: Vec<&str> = COMMANDS.iter().map(|command| command.name).collect();
            Err(Error::unknown_name("subcommand", &name, &names))
        }
    }
}

fn help() -> String {
    let mut text = "Usage: hawthornmount SUBCOMMAND [OPTIONS]\n\nSubcommands:\n".to_owned();
    for command in COMMANDS {
        text.push_str(&format!("  {:<9} {}\n", command.name, command.summary));
    }
    text.push_str("\nOptions:\n  -h, --help  Show help\n  --version   Show the version\n");
    text.push_str("\nExamples:\n  hawthornmount demo\n  hawthornmount serve --settings FILE\n");
    text
}

/// Prints `help` and returns true if `arguments` contain `-h` or `--help`.
fn print_help_if_requested(arguments: &mut Arguments, help: &str) -> bool {
    let requested = arguments.contains(["-h", "--help"]);
    if requested {
        print!("{help}");
    }
    requested
}

/// Returns an error if arguments are left over; it suggests the most similar of `flags`.
fn reject_remaining(arguments: Arguments, flags: &[&str]) -> Result<()> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(argument) => Err(Error::unknown_name("argument", &argument.to_string_lossy(), flags)),
    }
}
