//! A server that names a limit for all VMs together, judged by the requests that it gets.

use std::time::{Duration, Instant};

use kingcuploft::entry::server_limit::{
    LimitShare, PerSecond, ServerLimit, Turn, limit_owners, limit_share,
};
use kingcuploft::entry::server_limits::{LimitChange, LimitNotice, ServerLimits};
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft::world::ids::{AvailabilityZone, BackendServerName, VmName};

const STEP: Duration = Duration::from_millis(50);

/// The window in which requests are counted, in steps.
const WINDOW: usize = 80;

/// How long each fleet is simulated, in steps.
const STEPS: usize = 12_000;

/// When the VMs have requests for the server.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// At every step.
    Always,
    /// For four seconds of each two minutes, all at once.
    Bursts,
}

impl Demand {
    fn is_there(self, step: usize) -> bool {
        match self {
            Self::Always => true,
            Self::Bursts => step % 2400 < WINDOW,
        }
    }
}

fn name(at: usize) -> VmName {
    format!("vm-{at}").into()
}

/// Returns the records of six zones, each of which names eight VMs.
fn records(vms: usize) -> Vec<ZoneRecord> {
    let zone = |zone: usize| {
        let own: Vec<VmEntry> = (0..vms)
            .filter(|at| at % 6 == zone)
            .map(|at| VmEntry {
                name: name(at),
                zone: format!("zone-{zone}").into(),
                address: ([127, 0, 0, 1], 1).into(),
                cpu_milli: 200,
            })
            .collect();
        let first = ZoneRecord::first(own.first()?);
        Some(ZoneRecord {
            count: own.len() as u32,
            vms: own.into_iter().take(8).collect(),
            settled: true,
            ..first
        })
    };
    (0..6).filter_map(zone).collect()
}

/// The requests that a server got from a fleet.
struct Got {
    most_in_window: usize,
    per_s: f64,
}

fn simulate(
    vms: usize,
    per_s: PerSecond,
    demand: Demand,
    knows: impl Fn(usize) -> Vec<ZoneRecord>,
) -> Got {
    let begun = Instant::now();
    let mut rng = fastrand::Rng::with_seed(7);
    let (server, zone): (BackendServerName, _) = ("s".into(), "zone-1".into());
    let parts = (0..vms).map(|at| limit_share(&name(at), vms, &server, &zone, per_s, &knows(at)));
    let parts: Vec<LimitShare> = parts.collect();
    let mut fleet: Vec<ServerLimit> = parts
        .iter()
        .map(|part| ServerLimit::new(begun, per_s, *part, rng.f64()))
        .collect();
    let mut sent = vec![0; STEPS];
    for (step, sent) in sent.iter_mut().enumerate() {
        let now = begun + STEP * step as u32;
        if !demand.is_there(step) {
            continue;
        }
        for limit in &mut fleet {
            while limit.wait(now, rng.f64()).is_zero() {
                limit.record_sent(now, rng.f64());
                *sent += 1;
            }
        }
    }
    let windows = sent.windows(WINDOW).map(|window| window.iter().sum());
    Got {
        most_in_window: windows.max().unwrap_or(0),
        per_s: sent.iter().sum::<usize>() as f64 / (STEP.as_secs_f64() * STEPS as f64),
    }
}

const FLEETS: [(usize, PerSecond); 9] = [
    (1, 3.0),
    (13, 0.0),
    (13, 0.2),
    (13, 1.0),
    (13, 1.2),
    (13, 40.0),
    (115, 5.0),
    (312, 1.0),
    (312, 30.0),
];

fn allowed(per_s: PerSecond) -> usize {
    (1.5 * 4.0 * per_s + 5.0) as usize
}

/// Failure: the VMs together send more than one and a half times a limit, plus five.
#[test]
fn all_vms_together_keep_to_a_limit_and_use_it() {
    for (vms, per_s) in FLEETS {
        let got = simulate(vms, per_s, Demand::Always, |_| records(vms));
        let most = got.most_in_window;
        assert!(
            most <= allowed(per_s),
            "{vms} VMs, {per_s} a second: {most}"
        );
        assert!(
            got.per_s >= 0.7 * per_s,
            "{vms} VMs, {per_s}: {}",
            got.per_s
        );
    }
}

