//! The operators' tool against a platform and daemons: what it says, and its exit codes.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use kingcuploft_standins::platform::{Outage, Platform};
use kingcuploftctl::args::parse;
use kingcuploftctl::exit::{Code, Outcome};
use kingcuploftctl::run::run;
use kingcuploftd::daemon::Daemon;
use kingcuploftd::settings::Settings;
use serde_json::Value;
use tokio::runtime::Runtime;

struct Bench {
    platform: Platform,
    folder: tempfile::TempDir,
    _runtime: Runtime,
}

impl Bench {
    fn start() -> Self {
        let runtime = Runtime::new().unwrap();
        Self {
            platform: Platform::start(&runtime).unwrap(),
            folder: tempfile::tempdir().unwrap(),
            _runtime: runtime,
        }
    }

    /// Runs a command line with the platform's address before it.
    fn tool(&self, line: &str) -> Outcome {
        tool(&format!("--platform {} {line}", self.platform.address()))
    }

    /// Writes a manifest whose content shows in its deadline.
    fn manifest(&self, name: &str, deadline_ms: u64) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text(deadline_ms)).unwrap();
        path.display().to_string()
    }

    fn daemon(&self, name: &str, peers: &[String]) -> Daemon {
        let text = format!(
            "{{vm: {name}, availability_zone: a, listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0', platform: '{}', limits: {{workers: 1}}, store: {{call_timeout_ms: 300}}, peer: {{listen: '127.0.0.1:0', peers: [{}], membership: {{beat_ms: 100, suspect_ms: 500}}}}}}",
            self.platform.address(),
            peers.join(", ")
        );
        let settings: Settings = serde_saphyr::from_str(&text).unwrap();
        Daemon::start(settings).unwrap()
    }

    /// Starts two daemons that know each other, and returns how the tool names them.
    fn daemons(&self) -> ([Daemon; 2], String) {
        let first = self.daemon("entry-0", &[]);
        let peer = format!("'{}'", first.peer_address().unwrap());
        let second = self.daemon("entry-1", &[peer]);
        let vms = format!("--vm {},{}", first.admin_address(), second.admin_address());
        ([first, second], vms)
    }
}

fn text(deadline_ms: u64) -> String {
    format!(
        "services:
  - name: trip
    hosts: [trip.example]
    backend_servers:
      - {{name: trip-1, address: '127.0.0.1:1', availability_zone: a, slots: 2, connections: 220}}
    rules:
      - {{name: lookup, methods: [GET], path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: {deadline_ms}}}
"
    )
}

fn tool(line: &str) -> Outcome {
    let words = line.split_whitespace().map(Into::into);
    match parse(words) {
        Ok(args) => run(&args),
        Err(error) => Outcome::failure(Code::InvalidInput, error.to_string()),
    }
}

