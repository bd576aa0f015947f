//! Output and exit codes of the operators' tool `kingcuploftctl`, run against a platform and real daemons.

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

/// A platform, and a folder for the manifest files.
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

    /// Runs a command line of the tool with `--platform` set to the address of the platform.
    fn run_tool(&self, line: &str) -> Outcome {
        run_tool(&format!("--platform {} {line}", self.platform.address()))
    }

    /// Writes a manifest file; manifests with different deadlines differ in content.
    fn manifest(&self, name: &str, deadline_ms: u64) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, manifest_text(deadline_ms)).unwrap();
        path.display().to_string()
    }

    fn daemon(&self, name: &str, peers: &[String]) -> Daemon {
        let settings_text = format!(
            "{{vm: {name}, availability_zone: a, listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0', platform: '{}', limits: {{workers: 1}}, store: {{call_timeout_ms: 300}}, peer: {{listen: '127.0.0.1:0', peers: [{}], membership: {{beat_ms: 100, suspect_ms: 500}}}}}}",
            self.platform.address(),
            peers.join(", ")
        );
        let settings: Settings = serde_saphyr::from_str(&settings_text).unwrap();
        Daemon::start(settings).unwrap()
    }

    /// Starts two daemons that are peers, and returns them with the tool's `--vm` option for both.
    fn daemons(&self) -> ([Daemon; 2], String) {
        let first = self.daemon("entry-0", &[]);
        let peer = format!("'{}'", first.peer_address().unwrap());
        let second = self.daemon("entry-1", &[peer]);
        let vms = format!("--vm {},{}", first.admin_address(), second.admin_address());
        ([first, second], vms)
    }
}

