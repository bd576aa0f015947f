//! `workspaces`, `in-force` and `connections`: what the metrics of entry VMs say.

use std::io::{Read, Write};
use std::net::TcpListener;

use kingcuploftctl::args::{Command, parse};
use kingcuploftctl::exit::Code;
use kingcuploftctl::run;

fn metrics(version: u64, newest: u64, begun: u64, used_up: u64) -> String {
    format!(
        "# HELP kingcuploft_entry_workspace_requests Requests.\n\
         kingcuploft_entry_workspace_requests_total{{workspace=\"north\",outcome=\"begun\"}} {begun}\n\
         kingcuploft_entry_workspace_requests_total{{workspace=\"north\",outcome=\"quota_used_up\"}} {used_up}\n\
         kingcuploft_entry_workspace_requests_total{{workspace=\"south\",outcome=\"begun\"}} 1\n\
         kingcuploft_entry_configuration_version {version}\n\
         kingcuploft_entry_configuration_newest_version {newest}\n"
    )
}

/// Answers one request with these metrics; returns the address.
fn serve(text: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
    });
    address.to_string()
}

/// Returns an address at which nobody listens.
fn nobody() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

fn ctl(vms: &[String], words: &[&str]) -> (Code, String) {
    let all = ["--vm".to_owned(), vms.join(",")].into_iter();
    let all = all.chain(words.iter().map(|word| (*word).to_owned()));
    let args = parse(all.map(Into::into)).unwrap();
    let outcome = run::run(&args);
    (outcome.code, outcome.out)
}

#[test]
fn requests_of_workspaces_are_summed_over_vms_with_where_they_were_refused() {
    let (a, b) = (serve(metrics(4, 4, 10, 0)), serve(metrics(4, 4, 5, 7)));
    let (code, out) = ctl(&[a.clone(), b.clone()], &["workspaces"]);
    assert_eq!(code, Code::Success);
    assert!(out.contains("north: 15 begun, 7 quota_used_up"), "{out}");
    assert!(out.contains(&format!("7 refused at {b}")) && out.contains("south: 2 begun"));
    assert!(!out.contains(&format!("7 refused at {a}")));
}

#[test]
fn one_workspace_is_told_as_json_with_the_vms_that_were_not_reached() {
    let (a, silent) = (serve(metrics(4, 4, 10, 3)), nobody());
    let (code, out) = ctl(
        &[a.clone(), silent.clone()],
        &["--json", "workspaces", "north"],
    );
    assert_eq!(code, Code::Success);
    let told: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(told["workspaces"].as_array().unwrap().len(), 1);
    assert_eq!(told["workspaces"][0]["requests"]["quota_used_up"], 3.0);
    assert_eq!(told["workspaces"][0]["refused_at"][&a], 3.0);
    assert_eq!(told["not_reached"][0], silent);
}

/// Guards against an operator who takes silence, or an older version, for a version that is in force.
#[test]
fn vms_that_lack_a_version_or_are_silent_are_named() {
    let (a, b, silent) = (
        serve(metrics(9, 9, 0, 0)),
        serve(metrics(8, 9, 0, 0)),
        nobody(),
    );
    let (code, out) = ctl(&[a.clone(), b.clone(), silent.clone()], &["in-force"]);
    assert_eq!(code, Code::Differs);
    assert!(out.contains("version 9 is in force on 1 of 3 VMs"), "{out}");
    assert!(out.contains(&format!("{b}: 8")) && out.contains(&format!("{silent}: not reached")));
    assert!(!out.contains(&format!("  {a}")));
    let a = serve(metrics(9, 9, 0, 0));
    let (code, _) = ctl(&[a], &["in-force", "r9"]);
    assert_eq!(code, Code::Success);
}

/// Guards against an operator who does not see on which VM descriptors are short, or takes silence for room.
#[test]
fn who_holds_the_descriptors_of_each_vm_is_told() {
    let held = "kingcuploft_entry_connections_bound 160\nkingcuploft_entry_callers 150\n\
                kingcuploft_entry_idle_callers 90\nkingcuploft_entry_refused_callers 7\n";
    let (a, silent) = (serve(held.into()), nobody());
    let (code, out) = ctl(&[a.clone(), silent.clone()], &["connections"]);
    assert_eq!(code, Code::Failed);
    let wanted = "160 connections_bound, 150 callers, 90 idle_callers, 7 refused_callers";
    assert!(out.contains(&format!("{a}: {wanted}\n")), "{out}");
    assert!(out.contains(&format!("{silent}: not reached")), "{out}");
    let (code, out) = ctl(&[serve(held.into())], &["--json", "connections"]);
    assert_eq!(code, Code::Success);
    let told: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(told["vms"][0]["connections"]["idle_callers"], 90);
}

#[test]
fn a_version_that_is_none_and_missing_vms_are_refused() {
    let words = |words: &[&str]| words.iter().map(|word| (*word).into()).collect::<Vec<_>>();
    assert!(parse(words(&["in-force", "latest"])).is_err());
    let args = parse(words(&["workspaces"])).unwrap();
    assert_eq!(args.command, Command::Workspaces(None));
    assert_eq!(run::run(&args).code, Code::InvalidInput);
}
