//! Parses the command line.

use std::ffi::OsString;
use std::path::PathBuf;

use kingcuploft::world::ids::Generation;
use lexopt::prelude::*;

/// A parsed command line.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Args {
    /// The address of the platform's object API.
    pub platform: Option<String>,
    /// The addresses of VMs' admin ports.
    pub vms: Vec<String>,
    /// The admin port number of every VM in the platform's list.
    pub admin_port: Option<u16>,
    /// The file with the bearer token.
    pub token: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
    /// The command.
    pub command: Command,
}

/// A command.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Command {
    /// Print the help.
    #[default]
    Help,
    /// Print the version.
    Version,
    /// Check a manifest.
    Check(PathBuf),
    /// Apply a manifest.
    Apply(ApplyArgs),
    /// Print a manifest: the accepted one, or an earlier generation.
    Show(Option<Generation>),
    /// Print the history of applied manifests.
    History,
    /// Compare the accepted manifest with a file.
    DiffFile(PathBuf),
    /// Compare two generations.
    Diff(Generation, Generation),
    /// Print the state of each VM.
    Status,
    /// Print the latest matching decisions.
    Explain(ExplainArgs),
    /// Print the services.
    Services,
    /// Print the backend servers, of one service or all.
    BackendServers(Option<String>),
    /// Stop new requests to a backend server.
    Drain(String, String),
    /// Print the ledger's entry of a protected action.
    Claim(String, String),
    /// Print the requests of one workspace, or of all, summed over entry VMs.
    Workspaces(Option<String>),
    /// Print where a version of the configuration, or the newest, is not in force yet.
    InForce(Option<u64>),
    /// Print who holds the descriptors of entry VMs.
    Connections,
    /// Print a request's history, from log files or standard input.
    Trace(String, Vec<PathBuf>),
}

/// How to apply a manifest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ApplyArgs {
    /// The manifest.
    pub file: PathBuf,
    /// The generation that must be the accepted one.
    pub base: Option<Generation>,
    /// The generation above which to number, after the store was reset.
    pub above: Generation,
    /// Whether to repair unchanged service objects too.
    pub verify: bool,
    /// Who applies it.
    pub author: Option<String>,
}

/// Which decisions to print.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExplainArgs {
    /// Of this service.
    pub service: Option<String>,
    /// For this reason.
    pub reason: Option<String>,
    /// Of this request.
    pub request: Option<String>,
}

/// The options that only some commands accept.
#[derive(Default)]
struct CommandOptions {
    apply: ApplyArgs,
    explain: ExplainArgs,
    generation: Option<Generation>,
    from: Option<Generation>,
    to: Option<Generation>,
    given: Vec<&'static str>,
}

/// Parses the command line, without the program's name.
///
/// # Errors
///
/// Returns what is wrong with it.
pub fn parse(words: impl IntoIterator<Item = OsString>) -> Result<Args, lexopt::Error> {
    let mut args = Args::default();
    let mut options = CommandOptions::default();
    let mut command = Vec::new();
    let mut parser = lexopt::Parser::from_args(words);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("platform") => args.platform = Some(parser.value()?.string()?),
            Long("vm") => {
                let list = parser.value()?.string()?;
                args.vms.extend(list.split(',').map(str::to_owned));
            }
            Long("admin-port") => args.admin_port = Some(parser.value()?.parse()?),
            Long("token") => args.token = Some(parser.value()?.into()),
            Long("json") => args.json = true,
            Short('h') | Long("help") => return Ok(Args::default()),
            Long("version") => {
                args.command = Command::Version;
                return Ok(args);
            }
            Long(name) => {
                let name = name.to_owned();
                options.parse_option(&name, &mut parser)?;
            }
            Value(word) => command.push(word.string()?),
            other @ Short(_) => return Err(other.unexpected()),
        }
    }
    let words: Vec<&str> = command.iter().map(String::as_str).collect();
    args.command = options.command(&words)?;
    Ok(args)
}