fn manifest_text(deadline_ms: u64) -> String {
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

fn run_tool(line: &str) -> Outcome {
    let arguments = line.split_whitespace().map(Into::into);
    match parse(arguments) {
        Ok(args) => run(&args),
        Err(error) => Outcome::failure(Code::InvalidInput, error.to_string()),
    }
}

fn json(outcome: &Outcome) -> Value {
    serde_json::from_str(&outcome.out).unwrap_or_else(|error| panic!("{error}: {outcome:?}"))
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_wrong_command_line_exits_with_2_and_names_the_error() {
    for (line, expected) in [
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
        let outcome = run_tool(line);
        assert_eq!(outcome.code, Code::InvalidInput, "{line}: {outcome:?}");
        assert!(outcome.err.contains(expected), "{line}: {outcome:?}");
    }
    for line in ["--help", "-h", "status --help"] {
        assert!(run_tool(line).out.contains("Exit codes"), "{line}");
    }
    assert!(run_tool("--version").out.starts_with("kingcuploftctl "));
}

#[test]
fn the_program_exits_with_the_code_of_its_command() {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    let program = |arguments: &[&str]| {
        let output = std::process::Command::new(path.join("kingcuploftctl"))
            .args(arguments)
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
    let checked = run_tool(&format!("manifest check {first}"));
    assert_eq!(checked.code, Code::Success, "{checked:?}");
    assert!(
        checked
            .out
            .contains("good: 1 services, 1 backend servers, 2 slots, 1 rules")
    );
    let wrong = bench.manifest("wrong.yaml", 0);
    let checked = run_tool(&format!("--json manifest check {wrong}"));
    assert_eq!(checked.code, Code::InvalidInput);
    let location = "wrong.yaml:7: services[0].rules[0].deadline_ms: 0 found";
    assert!(checked.err.contains(location), "{checked:?}");
    assert_eq!(json(&checked)["faults"].as_array().map(Vec::len), Some(1));

    let empty = bench.run_tool("manifest show");
    assert_eq!(empty.code, Code::Failed);
    let applied = bench.run_tool(&format!("--json manifest apply {first} --author lin"));
    assert_eq!(applied.code, Code::Success, "{applied:?}");
    assert_eq!(json(&applied)["generation"], 1);
    let same = bench.run_tool(&format!("manifest diff {first}"));
    assert_eq!((same.code, same.out.as_str()), (Code::Success, ""));
    let second = bench.manifest("second.yaml", 2000);
    let differs = bench.run_tool(&format!("manifest diff {second}"));
    assert_eq!(differs.code, Code::Differs);
    assert_eq!(
        differs.out,
        "~ trip.rules.lookup.deadline_ms: 1000 -> 2000\n"
    );
    let applied = bench.run_tool(&format!("manifest apply {second} --base 1"));
    assert_eq!(
        (applied.code, applied.out.as_str()),
        (Code::Success, "accepted as generation 2\n")
    );
    let between = bench.run_tool("--json manifest diff --from 2 --to 1");
    assert_eq!(between.code, Code::Differs);
    assert_eq!(
        json(&between)["changes"][0],
        "~ trip.rules.lookup.deadline_ms: 2000 -> 1000"
    );
    let history = bench.run_tool("manifest history");
    let lines: Vec<&str> = history.out.lines().collect();
    assert!(lines[0].starts_with("generation 2"), "{lines:?}");
    assert_eq!(lines[1].trim(), "~ trip");
    assert!(lines[2].starts_with("generation 1 by lin at"), "{lines:?}");
    // The output of `manifest show` can be applied again and is read as the same manifest.
    let shown = bench.run_tool("manifest show --generation 1");
    std::fs::write(bench.folder.path().join("shown.yaml"), &shown.out).unwrap();
    let path = bench.folder.path().join("shown.yaml");
    let reapplied = bench.run_tool(&format!("manifest apply {}", path.display()));
    assert_eq!(reapplied.out, "accepted as generation 3\n", "{reapplied:?}");
    let none = bench.run_tool(&format!("manifest diff {first}"));
    assert_eq!(none.code, Code::Success, "{none:?}");
}

#[test]
fn a_conflict_and_an_unreachable_store_have_exit_codes_of_their_own() {
    let bench = Bench::start();
    let file = bench.manifest("manifest.yaml", 1000);
    bench.run_tool(&format!("manifest apply {file}"));
    let conflict = bench.run_tool(&format!("--json manifest apply {file} --base 0"));
    assert_eq!(conflict.code, Code::Conflict, "{conflict:?}");
    assert_eq!(json(&conflict)["outcome"], "lost");
    // The store applies writes and their answers are lost: the tool finds out by reading the store.
    bench
        .platform
        .change_faults(|faults| faults.lost_answer_share = 1.0);
    let settled = bench.run_tool(&format!("manifest apply {file}"));
    assert_eq!(settled.code, Code::Success, "{settled:?}");
    assert_eq!(settled.out, "accepted as generation 2\n");
    bench
        .platform
        .change_faults(|faults| faults.outage = Some(Outage::Unavailable));
    let down = bench.run_tool(&format!("manifest apply {file}"));
    assert_eq!(down.code, Code::Failed, "{down:?}");
}

#[test]
fn status_list_and_explain_report_the_state_of_the_fleet() {
    let bench = Bench::start();
    let file = bench.manifest("manifest.yaml", 300);
    bench.run_tool(&format!("manifest apply {file}"));
    let (daemons, vms) = bench.daemons();
    wait_until("the VMs are ready", || {
        run_tool(&format!("{vms} status")).code == Code::Success
    });
    wait_until("each VM sees both members", || {
        run_tool(&format!("{vms} --json status"))
            .out
            .matches("\"live_members\":2")
            .count()
            == 2
    });
    let status = run_tool(&format!("{vms},127.0.0.1:1 status"));
    assert_eq!(
        status.code,
        Code::Differs,
        "a VM that does not answer changes the exit code"
    );
    assert!(
        run_tool(&format!("{vms} status"))
            .out
            .contains("trip: 0 waiting, 0 of ")
    );
    let services = json(&bench.run_tool("--json service list"));
    assert_eq!(services[0]["slots"], 2);
    assert!(bench.run_tool("service list").out.contains("trip.example"));
    // Nothing listens at the address of the backend server, so the request is refused.
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
    let decisions = json(&run_tool(&format!("{vms} --json explain --request {id}")));
    let reason = decisions[0]["decision"]["reason"].as_str();
    let reason = reason.unwrap_or_else(|| panic!("{answer}\n{decisions}"));
    assert!(answer.contains(reason), "{answer}\n{decisions}");
    assert_eq!(decisions[0]["decision"]["service"], "trip");
    // The decision is followed by the load that the dispatcher saw when it made the decision.
    let dispatch = decisions
        .as_array()
        .unwrap()
        .iter()
        .find_map(|line| line.get("dispatch"));
    let seen = dispatch.unwrap_or_else(|| panic!("{decisions}"));
    assert_eq!(seen["rule"], "lookup");
    assert!(seen["load"]["limit"].is_number(), "{seen}");
    let explanation = run_tool(&format!("{vms} explain --request {id}"));
    assert!(explanation.out.contains("ms ago"), "{explanation:?}");
    let none = run_tool(&format!("{vms} explain --service venue"));
    assert_eq!((none.code, none.out.as_str()), (Code::Success, ""));
    daemons.into_iter().for_each(Daemon::stop);
}

#[test]
fn a_drain_is_accepted_by_a_vm_while_the_store_is_down_and_by_the_store_without_vms() {
    let bench = Bench::start();
    let file = bench.manifest("manifest.yaml", 1000);
    bench.run_tool(&format!("manifest apply {file}"));
    let (daemons, vms) = bench.daemons();
    wait_until("the VMs are ready", || {
        run_tool(&format!("{vms} status")).code == Code::Success
    });
    let links = |daemon: &Daemon| daemon.shared().metrics.fleet.peer_links.get();
    wait_until("the VMs are connected to each other", || {
        daemons.iter().all(|daemon| links(daemon) > 0)
    });
    bench
        .platform
        .change_faults(|faults| faults.outage = Some(Outage::Unavailable));
    let unknown = run_tool(&format!("{vms} drain trip trip-9"));
    assert_eq!(unknown.code, Code::Failed, "{unknown:?}");
    let only_first = format!("--vm {}", daemons[0].admin_address());
    let drained = bench.run_tool(&format!("{only_first} drain trip trip-1"));
    assert_eq!(drained.code, Code::Success, "{drained:?}");
    assert!(drained.err.contains("not written to the store"));
    let known = |daemon: &Daemon| daemon.shared().fleet.drains().len() == 1;
    wait_until("every VM knows the drain", || daemons.iter().all(known));
    daemons.into_iter().for_each(Daemon::stop);

    bench.platform.change_faults(|faults| faults.outage = None);
    let listed = json(&bench.run_tool("--json backend-server list trip"));
    assert_eq!(listed[0]["draining"], false);
    for _ in 0..2 {
        assert_eq!(bench.run_tool("drain trip trip-1").code, Code::Success);
    }
    let listed = json(&bench.run_tool("--json backend-server list trip"));
    assert_eq!(listed[0]["draining"], true);
    assert_eq!(bench.run_tool("drain trip trip-9").code, Code::Failed);
    let late = bench.daemon("entry-2", &[]);
    wait_until("a VM that starts later knows the drain", || {
        late.shared().fleet.drains().len() == 1
    });
    late.stop();
}

#[test]
fn an_accepted_manifest_is_sent_to_a_vm_before_the_store_fails() {
    // The store accepts a manifest and fails before any VM has read it. The tool sends the manifest to one VM, which
    // sends it to its peers.
    let bench = Bench::start();
    let first = bench.manifest("first.yaml", 1000);
    bench.run_tool(&format!("manifest apply {first}"));
    let (daemons, vms) = bench.daemons();
    wait_until("the VMs are ready", || {
        run_tool(&format!("{vms} status")).code == Code::Success
    });
    let links = |daemon: &Daemon| daemon.shared().metrics.fleet.peer_links.get();
    wait_until("the VMs are connected to each other", || {
        daemons.iter().all(|daemon| links(daemon) > 0)
    });
    let second = bench.manifest("second.yaml", 2000);
    // The VMs see no change through their watches any more, while the writes of the tool still succeed.
    bench
        .platform
        .change_faults(|faults| faults.stalled_watch = true);
    let only_second = format!("--vm {}", daemons[1].admin_address());
    let applied = bench.run_tool(&format!("{only_second} manifest apply {second}"));
    assert_eq!(applied.code, Code::Success, "{applied:?}");
    bench
        .platform
        .change_faults(|faults| faults.outage = Some(Outage::Silence));
    let generation = |daemon: &Daemon| daemon.shared().accepted.load().generation;
    wait_until("the manifest is in force on every VM", || {
        daemons.iter().all(|daemon| generation(daemon) == 2)
    });
    bench.platform.change_faults(|faults| faults.outage = None);
    daemons.into_iter().for_each(Daemon::stop);
}

#[test]
fn a_missing_claim_is_reported() {
    let bench = Bench::start();
    let none = bench.run_tool("claim show trip squad-7");
    assert_eq!(none.code, Code::Failed);
    assert!(none.err.contains("no claim of this key"), "{none:?}");
}
