//! The command line of an entry VM's program.

use std::path::PathBuf;

use lexopt::prelude::*;

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Run with this settings file, and log from this level on.
    Run(PathBuf, tracing::Level),
    /// Check this settings file and end.
    Check(PathBuf),
    /// Print this text and end.
    Print(String),
}

/// Parses the command line of the process. `path` is the settings file where no option names one, `help` the text of
/// `--help`, `version` that of `--version`.
///
/// # Errors
///
/// Returns an error that names the option that can't be used.
pub fn parse(mut path: PathBuf, help: &str, version: &str) -> Result<Command, lexopt::Error> {
    let (mut check, mut level) = (false, tracing::Level::INFO);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => path = parser.value()?.into(),
            Long("check") => check = true,
            Long("log") => level = parser.value()?.parse()?,
            Long("version") => return Ok(Command::Print(format!("{version}\n"))),
            Short('h') | Long("help") => return Ok(Command::Print(help.into())),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(match check {
        true => Command::Check(path),
        false => Command::Run(path, level),
    })
}
