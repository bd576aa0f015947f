//! The operators' command-line tool: parses the command line, runs the command, prints its outcome.

use std::borrow::Cow;
use std::io::{IsTerminal, Write};
use std::process::ExitCode;

use kingcuploftctl::exit::{Code, Outcome};
use kingcuploftctl::visible::visible;
use kingcuploftctl::{args, run};

fn main() -> ExitCode {
    let outcome = match args::parse(std::env::args_os().skip(1)) {
        Ok(args) => run::run(&args),
        Err(error) => Outcome::failure(
            Code::InvalidInput,
            format!("kingcuploftctl: {error}; see kingcuploftctl --help"),
        ),
    };
    let mut stdout = std::io::stdout();
    let out = match stdout.is_terminal() {
        true => visible(&outcome.out),
        false => Cow::Borrowed(&*outcome.out),
    };
    // A reader that closes the pipe early, such as `head`, is not an error.
    drop(stdout.write_all(out.as_bytes()));
    if !outcome.err.is_empty() {
        eprintln!("{}", visible(outcome.err.trim_end()));
    }
    ExitCode::from(outcome.code as u8)
}