impl CommandOptions {
    fn parse_option(
        &mut self,
        name: &str,
        parser: &mut lexopt::Parser,
    ) -> Result<(), lexopt::Error> {
        let given = match name {
            "base" => {
                self.apply.base = Some(parser.value()?.parse()?);
                "base"
            }
            "above" => {
                self.apply.above = parser.value()?.parse()?;
                "above"
            }
            "verify" => {
                self.apply.verify = true;
                "verify"
            }
            "author" => {
                self.apply.author = Some(parser.value()?.string()?);
                "author"
            }
            "generation" => {
                self.generation = Some(parser.value()?.parse()?);
                "generation"
            }
            "from" => {
                self.from = Some(parser.value()?.parse()?);
                "from"
            }
            "to" => {
                self.to = Some(parser.value()?.parse()?);
                "to"
            }
            "service" => {
                self.explain.service = Some(parser.value()?.string()?);
                "service"
            }
            "reason" => {
                self.explain.reason = Some(parser.value()?.string()?);
                "reason"
            }
            "request" => {
                self.explain.request = Some(parser.value()?.string()?);
                "request"
            }
            _ => return Err(format!("the option --{name} is not known").into()),
        };
        self.given.push(given);
        Ok(())
    }

    /// Returns the command; rejects options that the command does not accept.
    fn command(mut self, words: &[&str]) -> Result<Command, lexopt::Error> {
        let (command, known): (_, &[&str]) = match *words {
            ["manifest", "check", file] => (Command::Check(file.into()), &[]),
            ["manifest", "apply", file] => {
                self.apply.file = file.into();
                let known = &["base", "above", "verify", "author"];
                (Command::Apply(std::mem::take(&mut self.apply)), known)
            }
            ["manifest", "show"] => (Command::Show(self.generation), &["generation"]),
            ["manifest", "history"] => (Command::History, &[]),
            ["manifest", "diff", file] => (Command::DiffFile(file.into()), &[]),
            ["manifest", "diff"] => match (self.from, self.to) {
                (Some(from), Some(to)) => (Command::Diff(from, to), &["from", "to"]),
                _ => return Err("a FILE, or --from and --to, is needed".into()),
            },
            ["status"] => (Command::Status, &[]),
            ["explain"] => {
                let known = &["service", "reason", "request"];
                (Command::Explain(std::mem::take(&mut self.explain)), known)
            }
            ["service", "list"] => (Command::Services, &[]),
            ["backend-server", "list"] => (Command::BackendServers(None), &[]),
            ["backend-server", "list", service] => {
                (Command::BackendServers(Some(service.into())), &[])
            }
            ["drain", service, server] => (Command::Drain(service.into(), server.into()), &[]),
            ["claim", "show", service, key] => (Command::Claim(service.into(), key.into()), &[]),
            ["workspaces"] => (Command::Workspaces(None), &[]),
            ["workspaces", name] => (Command::Workspaces(Some(name.into())), &[]),
            ["in-force"] => (Command::InForce(None), &[]),
            ["in-force", version] => {
                let digits = version.strip_prefix('r').unwrap_or(version);
                let version = digits.parse();
                let version = version.map_err(|_| format!("`{digits}` is no version"))?;
                (Command::InForce(Some(version)), &[])
            }
            ["connections"] => (Command::Connections, &[]),
            ["trace", request, ref files @ ..] => {
                let files = files.iter().map(PathBuf::from).collect();
                (Command::Trace(request.into(), files), &[])
            }
            [] => return Err("a command is needed".into()),
            _ => return Err(format!("the command `{}` is not known", words.join(" ")).into()),
        };
        match self.given.iter().find(|given| !known.contains(given)) {
            Some(given) => Err(format!("--{given} does not belong to this command").into()),
            None => Ok(command),
        }
    }
}
