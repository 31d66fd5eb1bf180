//! `config`: checks, merges, compares, applies and shows configuration.

use {
    super::{Error, Result, asks_help, refuse_rest},
    hawthornmount_core::{id, merge},
    hawthornmount_fleet::config,
    hawthornmount_store::etcd::Etcd,
    pico_args::Arguments,
    std::{net::SocketAddr, path::PathBuf, process::ExitCode},
};

const HELP: &str = "\
Usage: hawthornmount config check DIR
       hawthornmount config merge DIR
       hawthornmount config diff DIR --store ADDRESS
       hawthornmount config apply DIR --store ADDRESS [--base REVISION]
       hawthornmount config show --store ADDRESS
       hawthornmount config key-hash KEY

Options:
  --store ADDRESS  Address of the store's gateway
  --base REVISION  Revision that the change is based on [default: the accepted one]
  -h, --help       Show help

Example:
  hawthornmount config check examples/config
";

const ACTIONS: &[&str] = &["check", "merge", "diff", "apply", "show", "key-hash"];

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if asks_help(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let action = arguments.subcommand().map_err(Error::usage)?.unwrap_or_default();
    match action.as_str() {
        "check" => check(arguments),
        "merge" => merged(arguments),
        "diff" => in_runtime(diff(arguments)),
        "apply" => in_runtime(apply(arguments)),
        "show" => in_runtime(show(arguments)),
        "key-hash" => key_hash(arguments),
        other => Err(Error::unknown("action", other, ACTIONS)),
    }
}

fn in_runtime(future: impl Future<Output = Result<ExitCode>>) -> Result<ExitCode> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::failed("no runtime can be started"))?
        .block_on(future)
}

fn check(mut arguments: Arguments) -> Result<ExitCode> {
    let folder: PathBuf = arguments.free_from_str().map_err(Error::usage)?;
    refuse_rest(arguments, &["--help"])?;
    match merge::folder(&folder) {
        Ok(_) => Ok(ExitCode::SUCCESS),
        Err(merge::Error::Invalid { findings }) => {
            for finding in findings {
                println!("{}: {}: {}", finding.path, finding.what, finding.remedy);
            }
            Ok(ExitCode::FAILURE)
        }
        Err(error) => {
            println!("{error}");
            Ok(ExitCode::FAILURE)
        }
    }
}

fn merged(mut arguments: Arguments) -> Result<ExitCode> {
    let folder: PathBuf = arguments.free_from_str().map_err(Error::usage)?;
    refuse_rest(arguments, &["--help"])?;
    let value = merge::merge(&folder).map_err(Error::failed("the folder can't be merged"))?;
    println!("{value:#}");
    Ok(ExitCode::SUCCESS)
}

async fn diff(mut arguments: Arguments) -> Result<ExitCode> {
    let store = store(&mut arguments)?;
    let folder: PathBuf = arguments.free_from_str().map_err(Error::usage)?;
    refuse_rest(arguments, &["--store", "--help"])?;
    let wanted = merge::merge(&folder).map_err(Error::failed("the folder can't be merged"))?;
    let accepted = config::read(&store).await.map_err(Error::failed("the store can't be read"))?;
    let accepted = accepted.map(|(_, record)| record.value).unwrap_or_default();
    let same = accepted == wanted;
    if !same {
        println!("{}", serde_json::json!({ "accepted": accepted, "folder": wanted }));
    }
    Ok(if same { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn apply(mut arguments: Arguments) -> Result<ExitCode> {
    let store = store(&mut arguments)?;
    let base: Option<u64> = arguments.opt_value_from_str("--base").map_err(Error::usage)?;
    let folder: PathBuf = arguments.free_from_str().map_err(Error::usage)?;
    refuse_rest(arguments, &["--store", "--base", "--help"])?;
    let value = merge::merge(&folder).map_err(Error::failed("the folder can't be merged"))?;
    merge::from_value(value.clone()).map_err(Error::failed("the folder is not valid"))?;
    let base = match base {
        Some(base) => base,
        None => config::read(&store)
            .await
            .map_err(Error::failed("the store can't be read; nothing was changed"))?
            .map_or(0, |(revision, _)| revision),
    };
    let revision = config::apply(&store, value, base, &id::fresh("apply"))
        .await
        .map_err(Error::failed("the configuration was not accepted"))?;
    println!("{revision}");
    Ok(ExitCode::SUCCESS)
}

async fn show(mut arguments: Arguments) -> Result<ExitCode> {
    let store = store(&mut arguments)?;
    refuse_rest(arguments, &["--store", "--help"])?;
    let accepted = config::read(&store).await.map_err(Error::failed("the store can't be read"))?;
    match accepted {
        Some((revision, record)) => {
            println!("{:#}", serde_json::json!({ "revision": revision, "value": record.value }));
            Ok(ExitCode::SUCCESS)
        }
        None => {
            eprintln!("no configuration was accepted yet: run `hawthornmount config apply`");
            Ok(ExitCode::FAILURE)
        }
    }
}

fn key_hash(mut arguments: Arguments) -> Result<ExitCode> {
    let key: String = arguments.free_from_str().map_err(Error::usage)?;
    refuse_rest(arguments, &["--help"])?;
    println!("{}", hawthornmount_core::config::key_hash(&key));
    Ok(ExitCode::SUCCESS)
}

fn store(arguments: &mut Arguments) -> Result<Etcd> {
    let address: SocketAddr = arguments.value_from_str("--store").map_err(Error::usage)?;
    Ok(Etcd::new(vec![address]))
}
