//! `gateway` subcommand: forwards requests by routes on the users' platform until SIGTERM or
//! SIGINT.

use {
    super::{EXIT_USAGE, Error, Result, print_help_if_requested, reject_remaining, serve},
    crate::log,
    hawthornmount_core::clock::System,
    hawthornmount_gateway::{Instance, instance::Adapters, settings::Settings},
    hawthornmount_platform::{
        request::Headers, requirement, schema::Schema, settings_path, store::Client,
    },
    pico_args::Arguments,
    std::{path::PathBuf, process::ExitCode, sync::Arc},
    tokio::signal::unix::{SignalKind, signal},
};

const HELP: &str = "\
Usage: hawthornmount gateway [--settings FILE]

Forwards requests by routes on the users' platform. SIGTERM and SIGINT stop it gracefully; SIGHUP
checks the settings anew.

Options:
  --settings FILE  Settings in JSON with comments; without it, the file that the platform names
  -h, --help       Show help

Example:
  hawthornmount gateway --settings examples/gateway.jsonc
";

/// Runs the subcommand.
pub fn execute(mut arguments: Arguments) -> Result<ExitCode> {
    if print_help_if_requested(&mut arguments, HELP) {
        return Ok(ExitCode::SUCCESS);
    }
    let file: Option<PathBuf> = arguments.opt_value_from_str("--settings").map_err(Error::usage)?;
    reject_remaining(arguments, &["--settings", "--help"])?;
    let Some(file) = file.or_else(settings_path) else {
        return Err(Error::Usage { message: "no settings: give --settings FILE".into() });
    };
    let settings = match Settings::read(&file) {
        Ok(mut settings) => {
            settings.adaptation =
                requirement::adaptation(&settings.requirements, settings.adaptation);
            settings
        }
        Err(error) => {
            serve::print_problems(&file, &error);
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let writer = log::Writer::start(std::io::stdout())
        .map_err(Error::failed("the thread of the log can't be started"))?;
    serve::start_log(&settings.log, writer)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::failed("the main thread can't start its runtime"))?;
    runtime.block_on(run(settings, file))
}

async fn run(settings: Settings, file: PathBuf) -> Result<ExitCode> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(Error::failed("SIGTERM can't be watched"))?;
    let mut interrupt =
        signal(SignalKind::interrupt()).map_err(Error::failed("SIGINT can't be watched"))?;
    let mut reload =
        signal(SignalKind::hangup()).map_err(Error::failed("SIGHUP can't be watched"))?;
    let adapters = Adapters {
        store: Arc::new(Client::new(settings.store)),
        schema: Arc::new(Schema),
        dialect: Arc::new(Headers),
    };
    let name = settings.instance.clone();
    let instance = Instance::start(settings, Arc::new(System), adapters)
        .await
        .map_err(Error::failed("the instance can't start"))?;
    ::log::info!("started; instance={name} callers={}", instance.callers());
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => match Settings::read(&file) {
                Ok(_) => ::log::info!("settings checked; changes take effect at the next start"),
                Err(error) => ::log::warn!("invalid settings, keeping the old ones; cause={error}"),
            },
        }
    }
    ::log::info!("stopping");
    let stopped = instance.stop().await;
    ::log::info!("stopped; cut={}", stopped.interrupted);
    Ok(if stopped.interrupted == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