fn json(ending: &Outcome) -> Value {
    serde_json::from_str(&ending.out).unwrap_or_else(|error| panic!("{error}: {ending:?}"))
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_wrong_command_line_ends_with_2_and_says_what_is_wrong() {
    for (line, said) in [
        ("", "a command is needed"),
        ("manifest", "`manifest` is not known"),
        ("frobnicate", "`frobnicate` is not known"),
        ("status --base 3", "--base does not belong"),
        (
            "manifest apply x --generation 3",
            "--generation does not belong",
        ),
        ("manifest diff", "--from and --to"),
        ("manifest history --base x", "x"),
        ("--nonsense status", "--nonsense"),
        ("manifest show", "--platform"),
        ("status", "--vm"),
        ("drain trip trip-1", "--platform"),
        (
            "manifest check /nowhere/manifest.yaml",
            "/nowhere/manifest.yaml",
        ),
        (
            "--token /nowhere/token --vm 127.0.0.1:1 status",
            "/nowhere/token",
        ),
    ] {
        let ending = tool(line);
        assert_eq!(ending.code, Code::InvalidInput, "{line}: {ending:?}");
        assert!(ending.err.contains(said), "{line}: {ending:?}");
    }
    for line in ["--help", "-h", "status --help"] {
        assert!(tool(line).out.contains("Exit codes"), "{line}");
    }
    assert!(tool("--version").out.starts_with("kingcuploftctl "));
}

#[test]
fn the_program_ends_with_the_code_of_its_command() {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    let program = |words: &[&str]| {
        let output = std::process::Command::new(path.join("kingcuploftctl"))
            .args(words)
            .output();
        output.unwrap().status.code()
    };
    assert_eq!(program(&["--help"]), Some(0));
    assert_eq!(program(&["frobnicate"]), Some(2));
    assert_eq!(
        program(&["--platform", "127.0.0.1:1", "manifest", "show"]),
        Some(1)
    );
}

#[test]
fn a_manifest_is_checked_applied_shown_and_compared() {
    let bench = Bench::start();
    let first = bench.manifest("first.yaml", 1000);
    let checked = tool(&format!("manifest check {first}"));
    assert_eq!(checked.code, Code::Success, "{checked:?}");
    assert!(
        checked
            .out
            .contains("good: 1 services, 1 backend servers, 2 slots, 1 rules")
    );
    let wrong = bench.manifest("wrong.yaml", 0);
    let checked = tool(&format!("--json manifest check {wrong}"));
    assert_eq!(checked.code, Code::InvalidInput);
    let place = "wrong.yaml:7: services[0].rules[0].deadline_ms: 0 found";
    assert!(checked.err.contains(place), "{checked:?}");
    assert_eq!(json(&checked)["faults"].as_array().map(Vec::len), Some(1));

    let empty = bench.tool("manifest show");
    assert_eq!(empty.code, Code::Failed);
    let applied = bench.tool(&format!("--json manifest apply {first} --author lin"));
    assert_eq!(applied.code, Code::Success, "{applied:?}");
    assert_eq!(json(&applied)["generation"], 1);
    let same = bench.tool(&format!("manifest diff {first}"));
    assert_eq!((same.code, same.out.as_str()), (Code::Success, ""));
    let second = bench.manifest("second.yaml", 2000);
    let differs = bench.tool(&format!("manifest diff {second}"));
    assert_eq!(differs.code, Code::Differs);
    assert_eq!(
        differs.out,
        "~ trip.rules.lookup.deadline_ms: 1000 -> 2000\n"
    );
    let applied = bench.tool(&format!("manifest apply {second} --base 1"));
    assert_eq!(
        (applied.code, applied.out.as_str()),
        (Code::Success, "accepted as generation 2\n")
    );
    let between = bench.tool("--json manifest diff --from 2 --to 1");
    assert_eq!(between.code, Code::Differs);
    assert_eq!(
        json(&between)["changes"][0],
        "~ trip.rules.lookup.deadline_ms: 2000 -> 1000"
    );
    let history = bench.tool("manifest history");
    let lines: Vec<&str> = history.out.lines().collect();
    assert!(lines[0].starts_with("generation 2"), "{lines:?}");
    assert_eq!(lines[1].trim(), "~ trip");
    assert!(lines[2].starts_with("generation 1 by lin at"), "{lines:?}");
    // What is shown can be applied again: the text reads back as the same manifest.
    let shown = bench.tool("manifest show --generation 1");
    std::fs::write(bench.folder.path().join("shown.yaml"), &shown.out).unwrap();
    let path = bench.folder.path().join("shown.yaml");
    let back = bench.tool(&format!("manifest apply {}", path.display()));
    assert_eq!(back.out, "accepted as generation 3\n", "{back:?}");
    let none = bench.tool(&format!("manifest diff {first}"));
    assert_eq!(none.code, Code::Success, "{none:?}");
}

#[test]
fn a_lost_race_and_an_unknown_end_have_codes_of_their_own() {
    let bench = Bench::start();
    let file = bench.manifest("manifest.yaml", 1000);
    bench.tool(&format!("manifest apply {file}"));
    let lost = bench.tool(&format!("--json manifest apply {file} --base 0"));
    assert_eq!(lost.code, Code::Conflict, "{lost:?}");
    assert_eq!(json(&lost)["outcome"], "lost");
    // The store accepts writes and none of their answers arrives, nor any read.
    bench
        .platform
        .change_faults(|faults| faults.lost_answer_share = 1.0);
    let settled = bench.tool(&format!("manifest apply {file}"));
    assert_eq!(settled.code, Code::Success, "{settled:?}");
    assert_eq!(settled.out, "accepted as generation 2\n");
    bench
        .platform
        .change_faults(|faults| faults.outage = Some(Outage::Unavailable));
    let down = bench.tool(&format!("manifest apply {file}"));
    assert_eq!(down.code, Code::Failed, "{down:?}");
}

#[test]
fn status_list_and_explain_tell_what_the_fleet_does() {
    let bench = Bench::start();
    let file = bench.manifest("manifest.yaml", 300);
    bench.tool(&format!("manifest apply {file}"));
    let (daemons, vms) = bench.daemons();
    until("ready", || {
        tool(&format!("{vms} status")).code == Code::Success
    });
    until("members", || {
        tool(&format!("{vms} --json status"))
            .out
            .matches("\"live_members\":2")
            .count()
            == 2
    });
    let status = tool(&format!("{vms},127.0.0.1:1 status"));
    assert_eq!(
        status.code,
        Code::Differs,
        "a VM that does not answer is told"
    );
    assert!(
        tool(&format!("{vms} status"))
            .out
            .contains("trip: 0 waiting, 0 of ")
    );
    let services = json(&bench.tool("--json service list"));
    assert_eq!(services[0]["slots"], 2);
    assert!(bench.tool("service list").out.contains("trip.example"));
    // Nothing listens behind the service, so the request is refused.
    let mut stream = TcpStream::connect(daemons[0].address()).unwrap();
    write!(
        stream,
        "GET / HTTP/1.1\r\nhost: trip.example\r\nconnection: close\r\n\r\n"
    )
    .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let id = answer
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let id = id.unwrap_or_else(|| panic!("{answer}"));
    let why = json(&tool(&format!("{vms} --json explain --request {id}")));
    let reason = why[0]["decision"]["reason"].as_str();
    let reason = reason.unwrap_or_else(|| panic!("{answer}\n{why}"));
    assert!(answer.contains(reason), "{answer}\n{why}");
    assert_eq!(why[0]["decision"]["service"], "trip");
    // What the dispatcher saw when it decided stands beside it.
    let dispatch = why
        .as_array()
        .unwrap()
        .iter()
        .find_map(|line| line.get("dispatch"));
    let seen = dispatch.unwrap_or_else(|| panic!("{why}"));
    assert_eq!(seen["rule"], "lookup");
    assert!(seen["load"]["limit"].is_number(), "{seen}");
    let text = tool(&format!("{vms} explain --request {id}"));
    assert!(text.out.contains("ms ago"), "{text:?}");
    let none = tool(&format!("{vms} explain --service venue"));
    assert_eq!((none.code, none.out.as_str()), (Code::Success, ""));
    daemons.into_iter().for_each(Daemon::stop);
}

#[test]
fn a_drain_is_taken_by_a_vm_while_the_store_is_down_and_by_the_store_without_vms() {
    let bench = Bench::start();
    let file = bench.manifest("manifest.yaml", 1000);
    bench.tool(&format!("manifest apply {file}"));
    let (daemons, vms) = bench.daemons();
    until("ready", || {
        tool(&format!("{vms} status")).code == Code::Success
    });
    let links = |daemon: &Daemon| daemon.shared().metrics.fleet.peer_links.get();
    until("linked", || daemons.iter().all(|daemon| links(daemon) > 0));
    bench
        .platform
        .change_faults(|faults| faults.outage = Some(Outage::Unavailable));
    let unknown = tool(&format!("{vms} drain trip trip-9"));
    assert_eq!(unknown.code, Code::Failed, "{unknown:?}");
    let only_first = format!("--vm {}", daemons[0].admin_address());
    let drained = bench.tool(&format!("{only_first} drain trip trip-1"));
    assert_eq!(drained.code, Code::Success, "{drained:?}");
    assert!(drained.err.contains("not written to the store"));
    let known = |daemon: &Daemon| daemon.shared().fleet.drains().len() == 1;
    until("known everywhere", || daemons.iter().all(known));
    daemons.into_iter().for_each(Daemon::stop);

    bench.platform.change_faults(|faults| faults.outage = None);
    let listed = json(&bench.tool("--json backend-server list trip"));
    assert_eq!(listed[0]["draining"], false);
    for _ in 0..2 {
        assert_eq!(bench.tool("drain trip trip-1").code, Code::Success);
    }
    let listed = json(&bench.tool("--json backend-server list trip"));
    assert_eq!(listed[0]["draining"], true);
    assert_eq!(bench.tool("drain trip trip-9").code, Code::Failed);
    let late = bench.daemon("entry-2", &[]);
    until("a later VM knows it", || {
        late.shared().fleet.drains().len() == 1
    });
    late.stop();
}

#[test]
fn an_accepted_manifest_is_handed_to_vms_before_the_store_dies() {
    // The store accepts a manifest and dies before any VM has read it. The tool hands it to a VM,
    // which passes it on.
    let bench = Bench::start();
    let first = bench.manifest("first.yaml", 1000);
    bench.tool(&format!("manifest apply {first}"));
    let (daemons, vms) = bench.daemons();
    until("ready", || {
        tool(&format!("{vms} status")).code == Code::Success
    });
    let links = |daemon: &Daemon| daemon.shared().metrics.fleet.peer_links.get();
    until("linked", || daemons.iter().all(|daemon| links(daemon) > 0));
    let second = bench.manifest("second.yaml", 2000);
    // No watch and no read of a VM succeeds any more, while the tool's writes still do.
    bench
        .platform
        .change_faults(|faults| faults.stalled_watch = true);
    let only_second = format!("--vm {}", daemons[1].admin_address());
    let applied = bench.tool(&format!("{only_second} manifest apply {second}"));
    assert_eq!(applied.code, Code::Success, "{applied:?}");
    bench
        .platform
        .change_faults(|faults| faults.outage = Some(Outage::Silence));
    let generation = |daemon: &Daemon| daemon.shared().accepted.load().generation;
    until("in force", || {
        daemons.iter().all(|daemon| generation(daemon) == 2)
    });
    bench.platform.change_faults(|faults| faults.outage = None);
    daemons.into_iter().for_each(Daemon::stop);
}

#[test]
fn a_claim_that_never_was_is_told_so() {
    let bench = Bench::start();
    let none = bench.tool("claim show trip squad-7");
    assert_eq!(none.code, Code::Failed);
    assert!(none.err.contains("no claim of this key"), "{none:?}");
}
