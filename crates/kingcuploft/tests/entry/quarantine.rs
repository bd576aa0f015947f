//! Quarantine of requests that crash backend servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::entry::crash_report::CrashReport;
use kingcuploft::entry::fingerprint::{Fingerprint, RequestIdentity};
use kingcuploft::entry::quarantine::{Admission, Quarantine, ReportStatus};

const REQUEST: Fingerprint = 7;

/// A VM with its quarantine and a clock.
struct Vm {
    quarantine: Quarantine,
    now: Instant,
    crashes: u32,
}

impl Vm {
    fn new() -> Self {
        Self {
            quarantine: Quarantine::default(),
            now: Instant::now(),
            crashes: 0,
        }
    }

    fn after(&mut self, pause: Duration) {
        self.now += pause;
    }

    fn admit(&self) -> Admission {
        self.quarantine.admit(self.now, REQUEST)
    }

    /// Runs the request on a server that crashes under it.
    fn crash(&mut self) -> CrashReport {
        let known = self.quarantine.record_start(REQUEST);
        self.crash_of_run(known)
    }

    fn crash_of_run(&mut self, known: u32) -> CrashReport {
        self.crashes += 1;
        let server: Arc<str> = format!("s{}", self.crashes).into();
        let now = self.now;
        self.quarantine.record_end(REQUEST);
        self.quarantine.record_crash(now, REQUEST, &server, known)
    }

    /// Tries the refused request, and its server crashes; returns whether a trial was allowed.
    fn try_and_crash(&mut self) -> bool {
        let Admission::Trial(trial) = self.admit() else {
            return false;
        };
        self.quarantine.add_report(self.now, &trial);
        self.crash();
        true
    }
}

#[test]
fn a_request_is_refused_after_two_consecutive_crashes() {
    let mut vm = Vm::new();
    assert_eq!(vm.admit(), Admission::Unrestricted);
    vm.crash();
    assert_eq!(vm.admit(), Admission::Exclusive);
    vm.crash();
    assert_eq!(vm.admit(), Admission::Refuse(Duration::from_secs(15)));
    assert_eq!(
        vm.quarantine.admit(vm.now, REQUEST + 1),
        Admission::Unrestricted
    );
}

/// Failure: a popular request is refused because several servers crash together for another reason.
#[test]
fn servers_that_crash_together_count_once() {
    let mut vm = Vm::new();
    let runs: Vec<u32> = (0..5)
        .map(|_| vm.quarantine.record_start(REQUEST))
        .collect();
    for known in runs {
        vm.crash_of_run(known);
    }
    assert_eq!(vm.admit(), Admission::Exclusive);
}

#[test]
fn a_suspect_runs_alone_and_an_answer_clears_it() {
    let mut vm = Vm::new();
    let report = vm.crash();
    vm.quarantine.record_start(REQUEST);
    assert_eq!(vm.admit(), Admission::Wait);
    assert_eq!(vm.quarantine.clear(REQUEST), [report.id()]);
    assert_eq!(vm.admit(), Admission::Unrestricted);
}

/// Failure: a known deadly request crashes more than three servers a day, or is refused for good.
#[test]
fn a_refused_request_is_tried_three_times_in_a_day_by_one_vm_of_all() {
    let mut vm = Vm::new();
    vm.crash();
    vm.crash();
    let mut tries = 0;
    for _ in 0..24 * 60 {
        vm.after(Duration::from_secs(60));
        tries += u32::from(vm.try_and_crash());
    }
    assert_eq!(tries, 3);
    vm.after(Duration::from_secs(24 * 3600));
    let Admission::Trial(trial) = vm.admit() else {
        panic!("{:?}", vm.admit());
    };
    vm.quarantine.add_report(vm.now, &trial);
    assert!(
        matches!(vm.admit(), Admission::Refuse(_)),
        "another VM tries"
    );
    vm.quarantine.clear(REQUEST);
    assert_eq!(vm.admit(), Admission::Unrestricted);
}

#[test]
fn reports_and_withdrawals_reach_other_vms() {
    let (mut one, mut other) = (Vm::new(), Vm::new());
    let reports = [one.crash(), one.crash()];
    for report in &reports {
        assert_eq!(
            other.quarantine.add_report(other.now, report),
            ReportStatus::New
        );
        assert_eq!(
            other.quarantine.add_report(other.now, report),
            ReportStatus::Known
        );
    }
    assert!(matches!(other.admit(), Admission::Refuse(_)));
    let ids = one.quarantine.clear(REQUEST);
    assert!(ids.iter().all(|id| other.quarantine.remove_report(id)));
    assert_eq!(other.admit(), Admission::Unrestricted);
}

/// Failure: a VM that missed the withdrawal of a report keeps it for good.
#[test]
fn reports_removed_from_the_store_are_dropped_and_unstored_ones_are_kept() {
    let (mut one, mut other) = (Vm::new(), Vm::new());
    let report = other.crash();
    one.quarantine.add_report(one.now, &report);
    one.crashes = 1;
    one.crash();
    let gone = one.quarantine.remove_missing(&[].into_iter().collect());
    assert_eq!(gone, [report.id()]);
    assert!(one.quarantine.is_suspect(REQUEST), "its own is on its way");
}

#[test]
fn a_suspect_expires_after_a_minute_and_a_refused_request_is_kept() {
    let mut vm = Vm::new();
    let report = vm.crash();
    vm.quarantine.add_report(vm.now, &report);
    vm.after(Duration::from_secs(61));
    assert_eq!(vm.quarantine.expired_reports(vm.now), [report.id()]);
    let report = vm.crash();
    vm.quarantine.add_report(vm.now, &report);
    vm.after(Duration::from_secs(3600));
    assert!(vm.quarantine.expired_reports(vm.now).is_empty());
}

/// Failure: memory grows with the number of requests under which servers crash.
#[test]
fn the_number_of_suspects_is_bounded() {
    let mut vm = Vm::new();
    let server: Arc<str> = "s".into();
    for fingerprint in 0..20_000 {
        vm.quarantine.record_crash(vm.now, fingerprint, &server, 0);
    }
    let suspects = (0..20_000).filter(|fp| vm.quarantine.is_suspect(*fp));
    assert_eq!(suspects.count(), 16 * 1024);
}

#[test]
fn a_fingerprint_tells_requests_apart_and_is_the_same_under_another_id() {
    let request = RequestIdentity {
        method: "POST",
        host: "a.example",
        target: "/book/a",
        caller: [None, None],
        body: b"bed",
    };
    assert_eq!(request.fingerprint(), request.fingerprint());
    let caller = [Some("somebody"), None];
    let others = [
        RequestIdentity {
            method: "PUT",
            ..request
        },
        RequestIdentity {
            host: "b.example",
            ..request
        },
        RequestIdentity {
            target: "/book/b",
            ..request
        },
        RequestIdentity {
            body: b"two beds",
            ..request
        },
        RequestIdentity { caller, ..request },
    ];
    for other in others {
        assert_ne!(request.fingerprint(), other.fingerprint(), "{other:?}");
    }
}

#[test]
fn a_report_is_parsed_from_its_key() {
    let report = Vm::new().crash();
    assert_eq!(CrashReport::parse_id(&report.id()), Some((REQUEST, "s1")));
    assert_eq!(CrashReport::parse_id("no-report"), None);
    assert_eq!(CrashReport::parse_id("crash.g.s1"), None);
}
