//! `serve` subcommand: runs an entry instance until SIGTERM or SIGINT.

use {
    super::{EXIT_USAGE, Error, Result, error, print_help_if_requested, reject_remaining},
    hawthornmount_core::settings::{self, Settings},
    hawthornmount_entry::Instance,
    pico_args::Arguments,
    simplelog::{ConfigBuilder, LevelFilter, WriteLogger},
    std::{
        io::Write,
        path::{Path, PathBuf},
        process::ExitCode,
    },
    tokio::signal::unix::{SignalKind, signal},
};

const HELP: &str = "\
Usage: hawthornmount serve --settings FILE

Runs an entry instance. SIGTERM and SIGINT stop it gracefully.

Options:
  --settings FILE  Settings in JSON with comments
  -h, --help       Show help

Example:
  hawthornmount serve --settings examples/settings.jsonc
";

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if print_help_if_requested(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let file: PathBuf = arguments.value_from_str("--settings").map_err(Error::usage)?;
    reject_remaining(arguments, &["--settings", "--help"])?;
    let settings = match Settings::read(&file) {
        Ok(settings) => settings,
        Err(error) => {
            print_problems(&file, &error);
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    start_log(&settings.log, std::io::stderr())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::failed("the main thread can't start its runtime"))?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<ExitCode> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(Error::failed("SIGTERM can't be watched"))?;
    let mut interrupt =
        signal(SignalKind::interrupt()).map_err(Error::failed("SIGINT can't be watched"))?;
    let instance = Instance::start(settings).map_err(Error::failed("the instance can't start"))?;
    ::log::info!(
        "started; callers={} operators={}",
        instance.caller_address(),
        instance.operator_address()
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    ::log::info!("stopping");
    let stopped = instance.stop().await;
    ::log::info!("stopped; cut={}", stopped.interrupted);
    Ok(if stopped.interrupted == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Prints an error of the settings to standard error, one problem per line.
pub fn print_problems(file: &Path, error: &settings::Error) {
    let file = file.display();
    match error {
        settings::Error::Invalid { problems } => {
            for problem in problems {
                eprintln!("{file}: {problem}");
            }
        }
        other => eprintln!("{file}: {}", error::with_causes(other)),
    }
}

/// Starts logging to `writer` with the level named in the settings.
pub fn start_log(level: &str, writer: impl Write + Send + 'static) -> Result<()> {
    let level: LevelFilter = level.parse().map_err(|_| Error::Usage {
        message: format!("log level `{level}`: use error, warn, info, debug or trace").into(),
    })?;
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    WriteLogger::init(level, config, writer).map_err(Error::failed("the log can't be started"))
}
