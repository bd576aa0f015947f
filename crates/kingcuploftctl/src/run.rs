//! Runs the command of a parsed command line.

use crate::args::{Args, Command};
use crate::context::Context;
use crate::exit::Outcome;
use crate::{apply, claim, diff, drain, explain, help, list, manifest, status, trace};

/// Runs a command and returns its outcome.
pub fn run(args: &Args) -> Outcome {
    let context = Context::new(args);
    let ended = match &args.command {
        Command::Help => Ok(Outcome::success(help::HELP)),
        Command::Version => {
            let version = env!("CARGO_PKG_VERSION");
            Ok(Outcome::success(format!("kingcuploftctl {version}\n")))
        }
        Command::Check(file) => manifest::check(&context, file),
        Command::Apply(apply) => apply::apply(&context, apply),
        Command::Show(generation) => manifest::show(&context, *generation),
        Command::History => manifest::history(&context),
        Command::DiffFile(file) => diff::with_file(&context, file),
        Command::Diff(from, to) => diff::between(&context, *from, *to),
        Command::Status => status::status(&context),
        Command::Explain(wanted) => explain::explain(&context, wanted),
        Command::Services => list::services(&context),
        Command::BackendServers(service) => list::backend_servers(&context, service.as_deref()),
        Command::Drain(service, server) => drain::drain(&context, service, server),
        Command::Claim(service, key) => claim::show(&context, service, key),
        Command::Trace(request, files) => trace::trace(request, files),
    };
    ended.unwrap_or_else(|outcome| outcome)
}
