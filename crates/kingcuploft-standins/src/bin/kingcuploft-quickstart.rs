//! The quickstart: runs a complete deployment of real daemons in one process on loopback, sends traffic through it, and
//! prints the results.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use kingcuploft_standins::deployment;
use kingcuploft_standins::fleet::{Fleet, FleetOptions};
use kingcuploft_standins::load::{self, ScheduledCall};
use kingcuploft_standins::plot::{self, Labels, Line};
use kingcuploft_standins::tally::{Figures, Tally};
use kingcuploft_standins::traffic::{self, Traffic};
use lexopt::prelude::*;
use serde::Serialize;
use signal_hook::consts::{SIGINT, SIGTERM};

const HELP: &str = "\
kingcuploft-quickstart: a whole deployment in one process on loopback

Usage: kingcuploft-quickstart [options]

  --for SECONDS     drive traffic for this long, then end (without it: 5 s, then stay until Ctrl-C)
  --per-second N    calls a second (400)
  --seed N          the seed of the traffic (1)
  --json            the last line is one JSON object
  --plot FILE.svg   draw the latency by quantile
  --help            print this help

Exit codes: 0 done, 1 something failed or a promise was broken, 2 wrong usage.
";

/// How long traffic is sent if `--for` is not given.
const DEFAULT_TRAFFIC_TIME: Duration = Duration::from_secs(5);

struct Arguments {
    time: Option<Duration>,
    per_second: f64,
    seed: u64,
    json: bool,
    plot: Option<PathBuf>,
}

#[derive(Serialize)]
struct Outcome {
    services: Vec<ServiceOutcome>,
    protected_actions: usize,
    duplicate_runs: u64,
    store_calls: u64,
}

#[derive(Serialize)]
struct ServiceOutcome {
    service: &'static str,
    #[serde(flatten)]
    figures: Figures,
}

fn main() -> ExitCode {
    match parse() {
        Ok(Some(arguments)) => match run(&arguments) {
            Ok(code) => code,
            Err(error) => {
                eprintln!("kingcuploft-quickstart: {error}");
                ExitCode::FAILURE
            }
        },
        Ok(None) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("kingcuploft-quickstart: {error}; try --help");
            ExitCode::from(2)
        }
    }
}

fn parse() -> Result<Option<Arguments>, lexopt::Error> {
    let mut arguments = Arguments {
        time: None,
        per_second: 400.0,
        seed: 1,
        json: false,
        plot: None,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("for") => arguments.time = Some(Duration::from_secs(parser.value()?.parse()?)),
            Long("per-second") => arguments.per_second = parser.value()?.parse()?,
            Long("seed") => arguments.seed = parser.value()?.parse()?,
            Long("json") => arguments.json = true,
            Long("plot") => arguments.plot = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(arguments))
}

fn run(arguments: &Arguments) -> Result<ExitCode, Box<dyn std::error::Error>> {
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    let fleet = Fleet::start(deployment::quickstart(), FleetOptions::default())?;
    print_addresses(&fleet);
    let time = arguments.time.unwrap_or(DEFAULT_TRAFFIC_TIME);
    let traffic = traffic::mixed(
        &fleet.deployment,
        arguments.per_second,
        time,
        arguments.seed,
    );
    let (outcome, tallies) = run_traffic(&fleet, traffic, time);
    print_outcome(&outcome);
    if let Some(file) = &arguments.plot {
        draw_latency(file, &fleet, &tallies)?;
    }
    if arguments.json {
        println!("{}", serde_json::to_string(&outcome)?);
    }
    if arguments.time.is_none() {
        eprintln!("\nThe daemons stay up; Ctrl-C stops them as planned.");
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    fleet.stop();
    match outcome.duplicate_runs {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::FAILURE),
    }
}

