//! The command line of the tool.

use std::path::PathBuf;
use std::process::ExitCode;

use kingcuploft_platform::manifest_root::Applied;
use kingcuploftctl::apply;
use lexopt::prelude::*;

const HELP: &str = "\
kingcuploftctl: the operators' tool

Usage: kingcuploftctl --platform HOST:PORT manifest apply FILE

Exit codes: 0 done, 1 nothing was written, 2 wrong usage or manifest, 3 lost a race, 4 not known.
";

fn main() -> ExitCode {
    match parse() {
        Ok(Some((platform, file))) => run(&platform, &file),
        Ok(None) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("kingcuploftctl: {error}\n\n{HELP}");
            ExitCode::from(2)
        }
    }
}

fn parse() -> Result<Option<(String, PathBuf)>, lexopt::Error> {
    let mut platform = None;
    let mut words = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("platform") => platform = Some(parser.value()?.string()?),
            Short('h') | Long("help") => return Ok(None),
            Value(word) => words.push(word),
            other => return Err(other.unexpected()),
        }
    }
    let platform = platform.ok_or("--platform HOST:PORT is missing")?;
    match &words[..] {
        [manifest, apply, file] if manifest == "manifest" && apply == "apply" => {
            Ok(Some((platform, PathBuf::from(file))))
        }
        _ => Err("the command is not known".into()),
    }
}

fn run(platform: &str, file: &std::path::Path) -> ExitCode {
    match apply::apply(platform, file) {
        Ok(Applied::Accepted(generation)) => {
            println!("accepted as generation {generation}");
            ExitCode::SUCCESS
        }
        Ok(Applied::Superseded { generation, by }) => {
            println!("accepted as generation {generation}, then replaced by {by}");
            ExitCode::SUCCESS
        }
        Ok(Applied::Lost { generation, .. }) => {
            eprintln!("not accepted: another apply came first, with generation {generation}");
            ExitCode::from(3)
        }
        Ok(Applied::Unknown(why)) => {
            eprintln!("not known whether it was accepted: {why}");
            ExitCode::from(4)
        }
        Err(error @ apply::ApplyError::Store(_)) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
