//! `status`: shows the state of the fleet.

use {
    super::{Error, Result, admin, asks_help, refuse_rest},
    hawthornmount_core::id::Revision,
    hawthornmount_entry::control::status::Row,
    hawthornmount_http::client::Client,
    pico_args::Arguments,
    std::{net::SocketAddr, process::ExitCode, time::Duration},
    tokio::time::Instant,
};

const HELP: &str = "\
Usage: hawthornmount status --admin ADDRESS [--fleet | --wait REVISION [--timeout SECONDS]]

Options:
  --admin ADDRESS    Operators' interface of any instance
  --fleet            Show the configuration that each instance has in force, and its age
  --wait REVISION    Return when all reachable live instances have this revision in force
  --timeout SECONDS  Longest wait [default: 30]
  -h, --help         Show help

Example:
  hawthornmount status --admin 127.0.0.1:9100
";

const FLAGS: &[&str] = &["--admin", "--fleet", "--wait", "--timeout", "--help"];

/// Longest wait unless another is given, in seconds.
const DEFAULT_WAIT: u64 = 30;
/// Time in which the asked instance hears the others.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two looks at the fleet.
const PAUSE: Duration = Duration::from_millis(100);

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if asks_help(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let address = admin::address(&mut arguments)?;
    let fleet = arguments.contains("--fleet");
    let revision: Option<Revision> =
        arguments.opt_value_from_str("--wait").map_err(Error::usage)?;
    let seconds: Option<u64> = arguments.opt_value_from_str("--timeout").map_err(Error::usage)?;
    refuse_rest(arguments, FLAGS)?;
    match revision {
        Some(revision) => {
            let bound = Duration::from_secs(seconds.unwrap_or(DEFAULT_WAIT));
            tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .map_err(Error::failed("no runtime can be started"))?
                .block_on(wait(address, revision, bound))
        }
        None if fleet => admin::print(address, "/fleet"),
        None => admin::print(address, "/status"),
    }
}

async fn wait(address: SocketAddr, revision: Revision, bound: Duration) -> Result<ExitCode> {
    let client = Client::new();
    let deadline = Instant::now() + bound;
    loop {
        let rows: Vec<Row> = client
            .get(address, "/fleet", TIMEOUT)
            .await
            .map_err(Error::failed("the instance gives no answer"))?;
        let behind: Vec<&Row> = rows.iter().filter(|row| is_behind(row, revision)).collect();
        if behind.is_empty() {
            report_unreachable(&rows);
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= deadline {
            for row in behind {
                eprintln!("hawthornmount: {} does not have revision {revision}", row.instance);
            }
            return Ok(ExitCode::FAILURE);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Tells whether an instance answers and has an older revision in force.
fn is_behind(row: &Row, revision: Revision) -> bool {
    row.held.as_ref().is_some_and(|held| held.revision < revision)
}

fn report_unreachable(rows: &[Row]) {
    for row in rows.iter().filter(|row| row.held.is_none() && &*row.liveness != "dead") {
        eprintln!("hawthornmount: {} gave no answer; its revision is not known", row.instance);
    }
}