/// Failure: all VMs have saved up requests during a quiet time, and send them at once.
#[test]
fn a_burst_after_a_quiet_time_gets_no_more_than_the_limit() {
    for (vms, per_s) in FLEETS {
        let got = simulate(vms, per_s, Demand::Bursts, |_| records(vms));
        let most = got.most_in_window;
        assert!(
            most <= allowed(per_s),
            "{vms} VMs, {per_s} a second: {most}"
        );
    }
}

/// Failure: two sets of VMs both consider themselves the owners of a limit.
#[test]
fn vms_with_different_records_keep_to_a_limit() {
    for (vms, per_s) in FLEETS {
        let halves = |at: usize| match at % 2 {
            0 => records(vms),
            _ => {
                let mut others = records(vms);
                others.retain(|record| &*record.zone != "zone-1");
                others
            }
        };
        let got = simulate(vms, per_s, Demand::Always, halves);
        let most = got.most_in_window;
        assert!(
            most <= allowed(per_s),
            "{vms} VMs, {per_s} a second: {most}"
        );
    }
}

#[test]
fn a_vm_without_records_does_not_own_a_limit() {
    let server = "s".into();
    let part = limit_share(&name(3), 1000, &server, &"zone-1".into(), 2.0, &[]);
    assert_eq!(part, LimitShare::NowAndThen(1000));
}

/// Failure: a limit is kept after the server has stopped naming it, or is dropped for an answer that the server gave
/// before it named the limit.
#[test]
fn a_limit_holds_as_long_as_the_server_names_it() {
    let now = Instant::now();
    let server: BackendServerName = "s".into();
    let mut limits = ServerLimits::default();
    let answer = |limits: &mut ServerLimits, after_ms, named| {
        let at = now + Duration::from_millis(after_ms);
        limits.record_named(at, &server, named, |_| LimitShare::OneOf(1), 0.5)
    };
    let notice = LimitNotice {
        server: server.clone(),
        per_s: 2.0,
    };
    assert_eq!(answer(&mut limits, 0, None), None);
    let named = answer(&mut limits, 0, Some(2.0));
    assert_eq!(named, Some(LimitChange::Named(notice.clone())));
    assert_eq!(answer(&mut limits, 100, None), None);
    let changed = answer(&mut limits, 200, Some(4.0));
    assert_eq!(changed, Some(LimitChange::Changed { before: 2.0 }));
    assert_eq!(limits.per_s(&server), Some(4.0));
    assert_eq!(
        answer(&mut limits, 900, None),
        Some(LimitChange::Ended(notice.id()))
    );
    assert!(limits.is_empty());
}

#[test]
fn limit_notices_are_added_and_removed() {
    let now = Instant::now();
    let notice = LimitNotice {
        server: "s".into(),
        per_s: 1.0,
    };
    let mut limits = ServerLimits::default();
    assert!(limits.add_notice(now, &notice, LimitShare::NowAndThen(13), 0.5));
    assert!(!limits.add_notice(now, &notice, LimitShare::NowAndThen(13), 0.5));
    assert!(!limits.wait(now, "s", 0.5).is_zero());
    assert!(limits.wait(now, "other", 0.5).is_zero());
    assert!(limits.stored_notices().eq([notice.clone()]));
    assert_eq!(
        limits.remove_missing(&[].into_iter().collect()),
        [notice.id()]
    );
    assert!(limits.add_notice(now, &notice, LimitShare::OneOf(1), 0.5));
    assert!(limits.remove_notice(&notice.id()));
    assert!(limits.add_notice(now, &notice, LimitShare::OneOf(1), 0.5));
    assert_eq!(limits.retain_in_use(|_| false), [notice.id()]);
    assert!(limits.is_empty());
}

/// A service whose servers all name a limit; callers spread evenly over all VMs and send twice as many requests.
struct Service {
    vms: usize,
    servers: usize,
    per_s: PerSecond,
    /// How long a request waits for its turn, in steps.
    max_wait: usize,
}

impl Service {
    /// Returns the limits of each VM, by VM and server.
    fn limits(&self, begun: Instant, rng: &mut fastrand::Rng) -> Vec<Vec<ServerLimit>> {
        let records = records(self.vms);
        let limit = |vm: usize, server: usize, chance: f64| {
            let (server, zone) = (server_name(server), zone_of(server));
            let part = limit_share(&name(vm), self.vms, &server, &zone, self.per_s, &records);
            ServerLimit::new(begun, self.per_s, part, chance)
        };
        let of_vm = |vm| {
            (0..self.servers)
                .map(|server| limit(vm, server, rng.f64()))
                .collect()
        };
        (0..self.vms).map(of_vm).collect()
    }

