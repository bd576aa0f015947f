//! The command line: runs days of a fleet in virtual time, searches for days that break a rule, and shrinks such days.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use kingcuploft_simulation::day::Day;
use kingcuploft_simulation::planted_fault::{self, Planted};
use kingcuploft_simulation::rules::{self, BoundUsage, Rule};
use kingcuploft_simulation::search::{Search, SearchResult, check_day};
use kingcuploft_simulation::{plot, shrink, simulation};
use lexopt::prelude::*;

const HELP: &str = "\
kingcuploft-simulation: a fleet of entry VMs in virtual time

Usage: kingcuploft-simulation run DAY... [--seed N] [--log FILE] [--json] [--planted FAULT]
       kingcuploft-simulation search [--deployment NAME] [--days N] [--seconds N] [--seed N] [--jobs N]
                              [--plain] [--first] [--out DIR] [--json] [--planted FAULT]
       kingcuploft-simulation shrink DAY --rule RULE [--planted FAULT]

  run      plays days and tells how near each came to the bound of each rule
  search   plays days, keeps the nearest, changes them; writes those that break a rule, shrunk, into --out
  shrink   prints a day with the fewest disruptions that still break a rule

  --plain  only draws days, to compare
  --first  ends with the first day that breaks a rule

Exit codes: 0 no rule is broken, 1 one is, 2 wrong usage or days.
";

/// The command line's arguments.
#[derive(Debug, Default)]
struct Options {
    verb: String,
    days: Vec<PathBuf>,
    seed: Option<u64>,
    log: Option<PathBuf>,
    json: bool,
    planted: Option<Planted>,
    deployment: Option<String>,
    most_days: Option<usize>,
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
    Play(#[from] simulation::RunError),
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
}

fn main() -> ExitCode {
    match parse()
        .map_err(CliError::from)
        .and_then(|asked| dispatch(&asked))
    {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("kingcuploft-simulation: {fault}");
            ExitCode::from(2)
        }
    }
}

fn parse() -> Result<Options, lexopt::Error> {
    let mut asked = Options::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Value(verb) if asked.verb.is_empty() => asked.verb = verb.string()?,
            Value(day) => asked.days.push(day.into()),
            Long("seed") => asked.seed = Some(parser.value()?.parse()?),
            Long("log") => asked.log = Some(parser.value()?.into()),
            Long("json") => asked.json = true,
            Long("planted") => asked.planted = Some(planted(&parser.value()?.string()?)?),
            Long("deployment") => asked.deployment = Some(parser.value()?.string()?),
            Long("days") => asked.most_days = Some(parser.value()?.parse()?),
            Long("seconds") => asked.seconds = Some(parser.value()?.parse()?),
            Long("jobs") => asked.jobs = Some(parser.value()?.parse()?),
            Long("plain") => asked.plain = true,
            Long("first") => asked.first = true,
            Long("out") => asked.out = Some(parser.value()?.into()),
            Long("rule") => asked.rule = Some(rule(&parser.value()?.string()?)?),
            Short('h') | Long("help") => asked.verb = "help".into(),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(asked)
}

fn planted(name: &str) -> Result<Planted, lexopt::Error> {
    let found = Planted::ALL
        .into_iter()
        .find(|fault| format!("{fault:?}") == name);
    found.ok_or_else(|| format!("--planted: {name} is none of {:?}", Planted::ALL).into())
}

fn rule(name: &str) -> Result<Rule, lexopt::Error> {
    let found = Rule::ALL
        .into_iter()
        .find(|rule| format!("{rule:?}") == name);
    found.ok_or_else(|| format!("--rule: {name} is none of {:?}", Rule::ALL).into())
}

/// Runs the command; returns whether a rule is broken.
fn dispatch(asked: &Options) -> Result<bool, CliError> {
    match asked.verb.as_str() {
        "run" => run(asked),
        "search" => search(asked),
        "shrink" => shrink_days(asked),
        "help" => {
            print!("{HELP}");
            Ok(false)
        }
        verb => Err(lexopt::Error::from(format!("there is no verb {verb:?}")).into()),
    }
}

fn read_day(asked: &Options, path: &Path) -> Result<Day, CliError> {
    let text = std::fs::read_to_string(path).map_err(|error| CliError::File(path.into(), error))?;
    let mut day = Day::read(&path.display().to_string(), &text)?;
    day.seed = asked.seed.unwrap_or(day.seed);
    Ok(day)
}

