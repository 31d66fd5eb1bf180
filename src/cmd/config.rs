//! `config` subcommand: checks, merges, compares, applies and shows configuration.

use {
    super::{Error, Result, print_help_if_requested, reject_remaining},
    hawthornmount_core::{
        id,
        merge::{self, Merged},
    },
    hawthornmount_fleet::config::{self, ApplyError},
    hawthornmount_store::etcd::Etcd,
    pico_args::Arguments,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

const HELP: &str = "\
Usage: hawthornmount config check DIR
       hawthornmount config merge DIR [--origin]
       hawthornmount config diff DIR --store ADDRESS
       hawthornmount config apply DIR --store ADDRESS [--base REVISION]
       hawthornmount config show --store ADDRESS
       hawthornmount config key-hash KEY

Options:
  --origin         Show the file and line that set each value
  --store ADDRESS  Address of the store's gateway
  --base REVISION  Revision that the change is based on [default: the accepted one]
  -h, --help       Show help

Example:
  hawthornmount config check examples/config
";

const ACTIONS: &[&str] = &["check", "merge", "diff", "apply", "show", "key-hash"];

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if print_help_if_requested(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let action = arguments.subcommand().map_err(Error::usage)?.unwrap_or_default();
    match action.as_str() {
        "check" => check(arguments),
        "merge" => print_merged(arguments),
        "diff" => block_on(diff(arguments)),
        "apply" => block_on(apply(arguments)),
        "show" => block_on(show(arguments)),
        "key-hash" => key_hash(arguments),
        other => Err(Error::unknown_name("action", other, ACTIONS)),
    }
}

fn block_on(future: impl Future<Output = Result<ExitCode>>) -> Result<ExitCode> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::failed("no runtime can be started"))?
        .block_on(future)
}

fn check(mut arguments: Arguments) -> Result<ExitCode> {
    let folder: PathBuf = arguments.free_from_str().map_err(Error::usage)?;
    reject_remaining(arguments, &["--help"])?;
    match merge::load_folder(&folder) {
        Ok(_) => Ok(ExitCode::SUCCESS),
        Err(merge::Error::Invalid { problems }) => {
            for problem in problems {
                println!("{problem}");
            }
            Ok(ExitCode::FAILURE)
        }
        Err(error) => Err(Error::failed("the folder can't be checked")(error)),
    }
}

fn print_merged(mut arguments: Arguments) -> Result<ExitCode> {
    let origin = arguments.contains("--origin");
    let folder: PathBuf = arguments.free_from_str().map_err(Error::usage)?;
    reject_remaining(arguments, &["--origin", "--help"])?;
    let merged = merge_folder(&folder)?;
    if origin {
        for origin in merged.origins() {
            let location = &origin.location;
            println!("{}:{}: {}: {}", location.file, location.line, origin.pointer, origin.value);
        }
    } else {
        println!("{:#}", merged.value());
    }
    Ok(ExitCode::SUCCESS)
}

async fn diff(mut arguments: Arguments) -> Result<ExitCode> {
    let store = parse_store(&mut arguments)?;
    let folder: PathBuf = arguments.free_from_str().map_err(Error::usage)?;
    reject_remaining(arguments, &["--store", "--help"])?;
    let wanted = merge_folder(&folder)?.value();
    let accepted = config::read(&store).await.map_err(Error::failed("the store can't be read"))?;
    let accepted = accepted.map_or_else(|| json!({}), |(_, record)| record.value);
    let differences = merge::diff(&accepted, &wanted);
    for difference in &differences {
        println!("{difference}");
    }
    Ok(if differences.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn apply(mut arguments: Arguments) -> Result<ExitCode> {
    let store = parse_store(&mut arguments)?;
    let base: Option<u64> = arguments.opt_value_from_str("--base").map_err(Error::usage)?;
    let folder: PathBuf = arguments.free_from_str().map_err(Error::usage)?;
    reject_remaining(arguments, &["--store", "--base", "--help"])?;
    let merged = merge_folder(&folder)?;
    merged.config().map_err(Error::failed("the folder is not valid; nothing was changed"))?;
    let base = match base {
        Some(base) => base,
        None => config::read(&store)
            .await
            .map_err(Error::failed("the store can't be read; nothing was changed"))?
            .map_or(0, |(revision, _)| revision),
    };
    let wanted = merged.value();
    match config::apply(&store, wanted.clone(), base, &id::generate("apply")).await {
        Ok(revision) => {
            println!("{revision}");
            Ok(ExitCode::SUCCESS)
        }
        Err(error) => {
            if let ApplyError::Conflict { value, .. } = &error {
                print_conflict(value, &wanted);
            }
            Err(Error::failed("the configuration was not applied")(error))
        }
    }
}

/// Prints how the folder differs from the configuration that another operator applied.
fn print_conflict(accepted: &Value, wanted: &Value) {
    eprintln!("difference from the accepted configuration to the folder:");
    for difference in merge::diff(accepted, wanted) {
        eprintln!("{difference}");
    }
}

async fn show(mut arguments: Arguments) -> Result<ExitCode> {
    let store = parse_store(&mut arguments)?;
    reject_remaining(arguments, &["--store", "--help"])?;
    let accepted = config::read(&store).await.map_err(Error::failed("the store can't be read"))?;
    match accepted {
        Some((revision, record)) => {
            let output = json!({
                "revision": revision,
                "apply_id": record.apply_id,
                "history": record.history,
                "value": record.value,
            });
            println!("{output:#}");
            Ok(ExitCode::SUCCESS)
        }
        None => {
            eprintln!("no configuration was accepted yet: run `hawthornmount config apply`");
            Ok(ExitCode::FAILURE)
        }
    }
}

fn merge_folder(folder: &Path) -> Result<Merged> {
    merge::read_sources(folder)
        .and_then(|sources| Merged::new(&sources))
        .map_err(Error::failed("the folder can't be merged"))
}

fn key_hash(mut arguments: Arguments) -> Result<ExitCode> {
    let key: String = arguments.free_from_str().map_err(Error::usage)?;
    reject_remaining(arguments, &["--help"])?;
    println!("{}", hawthornmount_core::config::key_hash(&key));
    Ok(ExitCode::SUCCESS)
}

fn parse_store(arguments: &mut Arguments) -> Result<Etcd> {
    let address: SocketAddr = arguments.value_from_str("--store").map_err(Error::usage)?;
    Ok(Etcd::new(vec![address]))
}
