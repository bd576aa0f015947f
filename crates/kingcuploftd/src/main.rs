//! The daemon's command line: parses the options, starts the daemon and stops it on a signal.

use std::path::PathBuf;
use std::process::ExitCode;

use kingcuploftd::daemon::Daemon;
use kingcuploftd::{logs, settings};
use lexopt::prelude::*;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

const HELP: &str = "\
kingcuploftd: the daemon of one entry VM

Usage: kingcuploftd --settings FILE [--check]

  --settings FILE  the settings, in YAML
  --check          check the settings and end
  --version        print the version
  --help           print this help

SIGTERM or SIGINT stops as planned: not ready first, then what is in flight finishes.
A second signal ends at once.

Exit codes: 0 stopped as planned, 1 could not start, 2 wrong usage or settings.
";

enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Print(String),
}

fn main() -> ExitCode {
    match parse() {
        Ok(Command::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Check(path)) => check(&path),
        Ok(Command::Run(path)) => run(&path),
        Err(error) => {
            eprintln!("kingcuploftd: {error}\n\n{HELP}");
            ExitCode::from(2)
        }
    }
}

fn parse() -> Result<Command, lexopt::Error> {
    let (mut path, mut check) = (None, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => path = Some(PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            Long("version") => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Command::Print(format!("kingcuploftd {version}\n")));
            }
            Short('h') | Long("help") => return Ok(Command::Print(HELP.into())),
            other => return Err(other.unexpected()),
        }
    }
    match (path, check) {
        (None, _) => Err("--settings FILE is missing".into()),
        (Some(path), true) => Ok(Command::Check(path)),
        (Some(path), false) => Ok(Command::Run(path)),
    }
}

fn check(path: &std::path::Path) -> ExitCode {
    match settings::read(path) {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run(path: &std::path::Path) -> ExitCode {
    let settings = match settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    logs::start(settings.log_format);
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("kingcuploftd: no signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("kingcuploftd: {error}");
            return ExitCode::FAILURE;
        }
    };
    signals.forever().next();
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            std::process::exit(1);
        }
    });
    daemon.stop();
    ExitCode::SUCCESS
}