fn run(asked: &Options) -> Result<bool, CliError> {
    let mut any_broken = false;
    for path in &asked.days {
        let day = read_day(asked, path)?;
        let played = planted_fault::run_with(asked.planted, || simulation::run(&day))?;
        let distances = rules::check(&played);
        any_broken |= distances.iter().any(BoundUsage::is_broken);
        if let Some(log) = &asked.log {
            let written = std::fs::write(log, &played.lines);
            written.map_err(|error| CliError::File(log.clone(), error))?;
        }
        print_result(asked, path, rules::answered_share(&played), &distances);
    }
    Ok(any_broken)
}

fn print_result(asked: &Options, path: &Path, served: f64, distances: &[BoundUsage]) {
    let name = path.display();
    if asked.json {
        let told =
            serde_json::json!({ "day": name.to_string(), "served": served, "rules": distances });
        return println!("{told}");
    }
    println!("{name}: served {served:.3}");
    for distance in distances {
        print_bound_usage(distance);
    }
}

fn print_bound_usage(distance: &BoundUsage) {
    let verdict = match distance.is_broken() {
        true => "BROKEN",
        false => "kept",
    };
    println!(
        "  {:<22} {verdict:<6} {:>6.3}  {}",
        format!("{:?}", distance.rule),
        distance.used,
        distance.what
    );
}

fn search(asked: &Options) -> Result<bool, CliError> {
    let search = Search {
        deployment: asked.deployment.clone().unwrap_or_else(|| "19-vms".into()),
        seed: asked.seed.unwrap_or(1),
        max_days: asked.most_days.unwrap_or(usize::MAX),
        time_limit: Duration::from_secs(asked.seconds.unwrap_or(60)),
        jobs: asked.jobs.unwrap_or(4),
        is_mutating: !asked.plain,
        stops_at_first: asked.first,
        planted: asked.planted,
    };
    let found = search.run(|days, distance| {
        eprintln!("day {days}: {:?} {}", distance.rule, distance.what);
    });
    print_search_result(asked, &found);
    if let Some(out) = &asked.out {
        write_out(asked, &found, out)?;
    }
    Ok(!found.broken().is_empty())
}

fn print_search_result(asked: &Options, found: &SearchResult) {
    if asked.json {
        let nearest = Rule::ALL
            .iter()
            .filter_map(|rule| found.nearest.get(rule)?.first());
        let nearest: Vec<_> = nearest.map(|near| &near.usage).collect();
        let first = found.first_broken_after;
        let told = serde_json::json!({ "days": found.days, "first_broken_after": first, "nearest": nearest });
        return println!("{told}");
    }
    println!(
        "{} days; first broken after {:?}",
        found.days, found.first_broken_after
    );
    let nearest = Rule::ALL
        .iter()
        .filter_map(|rule| found.nearest.get(rule)?.first());
    nearest.for_each(|near| print_bound_usage(&near.usage));
}

/// Writes the nearest day of each rule, shrunk if it breaks the rule, and a plot of the search's progress.
fn write_out(asked: &Options, found: &SearchResult, out: &Path) -> Result<(), CliError> {
    let fault = |error| CliError::File(out.into(), error);
    std::fs::create_dir_all(out).map_err(fault)?;
    for rule in Rule::ALL {
        let Some(near) = found.nearest.get(&rule).and_then(|all| all.first()) else {
            continue;
        };
        let day = match near.usage.is_broken() {
            true => planted_fault::run_with(asked.planted, || shrink::shrink(&near.day, rule)),
            false => near.day.clone(),
        };
        let file = out.join(format!("{rule:?}-{}.yaml", day.seed));
        std::fs::write(file, day.to_text()).map_err(fault)?;
    }
    if let Err(error) = plot::draw(found, &out.join("course.svg")) {
        eprintln!("{error}");
    }
    Ok(())
}

fn shrink_days(asked: &Options) -> Result<bool, CliError> {
    let Some(rule) = asked.rule else {
        return Err(lexopt::Error::from("shrink needs --rule").into());
    };
    let mut any_broken = false;
    for path in &asked.days {
        let day = read_day(asked, path)?;
        let day = planted_fault::run_with(asked.planted, || shrink::shrink(&day, rule));
        let judged = planted_fault::run_with(asked.planted, || check_day(&day))?;
        any_broken |= judged.iter().any(|d| d.rule == rule && d.is_broken());
        print!("{}", day.to_text());
    }
    Ok(any_broken)
}
