//! The command line that runs one experiment and prints its report.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use kingcuploft_standins::experiments::{ALL, DeploymentName, Experiment, Options};
use lexopt::prelude::*;

const HELP: &str = "\
kingcuploft-experiment: measures real daemons against stand-ins on loopback

Usage: kingcuploft-experiment NAME [options]

  --seed N                   the seed of everything drawn (1)
  --seconds S                how long the load lasts, each part (5)
  --rounds N                 how often the parts are repeated, interleaved (1)
  --load L                   load as a share of what the slots can do (0.75)
  --deployment teamway|bern  the deployment of the brief (teamway)
  --plot FILE.svg            draw a plot
  --json                     the last line is one JSON object

Exit codes: 0 done, 1 a promise was broken or the experiment failed, 2 wrong usage.

Experiments:
";

struct Arguments {
    experiment: Experiment,
    options: Options,
    json: bool,
}

fn main() -> ExitCode {
    match parse() {
        Ok(Some(arguments)) => run(&arguments),
        Ok(None) => {
            print!("{HELP}");
            for experiment in ALL {
                println!("  {:<16} {}", experiment.name, experiment.description);
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("kingcuploft-experiment: {error}; try --help");
            ExitCode::from(2)
        }
    }
}

fn parse() -> Result<Option<Arguments>, lexopt::Error> {
    let mut options = Options::default();
    let mut name = None;
    let mut json = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("seconds") => options.duration = Duration::from_secs(parser.value()?.parse()?),
            Long("rounds") => options.rounds = parser.value()?.parse()?,
            Long("load") => options.load = parser.value()?.parse()?,
            Long("plot") => options.plot = Some(PathBuf::from(parser.value()?)),
            Long("deployment") => options.deployment = deployment(&parser.value()?.string()?)?,
            Long("json") => json = true,
            Short('h') | Long("help") => return Ok(None),
            Value(word) if name.is_none() => name = Some(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let Some(name) = name else {
        return Ok(None);
    };
    let experiment = ALL.iter().find(|experiment| experiment.name == name);
    let experiment = *experiment.ok_or_else(|| format!("there is no experiment `{name}`"))?;
    Ok(Some(Arguments {
        experiment,
        options,
        json,
    }))
}

fn deployment(name: &str) -> Result<DeploymentName, lexopt::Error> {
    match name {
        "teamway" => Ok(DeploymentName::Teamway),
        "bern" => Ok(DeploymentName::Bern),
        _ => Err("--deployment takes teamway or bern".into()),
    }
}

fn run(arguments: &Arguments) -> ExitCode {
    let report = match (arguments.experiment.run)(&arguments.options) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("kingcuploft-experiment: {error}");
            return ExitCode::FAILURE;
        }
    };
    if !arguments.json {
        println!("{}", report.text);
    }
    for broken in &report.violations {
        eprintln!("broken: {broken}");
    }
    if arguments.json {
        println!("{}", report.figures);
    }
    match report.violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
