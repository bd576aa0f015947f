//! Runs the command of a parsed command line.

use crate::args::{Args, Command};
use crate::context::Context;
use crate::exit::{Code, Outcome};
use crate::{
    apply, claim, connections, diff, drain, entry_metrics, explain, help, in_force, list, manifest,
    status, trace, workspaces,
};

/// Runs a command and returns its outcome.
pub fn run(args: &Args) -> Outcome {
    let asks_entry_vms = matches!(
        args.command,
        Command::Workspaces(_) | Command::InForce(_) | Command::Connections
    );
    if asks_entry_vms && args.vms.is_empty() {
        let why = "kingcuploftctl: --vm is needed: the metrics ports of entry VMs";
        return Outcome::failure(Code::InvalidInput, why);
    }
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
        Command::Workspaces(name) => Ok(workspaces::workspaces(
            name.as_deref(),
            &entry_metrics::fetch_all(&args.vms),
            args.json,
        )),
        Command::InForce(version) => {
            let vms = entry_metrics::fetch_all(&args.vms);
            Ok(in_force::in_force(*version, &vms, args.json))
        }
        Command::Connections => {
            let vms = entry_metrics::fetch_all(&args.vms);
            Ok(connections::connections(&vms, args.json))
        }
        Command::Trace(request, files) => trace::trace(request, files),
    };
    ended.unwrap_or_else(|outcome| outcome)
}
