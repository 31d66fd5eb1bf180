//! `status`: shows the state of the fleet.

use {
    super::{Error, Result, admin, asks_help, refuse_rest},
    hawthornmount_entry::admin::Status,
    pico_args::Arguments,
    std::{fmt::Write, process::ExitCode},
};

const HELP: &str = "\
Usage: hawthornmount status --admin ADDRESS [--json]

Options:
  --admin ADDRESS  Operators' interface of any instance
  --json           Show JSON
  -h, --help       Show help

Example:
  hawthornmount status --admin 127.0.0.1:9100
";

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if asks_help(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let json = arguments.contains("--json");
    let address = admin::address(&mut arguments)?;
    refuse_rest(arguments, &["--admin", "--json", "--help"])?;
    if json {
        return admin::print(address, "/status");
    }
    admin::show(address, "/status", |body| {
        let status: Status =
            serde_json::from_slice(body).map_err(Error::failed("the status can't be read"))?;
        Ok(text(&status))
    })
}

fn text(status: &Status) -> String {
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
    for one in &status.members {
        let _ = writeln!(
            text,
            "member     {} in {}: {}, revision {}",
            one.id, one.data_centre, one.state, one.revision
        );
    }
    for one in &status.servers {
        let loaded = one.loaded.join(" ");
        let _ = writeln!(
            text,
            "server     {} in {}: {}, {} of {} slots, {loaded}",
            one.id, one.data_centre, one.state, one.load, one.slots
        );
    }
    versions(status, &mut text);
    for one in &status.decisions {
        let _ = writeln!(text, "decision   {} {}", one.at_ms, one.what);
    }
    text
}

fn versions(status: &Status, text: &mut String) {
    for one in &status.rollouts {
        let _ = writeln!(
            text,
            "roll-out   {} of {}: {:.0}% of new sessions, {}",
            one.rollout,
            one.release,
            one.fraction * 100.0,
            one.next
        );
        for signal in &one.evidence {
            let _ = writeln!(
                text,
                "             {}: {} seen, ln e = {:.1} of {:.1}",
                signal.signal, signal.seen, signal.against, status.threshold
            );
        }
    }
    for one in &status.suspensions {
        let _ = writeln!(
            text,
            "suspended  {}@{} generation {}: {} (by {} at revision {})",
            one.key.model,
            one.key.version,
            one.key.generation,
            one.cause.text,
            one.cause.by,
            one.cause.revision
        );
    }
}