fn print_addresses(fleet: &Fleet) {
    eprintln!(
        "platform (object API)   http://{}/v1/objects?prefix=",
        fleet.platform.address()
    );
    for daemon in &fleet.daemons {
        let vm = &daemon.shared().vm;
        eprintln!(
            "{} in zone {}       callers http://{}  admin http://{}",
            vm.name,
            vm.availability_zone,
            daemon.address(),
            daemon.admin_address()
        );
    }
    let daemon = &fleet.daemons[0];
    let (callers, admin) = (daemon.address(), daemon.admin_address());
    eprintln!("\nTry:");
    eprintln!("  curl -i -H 'Host: trip.example' http://{callers}/itinerary/7");
    eprintln!(
        "  curl -i -H 'Host: trip.example' -H 'Idempotency-Key: squad-7' -d beds http://{callers}/holds"
    );
    eprintln!("  curl -s http://{admin}/metrics");
    eprintln!("  curl -s http://{admin}/status\n");
}

fn run_traffic(fleet: &Fleet, traffic: Traffic, time: Duration) -> (Outcome, Vec<Tally>) {
    let groups = fleet.deployment.services.len();
    let tallies = Arc::new(Mutex::new(vec![Tally::default(); groups]));
    let (calls_done, shared_tallies) = (Arc::new(AtomicU64::new(0)), Arc::clone(&tallies));
    let counter = Arc::clone(&calls_done);
    let total = traffic.calls.len();
    let ended = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| print_progress(&calls_done, total, time, &ended));
        let to = fleet.addresses();
        load::run_with(
            &fleet.runtime,
            move |call: &ScheduledCall| to[call.address_index % to.len()],
            traffic.calls,
            move |call, got, latency| {
                counter.fetch_add(1, Ordering::Relaxed);
                let mut tallies = shared_tallies
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                tallies[call.group].add(&got, latency, call.deadline);
            },
        );
        ended.store(true, Ordering::Relaxed);
    });
    let tallies = tallies
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let services = fleet.deployment.services.iter().zip(&tallies);
    let services = services.map(|(plan, tally)| ServiceOutcome {
        service: plan.name,
        figures: tally.figures(),
    });
    let runs = traffic.keys.iter().map(|key| fleet.runs(key));
    let outcome = Outcome {
        services: services.collect(),
        protected_actions: traffic.keys.len(),
        duplicate_runs: runs.map(|runs| runs.saturating_sub(1)).sum(),
        store_calls: fleet.platform.calls().all(),
    };
    (outcome, tallies)
}

fn print_progress(
    calls_done: &AtomicU64,
    total: usize,
    time: Duration,
    ended: &std::sync::atomic::AtomicBool,
) {
    let began = Instant::now();
    let mut next = Duration::from_secs(1);
    while !ended.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(20));
        if began.elapsed() >= next {
            let calls_done = calls_done.load(Ordering::Relaxed);
            eprintln!(
                "{:>3} s of {} s: {calls_done} of {total} calls",
                next.as_secs(),
                time.as_secs()
            );
            next += Duration::from_secs(1);
        }
    }
}

fn print_outcome(outcome: &Outcome) {
    println!(
        "\n{:<10} {:>8} {:>9} {:>9} {:>9} {:>10} {:>8}",
        "service", "calls", "answered", "p50 ms", "p99 ms", "p99.9 ms", "refused"
    );
    for service in &outcome.services {
        let figures = &service.figures;
        println!(
            "{:<10} {:>8} {:>9} {:>9.1} {:>9.1} {:>10.1} {:>8}",
            service.service,
            figures.calls,
            figures.answered,
            figures.p50_ms,
            figures.p99_ms,
            figures.p999_ms,
            figures.refused
        );
        for (reason, count) in &figures.refused_by_reason {
            println!("           refused as {reason}: {count}");
        }
    }
    println!("protected actions: {}", outcome.protected_actions);
    println!("duplicate runs: {}", outcome.duplicate_runs);
    println!("store calls: {}", outcome.store_calls);
}

fn draw_latency(
    file: &std::path::Path,
    fleet: &Fleet,
    tallies: &[Tally],
) -> Result<(), plot::PlotError> {
    let lines = fleet.deployment.services.iter().zip(tallies);
    let lines: Vec<Line> = lines
        .map(|(plan, tally)| Line {
            name: plan.name.into(),
            points: (0..=100)
                .map(|q| (f64::from(q), tally.quantile_ms(f64::from(q) / 100.0)))
                .collect(),
        })
        .collect();
    let labels = Labels {
        title: "Latency by quantile",
        x: "quantile, %",
        y: "latency, ms",
    };
    plot::draw_lines(file, &labels, &lines)
}