    /// Returns the VMs that own the limit of each server.
    fn owners(&self) -> Vec<Vec<usize>> {
        let records = records(self.vms);
        let at = |vm: &VmEntry| vm.name.strip_prefix("vm-").unwrap().parse().unwrap();
        let owners = |server| {
            let (name, zone) = (server_name(server), zone_of(server));
            let owners = limit_owners(&name, &zone, self.per_s, &records);
            owners.into_iter().map(at).collect()
        };
        (0..self.servers).map(owners).collect()
    }

    /// Simulates VMs that use the limits that they own, and ask for turns at three other servers.
    fn simulate(&self) -> (usize, f64) {
        let (begun, mut rng) = (Instant::now(), fastrand::Rng::with_seed(11));
        let (mut fleet, owners) = (self.limits(begun, &mut rng), self.owners());
        let demand = 2.0 * self.per_s * self.servers as f64 * STEP.as_secs_f64() / self.vms as f64;
        let mut sent = vec![vec![0; SHORT_STEPS + self.max_wait + 1]; self.servers];
        for step in 0..SHORT_STEPS {
            let now = begun + STEP * step as u32;
            for vm in 0..self.vms {
                let calls = demand.floor() as usize + usize::from(rng.f64() < demand.fract());
                for _ in 0..calls {
                    let own = fleet[vm]
                        .iter_mut()
                        .position(|l| l.wait(now, 0.5).is_zero());
                    if let Some(server) = own {
                        fleet[vm][server].record_sent(now, rng.f64());
                        sent[server][step] += 1;
                        continue;
                    }
                    for _ in 0..3 {
                        let server = rng.usize(0..self.servers);
                        let owner = owners[server][rng.usize(0..owners[server].len())];
                        let turn = fleet[owner][server].give_turn(now, STEP * self.max_wait as u32);
                        if let Turn::After(after) = turn {
                            let steps = after.as_secs_f64() / STEP.as_secs_f64();
                            sent[server][step + steps.round() as usize] += 1;
                            break;
                        }
                    }
                }
            }
        }
        let windows = sent.iter().flat_map(|sent| sent.windows(WINDOW));
        let most = windows.map(|window| window.iter().sum()).max().unwrap_or(0);
        let all: usize = sent.iter().flatten().sum();
        let named = self.per_s * self.servers as f64 * STEP.as_secs_f64() * SHORT_STEPS as f64;
        (most, all as f64 / named)
    }
}

/// How long a service is simulated, in steps.
const SHORT_STEPS: usize = 1200;

fn server_name(at: usize) -> BackendServerName {
    format!("s{at}").into()
}

fn zone_of(server: usize) -> AvailabilityZone {
    format!("zone-{}", server % 6).into()
}

/// Failure: limits are left unused because other VMs own them than those that the callers use.
#[test]
fn limits_of_all_servers_are_used_by_the_callers_of_all_vms() {
    for (vms, servers, per_s) in [
        (13, 11, 1.0),
        (13, 11, 3.0),
        (115, 68, 1.0),
        (312, 210, 1.0),
    ] {
        for max_wait in [0, 4, 20] {
            let service = Service {
                vms,
                servers,
                per_s,
                max_wait,
            };
            let (most, used) = service.simulate();
            let fleet = format!("{vms} VMs, {servers} servers, {per_s}, {max_wait} steps");
            assert!(most <= allowed(per_s), "{fleet}: {most}");
            assert!(used >= 0.85, "{fleet}: {used}");
        }
    }
}

/// Failure: a limit is lowered, and the VMs that give turns keep the old one.
#[test]
fn a_changed_limit_is_reported_once() {
    let (now, name) = (Instant::now(), BackendServerName::from("s"));
    let mut limits = ServerLimits::default();
    let mut answer =
        |per_s| limits.record_named(now, &name, Some(per_s), |_| LimitShare::OneOf(1), 0.5);
    assert!(matches!(answer(6.0), Some(LimitChange::Named(_))));
    assert_eq!(answer(6.0), None);
    assert_eq!(answer(1.0), Some(LimitChange::Changed { before: 6.0 }));
    assert_eq!(answer(1.0), None);
    assert_eq!(limits.per_s(&name), Some(1.0));
}
