//! `demo` subcommand: runs entry instances, stand-in servers and a mixed load on loopback.

use {
    super::{Error, Result, print_help_if_requested, reject_remaining},
    hawthornmount_demo::{check, deployment::Deployment, load, report::Report},
    pico_args::Arguments,
    std::{
        io::{IsTerminal, Write},
        process::ExitCode,
    },
};

const HELP: &str = "\
Usage: hawthornmount demo [OPTIONS]

Starts stand-ins of the platform and of backend servers, and entry instances in two data
centres; publishes the example folder, sends a mixed load and checks what came of it.

Options:
  --requests N  Requests to send [default: 600]
  --seed N      Seed of the load [default: 1]
  --json        Print one JSON object
  --keep        Leave everything up and print curl lines
  -h, --help    Show help

Example:
  hawthornmount demo --keep
";

/// Requests that are sent without `--requests`.
const DEFAULT_REQUESTS: usize = 600;
/// Seed of the load without `--seed`.
const DEFAULT_SEED: u64 = 1;

struct Options {
    requests: usize,
    seed: u64,
    json: bool,
    keep: bool,
}

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if print_help_if_requested(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let requests = arguments.opt_value_from_str("--requests").map_err(Error::usage)?;
    let seed = arguments.opt_value_from_str("--seed").map_err(Error::usage)?;
    let options = Options {
        requests: requests.unwrap_or(DEFAULT_REQUESTS),
        seed: seed.unwrap_or(DEFAULT_SEED),
        json: arguments.contains("--json"),
        keep: arguments.contains("--keep"),
    };
    reject_remaining(arguments, &["--requests", "--seed", "--json", "--keep", "--help"])?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(Error::failed("no runtime can be started"))?
        .block_on(demo(&options))
}

async fn demo(options: &Options) -> Result<ExitCode> {
    let deployment = Deployment::start().await.map_err(Error::failed("the demo can't start"))?;
    let report_progress = progress_printer(options);
    let results =
        load::run(&deployment.callers(), options.requests, options.seed, report_progress).await;
    let checks = check::all(&deployment, &results).await;
    let report = Report::new(&deployment, &results, checks).await;
    if options.json {
        let text = serde_json::to_string(&report)
            .map_err(Error::failed("the report can't be written as JSON"))?;
        println!("{text}");
    } else {
        print!("{report}");
    }
    if options.keep {
        print_examples_and_wait(&deployment).await;
    }
    Ok(if report.passes() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns a callback that prints the progress to standard error if that is a terminal.
fn progress_printer(options: &Options) -> impl FnMut(usize) + use<> {
    let total = options.requests;
    let is_terminal = std::io::stderr().is_terminal();
    move |completed| {
        if is_terminal {
            let end = if completed == total { "\n" } else { "" };
            eprint!("\r{completed} of {total} requests{end}");
            let _ = std::io::stderr().flush();
        }
    }
}

/// Prints example requests and waits for Ctrl-C.
async fn print_examples_and_wait(deployment: &Deployment) {
    let callers = deployment.callers()[0];
    let operators = deployment.instances[0].operator_address();
    println!(
        "\ncurl -s http://{callers}/v1/models -H 'Authorization: Bearer demo-municipal'\n\
         curl -sN http://{callers}/v1/chat/completions -H 'Authorization: Bearer demo-municipal' \
         -d '{{\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}],\"stream\":true}}'\n\
         curl -s http://{operators}/status\n\nPress Ctrl-C to stop."
    );
    let _ = tokio::signal::ctrl_c().await;
}
