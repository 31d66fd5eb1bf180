//! Command-line interface that lists, runs and compares the experiments.

use {
    hawthornmount_bench::{
        compare,
        experiment::{self, Options},
        usage,
    },
    pico_args::Arguments,
    std::{error::Error, path::PathBuf, process::ExitCode, time::Duration},
};

const HELP: &str = "\
Usage: hawthornmount-bench list
       hawthornmount-bench run NAME --seed N [--json] [--plot FILE.svg] [--duration S]
       hawthornmount-bench compare A.json B.json
";

fn main() -> ExitCode {
    match dispatch(Arguments::from_env()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("hawthornmount-bench: {error}");
            ExitCode::from(2)
        }
    }
}

fn dispatch(mut arguments: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    match arguments.subcommand()?.as_deref() {
        Some("list") => list(),
        Some("run") => run(arguments),
        Some("compare") => compare_files(arguments),
        _ => Err(HELP.into()),
    }
}

fn list() -> Result<ExitCode, Box<dyn Error>> {
    for experiment in experiment::ALL {
        println!("{:<20} {}", experiment.name, experiment.summary);
    }
    Ok(ExitCode::SUCCESS)
}

fn run(mut arguments: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    let json = arguments.contains("--json");
    let plot: Option<PathBuf> = arguments.opt_value_from_str("--plot")?;
    let duration_s: Option<u64> = arguments.opt_value_from_str("--duration")?;
    let seed = arguments.value_from_str("--seed")?;
    let name: String = arguments.free_from_str()?;
    reject_unknown(arguments)?;
    let experiment = experiment::find(&name)
        .ok_or_else(|| format!("no experiment {name}: see `hawthornmount-bench list`"))?;
    usage::enforce_memory_limit();
    let report = (experiment.run)(Options { seed, duration: duration_s.map(Duration::from_secs) })?;
    if let (Some(file), Some(plot)) = (plot, &report.plot) {
        plot.draw(&file)?;
    }
    if json {
        println!("{}", serde_json::to_string(&report.outcome)?);
    } else {
        print!("{}", report.outcome);
    }
    Ok(if report.outcome.pass { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn compare_files(mut arguments: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    let first: PathBuf = arguments.free_from_str()?;
    let second: PathBuf = arguments.free_from_str()?;
    reject_unknown(arguments)?;
    for ratio in compare::compare(&compare::read(&first)?, &compare::read(&second)?) {
        println!("{ratio}");
    }
    Ok(ExitCode::SUCCESS)
}

fn reject_unknown(arguments: Arguments) -> Result<(), Box<dyn Error>> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(argument) => {
            Err(format!("unknown argument {}: see --help", argument.display()).into())
        }
    }
}
