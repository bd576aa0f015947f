//! The command line: runs days of a fleet in virtual time, searches for days that break a rule, and shrinks such days.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use kingcuploft_simulation::day::Day;
use kingcuploft_simulation::planted_fault::{self, PlantedFault};
use kingcuploft_simulation::rules::{self, BoundUsage, Rule};
use kingcuploft_simulation::search::{Search, SearchResult, check_day};
use kingcuploft_simulation::simulation::{self, DayResult};
use kingcuploft_simulation::{plot, shrink};
use lexopt::prelude::*;

const HELP: &str = "\
kingcuploft-simulation: a fleet of entry VMs in virtual time

Usage: kingcuploft-simulation run DAY... [--seed N] [--log FILE] [--json] [--planted FAULT]
       kingcuploft-simulation search [--deployment NAME] [--days N] [--seconds N] [--seed N] [--jobs N]
                              [--plain] [--first] [--out DIR] [--json] [--planted FAULT]
       kingcuploft-simulation shrink DAY --rule RULE [--planted FAULT]

  run      runs days and prints how near each came to the bound of each rule
  search   runs days, keeps the nearest and mutates them; writes those that break a rule, shrunk, into --out
  shrink   prints a day with the fewest disruptions that still break a rule

  --plain  only generates random days, for comparison
  --first  stops at the first day that breaks a rule

Exit codes: 0 no rule is broken, 1 one is, 2 wrong usage or days.
";

