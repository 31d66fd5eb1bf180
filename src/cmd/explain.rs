//! `explain` subcommand: shows the decisions and attempts of one request.

use {
    super::{Error, Result, admin, print_help_if_requested, reject_remaining},
    hawthornmount_entry::admin::Explanation,
    pico_args::Arguments,
    std::{fmt::Write, process::ExitCode},
};

const HELP: &str = "\
Usage: hawthornmount explain REQUEST-ID --admin ADDRESS [--json]

Options:
  --admin ADDRESS  Operators' interface of any instance
  --json           Show JSON
  -h, --help       Show help

Example:
  hawthornmount explain req-0123 --admin 127.0.0.1:9100
";

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if print_help_if_requested(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let json = arguments.contains("--json");
    let address = admin::address(&mut arguments)?;
    let request: String = arguments.free_from_str().map_err(Error::usage)?;
    reject_remaining(arguments, &["--admin", "--json", "--help"])?;
    let path = format!("/explain/{request}");
    if json {
        return admin::print_body(address, &path);
    }
    admin::print_rendered(address, &path, |body| {
        let explanation: Explanation =
            serde_json::from_slice(body).map_err(Error::failed("the answer can't be read"))?;
        Ok(render(&explanation))
    })
}

fn render(explanation: &Explanation) -> String {
    let trace = &explanation.trace;
    let mut text = String::new();
    let _ = writeln!(text, "request   {}", trace.request);
    let _ = writeln!(text, "instance  {}", explanation.instance);
    let _ = writeln!(text, "account   {}", trace.account);
    let _ = writeln!(text, "revision  {}", trace.revision);
    for step in &trace.steps {
        let _ = writeln!(text, "decision  {step}");
    }
    for attempt in &trace.attempts {
        let reason =
            attempt.reason.as_ref().map_or_else(String::new, |why| format!(", after {why}"));
        let _ = writeln!(
            text,
            "attempt   {}@{} at {}{reason}: {} in {} ms",
            attempt.model, attempt.version, attempt.server, attempt.outcome, attempt.ms
        );
    }
    let rating = trace.rating.map_or_else(|| "none".to_owned(), |rating| format!("{rating:.2}"));
    let _ = writeln!(text, "outcome   {}", trace.outcome);
    let _ = writeln!(text, "rating    {rating}");
    let _ = writeln!(text, "cost      {} micro-units", trace.cost);
    let _ = writeln!(text, "billed    {} micro-units", trace.billed);
    text
}
