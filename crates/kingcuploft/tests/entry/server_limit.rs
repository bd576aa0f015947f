//! A server that names a limit for all VMs together, judged by what it gets.

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

/// How long each fleet is played, in steps.
const DAY: usize = 12_000;

/// When the VMs have requests for the server.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// At every moment.
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

/// VMs of six zones, of each of which a record names eight.
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

/// What a server got of a fleet.
struct Got {
    most_in_window: usize,
    per_s: f64,
}

fn play(
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
    let mut sent = vec![0; DAY];
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
        per_s: sent.iter().sum::<usize>() as f64 / (STEP.as_secs_f64() * DAY as f64),
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

/// Guards against VMs that together send more than one and a half times a limit, and five.
#[test]
fn all_vms_together_keep_to_a_limit_and_use_it() {
    for (vms, per_s) in FLEETS {
        let got = play(vms, per_s, Demand::Always, |_| records(vms));
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

/// Guards against requests that all VMs have saved up while nobody called.
#[test]
fn a_crowd_after_a_quiet_time_gets_no_more_than_the_limit() {
    for (vms, per_s) in FLEETS {
        let got = play(vms, per_s, Demand::Bursts, |_| records(vms));
        let most = got.most_in_window;
        assert!(
            most <= allowed(per_s),
            "{vms} VMs, {per_s} a second: {most}"
        );
    }
}

/// Guards against two sets of VMs that both take themselves for those that use a limit.
#[test]
fn vms_that_know_different_records_keep_to_a_limit() {
    for (vms, per_s) in FLEETS {
        let halves = |at: usize| match at % 2 {
            0 => records(vms),
            _ => {
                let mut others = records(vms);
                others.retain(|record| &*record.zone != "zone-1");
                others
            }
        };
        let got = play(vms, per_s, Demand::Always, halves);
        let most = got.most_in_window;
        assert!(
            most <= allowed(per_s),
            "{vms} VMs, {per_s} a second: {most}"
        );
    }
}

#[test]
fn a_vm_that_knows_no_other_does_not_take_a_limit_for_its_own() {
    let server = "s".into();
    let part = limit_share(&name(3), 1000, &server, &"zone-1".into(), 2.0, &[]);
    assert_eq!(part, LimitShare::NowAndThen(1000));
}

/// Guards against a limit that is kept after the server has stopped naming it, and against one dropped for an answer
/// that was on its way when the server began.
#[test]
fn a_limit_holds_as_long_as_the_server_names_it() {
    let now = Instant::now();
    let server: BackendServerName = "s".into();
    let mut limits = ServerLimits::default();
    let hear = |limits: &mut ServerLimits, after_ms, named| {
        let at = now + Duration::from_millis(after_ms);
        limits.record_named(at, &server, named, |_| LimitShare::OneOf(1), 0.5)
    };
    let notice = LimitNotice {
        server: server.clone(),
        per_s: 2.0,
    };
    assert_eq!(hear(&mut limits, 0, None), None);
    let named = hear(&mut limits, 0, Some(2.0));
    assert_eq!(named, Some(LimitChange::Named(notice.clone())));
    assert_eq!(hear(&mut limits, 100, None), None);
    let changed = hear(&mut limits, 200, Some(4.0));
    assert_eq!(changed, Some(LimitChange::Changed { before: 2.0 }));
    assert_eq!(limits.per_s(&server), Some(4.0));
    assert_eq!(
        hear(&mut limits, 900, None),
        Some(LimitChange::Ended(notice.id()))
    );
    assert!(limits.is_empty());
}

#[test]
fn limits_are_told_to_other_vms_and_withdrawn() {
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

/// What servers of a service got that all name a limit, where callers come to all VMs alike and ask for twice as much.
struct Service {
    vms: usize,
    servers: usize,
    per_s: PerSecond,
    /// How long a request waits for its turn, in steps.
    patience: usize,
}

impl Service {
    /// Returns the limits as each VM keeps them, by VM and server.
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

    /// Returns which VMs keep the limit of each server.
    fn keepers(&self) -> Vec<Vec<usize>> {
        let records = records(self.vms);
        let at = |vm: &VmEntry| vm.name.strip_prefix("vm-").unwrap().parse().unwrap();
        let keepers = |server| {
            let (name, zone) = (server_name(server), zone_of(server));
            let keepers = limit_owners(&name, &zone, self.per_s, &records);
            keepers.into_iter().map(at).collect()
        };
        (0..self.servers).map(keepers).collect()
    }

    /// Plays VMs that use what they keep themselves, and ask for turns at three other servers.
    fn play(&self) -> (usize, f64) {
        let (begun, mut rng) = (Instant::now(), fastrand::Rng::with_seed(11));
        let (mut fleet, keepers) = (self.limits(begun, &mut rng), self.keepers());
        let demand = 2.0 * self.per_s * self.servers as f64 * STEP.as_secs_f64() / self.vms as f64;
        let mut sent = vec![vec![0; SHORT_DAY + self.patience + 1]; self.servers];
        for step in 0..SHORT_DAY {
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
                        let keeper = keepers[server][rng.usize(0..keepers[server].len())];
                        let turn =
                            fleet[keeper][server].give_turn(now, STEP * self.patience as u32);
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
        let named = self.per_s * self.servers as f64 * STEP.as_secs_f64() * SHORT_DAY as f64;
        (most, all as f64 / named)
    }
}

/// How long a service is played, in steps.
const SHORT_DAY: usize = 1200;

fn server_name(at: usize) -> BackendServerName {
    format!("s{at}").into()
}

fn zone_of(server: usize) -> AvailabilityZone {
    format!("zone-{}", server % 6).into()
}

/// Guards against limits that go to waste, as they are kept by other VMs than those that the callers come to.
#[test]
fn limits_of_all_servers_are_used_by_the_callers_of_all_vms() {
    for (vms, servers, per_s) in [
        (13, 11, 1.0),
        (13, 11, 3.0),
        (115, 68, 1.0),
        (312, 210, 1.0),
    ] {
        for patience in [0, 4, 20] {
            let service = Service {
                vms,
                servers,
                per_s,
                patience,
            };
            let (most, used) = service.play();
            let fleet = format!("{vms} VMs, {servers} servers, {per_s}, {patience} steps");
            assert!(most <= allowed(per_s), "{fleet}: {most}");
            assert!(used >= 0.85, "{fleet}: {used}");
        }
    }
}

/// Guards against a limit that is lowered and stays as it was at the VMs that give turns by it.
#[test]
fn a_limit_that_changes_is_news_once() {
    let (now, name) = (Instant::now(), BackendServerName::from("s"));
    let mut limits = ServerLimits::default();
    let mut heard =
        |per_s| limits.record_named(now, &name, Some(per_s), |_| LimitShare::OneOf(1), 0.5);
    assert!(matches!(heard(6.0), Some(LimitChange::Named(_))));
    assert_eq!(heard(6.0), None);
    assert_eq!(heard(1.0), Some(LimitChange::Changed { before: 6.0 }));
    assert_eq!(heard(1.0), None);
    assert_eq!(limits.per_s(&name), Some(1.0));
}