/// The command line's arguments.
#[derive(Debug, Default)]
struct Options {
    command: String,
    days: Vec<PathBuf>,
    seed: Option<u64>,
    log: Option<PathBuf>,
    json: bool,
    planted: Option<PlantedFault>,
    deployment: Option<String>,
    max_days: Option<usize>,
    seconds: Option<u64>,
    jobs: Option<usize>,
    plain: bool,
    first: bool,
    out: Option<PathBuf>,
    rule: Option<Rule>,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CliError {
    #[error("{0}\n\n{HELP}")]
    Usage(#[from] lexopt::Error),
    #[error("{0}")]
    Day(#[from] kingcuploft_simulation::day::DayError),
    #[error("{0}")]
    Run(#[from] simulation::RunError),
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
}

fn main() -> ExitCode {
    match parse()
        .map_err(CliError::from)
        .and_then(|options| dispatch(&options))
    {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("kingcuploft-simulation: {error}");
            ExitCode::from(2)
        }
    }
}

fn parse() -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Value(command) if options.command.is_empty() => options.command = command.string()?,
            Value(day) => options.days.push(day.into()),
            Long("seed") => options.seed = Some(parser.value()?.parse()?),
            Long("log") => options.log = Some(parser.value()?.into()),
            Long("json") => options.json = true,
            Long("planted") => options.planted = Some(parse_planted(&parser.value()?.string()?)?),
            Long("deployment") => options.deployment = Some(parser.value()?.string()?),
            Long("days") => options.max_days = Some(parser.value()?.parse()?),
            Long("seconds") => options.seconds = Some(parser.value()?.parse()?),
            Long("jobs") => options.jobs = Some(parser.value()?.parse()?),
            Long("plain") => options.plain = true,
            Long("first") => options.first = true,
            Long("out") => options.out = Some(parser.value()?.into()),
            Long("rule") => options.rule = Some(parse_rule(&parser.value()?.string()?)?),
            Short('h') | Long("help") => options.command = "help".into(),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(options)
}

fn parse_planted(name: &str) -> Result<PlantedFault, lexopt::Error> {
    let found = PlantedFault::ALL
        .into_iter()
        .find(|fault| format!("{fault:?}") == name);
    found.ok_or_else(|| format!("--planted: {name} is none of {:?}", PlantedFault::ALL).into())
}

fn parse_rule(name: &str) -> Result<Rule, lexopt::Error> {
    let found = Rule::ALL
        .into_iter()
        .find(|rule| format!("{rule:?}") == name);
    found.ok_or_else(|| format!("--rule: {name} is none of {:?}", Rule::ALL).into())
}

/// Runs the command; returns whether a rule is broken.
fn dispatch(options: &Options) -> Result<bool, CliError> {
    match options.command.as_str() {
        "run" => run(options),
        "search" => search(options),
        "shrink" => shrink_days(options),
        "help" => {
            print!("{HELP}");
            Ok(false)
        }
        command => Err(lexopt::Error::from(format!("unknown command {command:?}")).into()),
    }
}

fn read_day(options: &Options, path: &Path) -> Result<Day, CliError> {
    let text = std::fs::read_to_string(path).map_err(|error| CliError::File(path.into(), error))?;
    let mut day = Day::read(&path.display().to_string(), &text)?;
    day.seed = options.seed.unwrap_or(day.seed);
    Ok(day)
}

fn run(options: &Options) -> Result<bool, CliError> {
    let mut any_broken = false;
    for path in &options.days {
        let day = read_day(options, path)?;
        let result = planted_fault::run_with(options.planted, || simulation::run(&day))?;
        let usages = rules::check(&result);
        any_broken |= usages.iter().any(BoundUsage::is_broken);
        if let Some(log) = &options.log {
            let written = std::fs::write(log, &result.lines);
            written.map_err(|error| CliError::File(log.clone(), error))?;
        }
        print_result(options, path, &result, &usages);
    }
    Ok(any_broken)
}

fn print_result(options: &Options, path: &Path, result: &DayResult, usages: &[BoundUsage]) {
    let name = path.display();
    let served = rules::answered_share(result);
    let restarts = rules::restarts(result);
    if options.json {
        let json = serde_json::json!({ "day": name.to_string(), "served": served, "restarts": restarts, "rules": usages });
        return println!("{json}");
    }
    println!("{name}: served {served:.3}");
    println!(
        "  {} of {} starts ready, the last after {} ms; store calls of a VM and second: {:.2}, at most {}",
        restarts.ready,
        restarts.starts,
        restarts.last_ready_after_ms,
        restarts.store_calls_per_vm_s,
        restarts.most_store_calls_in_s
    );
    for usage in usages {
        print_bound_usage(usage);
    }
}

fn print_bound_usage(usage: &BoundUsage) {
    let verdict = match usage.is_broken() {
        true => "BROKEN",
        false => "kept",
    };
    println!(
        "  {:<22} {verdict:<6} {:>6.3}  {}",
        format!("{:?}", usage.rule),
        usage.used,
        usage.what
    );
}

fn search(options: &Options) -> Result<bool, CliError> {
    let search = Search {
        deployment: options
            .deployment
            .clone()
            .unwrap_or_else(|| "19-vms".into()),
        seed: options.seed.unwrap_or(1),
        max_days: options.max_days.unwrap_or(usize::MAX),
        time_limit: Duration::from_secs(options.seconds.unwrap_or(60)),
        jobs: options.jobs.unwrap_or(4),
        is_mutating: !options.plain,
        stops_at_first: options.first,
        planted: options.planted,
    };
    let result = search.run(|days, usage| {
        eprintln!("day {days}: {:?} {}", usage.rule, usage.what);
    });
    print_search_result(options, &result);
    if let Some(out) = &options.out {
        write_out(options, &result, out)?;
    }
    Ok(!result.broken().is_empty())
}

fn print_search_result(options: &Options, result: &SearchResult) {
    if options.json {
        let nearest = Rule::ALL
            .iter()
            .filter_map(|rule| result.nearest.get(rule)?.first());
        let nearest: Vec<_> = nearest.map(|near| &near.usage).collect();
        let first = result.first_broken_after;
        let json = serde_json::json!({ "days": result.days, "first_broken_after": first, "nearest": nearest });
        return println!("{json}");
    }
    println!(
        "{} days; first broken after {:?}",
        result.days, result.first_broken_after
    );
    let nearest = Rule::ALL
        .iter()
        .filter_map(|rule| result.nearest.get(rule)?.first());
    nearest.for_each(|near| print_bound_usage(&near.usage));
}

/// Writes the nearest day of each rule, shrunk if it breaks the rule, and a plot of the search's progress.
fn write_out(options: &Options, result: &SearchResult, out: &Path) -> Result<(), CliError> {
    let file_error = |error| CliError::File(out.into(), error);
    std::fs::create_dir_all(out).map_err(file_error)?;
    for rule in Rule::ALL {
        let Some(near) = result.nearest.get(&rule).and_then(|all| all.first()) else {
            continue;
        };
        let day = match near.usage.is_broken() {
            true => planted_fault::run_with(options.planted, || shrink::shrink(&near.day, rule)),
            false => near.day.clone(),
        };
        let file = out.join(format!("{rule:?}-{}.yaml", day.seed));
        std::fs::write(file, day.to_text()).map_err(file_error)?;
    }
    if let Err(error) = plot::draw(result, &out.join("course.svg")) {
        eprintln!("{error}");
    }
    Ok(())
}

fn shrink_days(options: &Options) -> Result<bool, CliError> {
    let Some(rule) = options.rule else {
        return Err(lexopt::Error::from("shrink needs --rule").into());
    };
    let mut any_broken = false;
    for path in &options.days {
        let day = read_day(options, path)?;
        let day = planted_fault::run_with(options.planted, || shrink::shrink(&day, rule));
        let usages = planted_fault::run_with(options.planted, || check_day(&day))?;
        any_broken |= usages
            .iter()
            .any(|usage| usage.rule == rule && usage.is_broken());
        print!("{}", day.to_text());
    }
    Ok(any_broken)
}
