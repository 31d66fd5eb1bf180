//! `status` subcommand: shows the state of the fleet or waits for a revision.

use {
    super::{Error, Result, admin, print_help_if_requested, reject_remaining},
    hawthornmount_core::id::Revision,
    hawthornmount_entry::{admin::Status, control::status::InstanceStatus},
    hawthornmount_http::client::Client,
    pico_args::Arguments,
    std::{fmt::Write, net::SocketAddr, process::ExitCode, time::Duration},
    tokio::time::Instant,
};

const HELP: &str = "\
Usage: hawthornmount status --admin ADDRESS [--json | --fleet | --wait REVISION [--timeout S]]

Options:
  --admin ADDRESS    Operators' interface of any instance
  --json             Show JSON
  --fleet            Show the configuration that each instance has in force, and its age
  --wait REVISION    Return when all reachable live instances have this revision in force
  --timeout S        Longest wait in seconds [default: 30]
  -h, --help         Show help

Example:
  hawthornmount status --admin 127.0.0.1:9100
";

const FLAGS: &[&str] = &["--admin", "--json", "--fleet", "--wait", "--timeout", "--help"];

/// Longest wait without `--timeout`.
const DEFAULT_WAIT_SECONDS: u64 = 30;
/// Time-out of a `/fleet` request, for which the instance queries all others.
const FLEET_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two `/fleet` requests.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if print_help_if_requested(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let address = admin::address(&mut arguments)?;
    let json = arguments.contains("--json");
    let fleet = arguments.contains("--fleet");
    let revision: Option<Revision> =
        arguments.opt_value_from_str("--wait").map_err(Error::usage)?;
    let seconds: Option<u64> = arguments.opt_value_from_str("--timeout").map_err(Error::usage)?;
    reject_remaining(arguments, FLAGS)?;
    match revision {
        Some(revision) => {
            let timeout = Duration::from_secs(seconds.unwrap_or(DEFAULT_WAIT_SECONDS));
            tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .map_err(Error::failed("no runtime can be started"))?
                .block_on(wait(address, revision, timeout))
        }
        None if fleet => admin::print_body(address, "/fleet"),
        None if json => admin::print_body(address, "/status"),
        None => admin::print_rendered(address, "/status", |body| {
            let status: Status =
                serde_json::from_slice(body).map_err(Error::failed("the status can't be read"))?;
            Ok(render(&status))
        }),
    }
}

async fn wait(address: SocketAddr, revision: Revision, timeout: Duration) -> Result<ExitCode> {
    let client = Client::new();
    let deadline = Instant::now() + timeout;
    loop {
        let rows: Vec<InstanceStatus> = client
            .get(address, "/fleet", FLEET_TIMEOUT)
            .await
            .map_err(Error::failed("the instance gives no answer"))?;
        let behind: Vec<&InstanceStatus> =
            rows.iter().filter(|row| is_behind(row, revision)).collect();
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
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether an instance answered and has an older revision in force.
fn is_behind(row: &InstanceStatus, revision: Revision) -> bool {
    row.config.as_ref().is_some_and(|config| config.revision < revision)
}

fn report_unreachable(rows: &[InstanceStatus]) {
    for row in rows.iter().filter(|row| row.config.is_none() && &*row.liveness != "dead") {
        eprintln!("hawthornmount: {} gave no answer; its revision is not known", row.instance);
    }
}

fn render(status: &Status) -> String {
    let mut text = String::new();
    let ready = if status.ready { "ready" } else { "not ready" };
    let store = status.store_error.as_ref().map_or("ok", |error| error);
    let holder = status.holder.as_ref().map_or("none", |holder| holder);
    let _ = writeln!(text, "instance   {} ({ready})", status.instance);
    let _ = writeln!(text, "revision   {}", status.revision);
    let _ = writeln!(text, "in flight  {}", status.in_flight);
    let _ = writeln!(text, "store      {store}");
    let _ = writeln!(text, "holder     {holder}");
    for role in &status.roles {
        let _ = writeln!(text, "role       {role}");
    }
    for member in &status.members {
        let _ = writeln!(
            text,
            "member     {} in {}: {}, revision {}",
            member.id, member.data_centre, member.state, member.revision
        );
    }
    for server in &status.servers {
        let loaded = server.loaded.join(" ");
        let _ = writeln!(
            text,
            "server     {} in {}: {}, {} of {} slots, {loaded}",
            server.id, server.data_centre, server.state, server.load, server.slots
        );
    }
    render_versions(status, &mut text);
    for decision in &status.decisions {
        let _ = writeln!(text, "decision   {} {}", decision.at_ms, decision.what);
    }
    text
}

/// Appends the roll-outs with their evidence, and the suspensions.
fn render_versions(status: &Status, text: &mut String) {
    for rollout in &status.rollouts {
        let _ = writeln!(
            text,
            "roll-out   {} of {}: {:.0}% of new sessions, {}",
            rollout.rollout,
            rollout.release,
            rollout.fraction * 100.0,
            rollout.next
        );
        for signal in &rollout.evidence {
            let _ = writeln!(
                text,
                "             {}: {} seen, ln e = {:.1} of {:.1}",
                signal.signal, signal.seen, signal.log_e_value, status.threshold
            );
        }
    }
    for suspension in &status.suspensions {
        let _ = writeln!(
            text,
            "suspended  {}@{} generation {}: {} (by {} at revision {})",
            suspension.key.model,
            suspension.key.version,
            suspension.key.generation,
            suspension.cause.text,
            suspension.cause.by,
            suspension.cause.revision
        );
    }
}
