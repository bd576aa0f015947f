//! The operators' command-line tool: parses the command line, runs the command, prints its outcome.

use std::io::Write;
use std::process::ExitCode;

use kingcuploftctl::exit::{Code, Outcome};
use kingcuploftctl::{args, run};

fn main() -> ExitCode {
    let outcome = match args::parse(std::env::args_os().skip(1)) {
        Ok(args) => run::run(&args),
        Err(error) => Outcome::failure(
            Code::InvalidInput,
            format!("kingcuploftctl: {error}; see kingcuploftctl --help"),
        ),
    };
    // A reader that closes the pipe early, such as `head`, is not an error.
    drop(std::io::stdout().write_all(outcome.out.as_bytes()));
    if !outcome.err.is_empty() {
        eprintln!("{}", outcome.err.trim_end());
    }
    ExitCode::from(outcome.code as u8)
}
