//! The command line of the tool.

use std::io::Write;
use std::process::ExitCode;

use kingcuploftctl::exit::{Code, Outcome};
use kingcuploftctl::{args, run};

fn main() -> ExitCode {
    let ending = match args::parse(std::env::args_os().skip(1)) {
        Ok(args) => run::run(&args),
        Err(error) => Outcome::failure(
            Code::InvalidInput,
            format!("kingcuploftctl: {error}; see kingcuploftctl --help"),
        ),
    };
    // A reader that closes early, such as `head`, is not a failure.
    drop(std::io::stdout().write_all(ending.out.as_bytes()));
    if !ending.err.is_empty() {
        eprintln!("{}", ending.err.trim_end());
    }
    ExitCode::from(ending.code as u8)
}
