//! Cold servers, judged by the requests that they get from all VMs together.

use std::time::{Duration, Instant};

use fastrand::Rng;
use kingcuploft::entry::server_limit::{LimitShare, PerSecond, Turn, limit_owners, limit_share};
use kingcuploft::entry::server_limits::{ColdChange, ServerLimits};
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft::world::ids::{AvailabilityZone, BackendServerName, VmName};

const STEP: Duration = Duration::from_millis(10);

/// How long a server is cold, in steps, and how many requests per second it accepts.
const COLD: usize = 300;
const PER_S: PerSecond = 2.1;

/// The required bound in any second: this multiple of what a server accepts, plus a constant.
const BOUND_FACTOR: f64 = 1.5;
const BOUND_EXTRA: f64 = 8.0;

/// The window of that bound, in steps.
const SECOND: usize = 100;

/// How long a request waits for its turn, in steps.
const MAX_WAIT: usize = 30;

/// How often a zone's servers become cold in a scenario.
const RUNS: usize = 3;

/// How the VMs share the limit of a cold server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sharing {
    /// A few VMs own it and give the others turns.
    Turns,
    /// Each VM has an equal share, and has saved nothing.
    ByHead,
    /// Each VM has an equal share, and has saved a request.
    ByHeadSaved,
    /// Each VM uses the whole limit, like that of a server that reports that it is idle.
    Unshared,
}

/// VMs of four zones, whose callers send five times what the cold servers of one zone accept.
struct Fleet {
    vms: usize,
    servers: usize,
    /// The VM count that each VM assumes, as a fraction of the true one.
    counted: f64,
    sharing: Sharing,
}

fn name(at: usize) -> VmName {
    format!("vm-{at}").into()
}

fn server(at: usize) -> BackendServerName {
    format!("s{at}").into()
}

fn zone(at: usize) -> AvailabilityZone {
    format!("zone-{at}").into()
}

fn owners_of(at: usize, records: &[ZoneRecord]) -> Vec<usize> {
    let owners = limit_owners(&server(at), &zone(0), PER_S, records).into_iter();
    owners.map(|vm| vm.name[3..].parse().unwrap()).collect()
}

impl Fleet {
    fn records(&self) -> Vec<ZoneRecord> {
        let record = |of: usize| {
            let vms = (0..self.vms).filter(|at| at % 4 == of);
            let vms = vms.map(|at| VmEntry {
                name: name(at),
                zone: zone(of),
                address: ([127, 0, 0, 1], 1).into(),
                cpu_milli: 200,
            });
            let vms: Vec<VmEntry> = vms.collect();
            ZoneRecord {
                count: vms.len() as u32,
                settled: true,
                vms: vms.iter().take(8).cloned().collect(),
                ..ZoneRecord::first(&vms[0])
            }
        };
        (0..4).map(record).collect()
    }

    fn part(&self, vm: usize, at: usize, per_s: PerSecond, records: &[ZoneRecord]) -> LimitShare {
        let counted = (self.vms as f64 * self.counted).max(1.0) as usize;
        match self.sharing {
            Sharing::Turns => {
                limit_share(&name(vm), counted, &server(at), &zone(0), per_s, records)
            }
            Sharing::ByHead | Sharing::ByHeadSaved => LimitShare::OneOf(counted),
            Sharing::Unshared => LimitShare::OneOf(1),
        }
    }

    /// Simulates a zone that becomes cold; returns what each server got at each step.
    fn simulate(&self, seed: u64) -> Vec<Vec<usize>> {
        let (begun, mut rng) = (Instant::now(), Rng::with_seed(seed));
        let records = self.records();
        let owners: Vec<Vec<usize>> = (0..self.servers)
            .map(|at| owners_of(at, &records))
            .collect();
        let mut fleet: Vec<ServerLimits> = vec![ServerLimits::default(); self.vms];
        for (vm, limits) in fleet.iter_mut().enumerate() {
            for at in 0..self.servers {
                let lasts = STEP * COLD as u32;
                let part = |per_s| self.part(vm, at, per_s, &records);
                match self.sharing {
                    Sharing::ByHead => {
                        limits.record_named(begun, &server(at), Some(PER_S), part, rng.f64());
                    }
                    Sharing::Turns | Sharing::ByHeadSaved | Sharing::Unshared => {
                        limits.record_cold(begun, &server(at), PER_S, lasts, part, rng.f64());
                    }
                }
            }
        }
        let demand = 5.0 * PER_S * self.servers as f64 * STEP.as_secs_f64() / self.vms as f64;
        let mut got = vec![vec![0; COLD + MAX_WAIT + 1]; self.servers];
        for step in 0..COLD {
            let now = begun + STEP * step as u32;
            for vm in 0..self.vms {
                let calls = demand.floor() as usize + usize::from(rng.f64() < demand.fract());
                for _ in 0..calls {
                    if let Some((at, later)) = self.send(&mut fleet, vm, now, &owners, &mut rng) {
                        got[at][step + later] += 1;
                    }
                }
            }
        }
        got
    }

    /// Sends a request to a server that accepts it at once, or gives a turn in time; returns the server and the steps
    /// until then.
    fn send(
        &self,
        fleet: &mut [ServerLimits],
        vm: usize,
        now: Instant,
        owners: &[Vec<usize>],
        rng: &mut Rng,
    ) -> Option<(usize, usize)> {
        let begin = rng.usize(0..self.servers);
        let mut all = (0..self.servers).map(|at| (begin + at) % self.servers);
        let own = all.find(|at| fleet[vm].wait(now, &server(*at), 0.5).is_zero());
        if let Some(at) = own {
            fleet[vm].record_sent(now, &server(at), rng.f64());
            return Some((at, 0));
        }
        if self.sharing != Sharing::Turns {
            return None;
        }
        (0..3).find_map(|_| {
            let at = rng.usize(0..self.servers);
            let owner = owners[at][rng.usize(0..owners[at].len())];
            match fleet[owner].give_turn(now, &server(at), STEP * MAX_WAIT as u32) {
                Turn::After(after) => Some((at, (after.as_millis() / STEP.as_millis()) as usize)),
                Turn::TooLate(_) => None,
            }
        })
    }

    /// Returns the maximum number of requests that a server got in a second, and the used fraction of what all servers
    /// accept.
    fn measure(&self) -> (usize, f64) {
        let (mut most, mut used) = (0, 0);
        for seed in 0..RUNS as u64 {
            for of_server in self.simulate(seed) {
                let in_second = of_server.windows(SECOND).map(|steps| steps.iter().sum());
                most = most.max(in_second.max().unwrap_or(0));
                used += of_server.iter().take(COLD).sum::<usize>();
            }
        }
        let borne = PER_S * (STEP * COLD as u32).as_secs_f64() * (self.servers * RUNS) as f64;
        (most, used as f64 / borne)
    }
}

/// Deployments: the number of VMs, and of the cold servers of one zone.
const SIZES: [(usize, usize); 3] = [(30, 12), (115, 50), (312, 90)];

fn allowed() -> usize {
    (PER_S * BOUND_FACTOR + BOUND_EXTRA) as usize
}

/// Failure: servers crash because all VMs send them requests at once when their zone is taken back.
#[test]
fn cold_servers_get_what_they_accept_from_all_vms_together_and_no_more() {
    for (vms, servers) in SIZES {
        let fleet = Fleet {
            vms,
            servers,
            counted: 1.0,
            sharing: Sharing::Turns,
        };
        let (most, used) = fleet.measure();
        assert!(most <= allowed(), "{vms} VMs: {most} in a second");
        assert!(
            (0.85..=1.5).contains(&used),
            "{vms} VMs: {used} of what is borne"
        );
    }
}

/// Failure: the bound holds only if the VMs know their number.
#[test]
fn vms_with_a_wrong_vm_count_stay_within_the_bound() {
    for (vms, servers) in SIZES {
        for counted in [0.1, 0.5, 3.0] {
            let fleet = Fleet {
                vms,
                servers,
                counted,
                sharing: Sharing::Turns,
            };
            let (most, _) = fleet.measure();
            assert!(most <= allowed(), "{vms} VMs that count {counted}: {most}");
        }
    }
}

/// Compares other ways to share the limit, which waste capacity or exceed the bound: `--nocapture` prints the results.
#[test]
fn equal_shares_per_vm_waste_capacity_or_exceed_the_bound() {
    for (vms, servers) in SIZES {
        let simulate = |sharing| {
            let measured = Fleet {
                vms,
                servers,
                counted: 1.0,
                sharing,
            }
            .measure();
            println!(
                "{vms} VMs, {sharing:?}: {} in a second, use {:.2}",
                measured.0, measured.1
            );
            measured
        };
        let (_, used) = simulate(Sharing::Turns);
        assert!(simulate(Sharing::ByHead).1 < used / 2.0, "{vms} VMs");
        assert!(simulate(Sharing::ByHeadSaved).0 > allowed(), "{vms} VMs");
        assert!(simulate(Sharing::Unshared).0 > allowed(), "{vms} VMs");
    }
}

/// Failure: a server stays limited once it is warm, or counts as warm by an answer from before it became cold.
#[test]
fn a_server_is_limited_from_becoming_cold_until_it_is_warm() {
    let (now, name) = (Instant::now(), server(0));
    let after = |ms| now + Duration::from_millis(ms);
    let lasts = Duration::from_secs(3);
    let one = |_| LimitShare::OneOf(1);
    let mut limits = ServerLimits::default();
    let turned = limits.record_cold(now, &name, PER_S, lasts, one, 0.5);
    assert_eq!(turned, ColdChange::Cold);
    let again = limits.record_cold(after(100), &name, PER_S, lasts, one, 0.5);
    assert_eq!(again, ColdChange::StillCold);
    assert!(limits.wait(after(100), &name, 0.5).is_zero());
    limits.record_sent(after(100), &name, 0.5);
    assert!(!limits.wait(after(110), &name, 0.5).is_zero());
    assert!(!limits.record_warm(after(120), &name, after(90), one));
    assert_eq!(
        limits.expire_cold(after(3_000), |_, _| LimitShare::OneOf(1)),
        []
    );
    assert!(limits.record_warm(after(3_010), &name, after(3_000), one));
    assert!(limits.is_empty());
    limits.record_cold(after(4_000), &name, PER_S, lasts, one, 0.5);
    let ended = limits.expire_cold(after(7_000), |_, _| LimitShare::OneOf(1));
    assert_eq!((ended, limits.is_empty()), (vec![name], true));
}

/// Failure: a limit that a server names is dropped when the server turns warm, or the other way round.
#[test]
fn a_cold_server_that_names_a_limit_has_the_lower_of_both() {
    let (now, name) = (Instant::now(), server(0));
    let after = |ms| now + Duration::from_millis(ms);
    let one = |_| LimitShare::OneOf(1);
    let mut limits = ServerLimits::default();
    limits.record_named(now, &name, Some(1.0), one, 0.5);
    limits.record_cold(now, &name, PER_S, Duration::from_secs(1), one, 0.5);
    assert_eq!(limits.per_s(&name), Some(1.0));
    assert_eq!((limits.len(), limits.cold_count()), (1, 1));
    limits.expire_cold(after(1_000), |_, _| LimitShare::OneOf(1));
    assert_eq!((limits.per_s(&name), limits.cold_count()), (Some(1.0), 0));
    limits.record_cold(after(1_000), &name, 0.5, Duration::from_secs(1), one, 0.5);
    assert_eq!(limits.per_s(&name), Some(0.5));
    assert!(
        limits
            .record_named(after(1_100), &name, None, one, 0.5)
            .is_some()
    );
    assert_eq!((limits.per_s(&name), limits.len()), (Some(0.5), 0));
}

/// Failure: VMs that restart count as saved what they sent before.
#[test]
fn restarted_vms_send_a_cold_server_no_more_than_it_accepts() {
    let (vms, per_s, begun) = (20, 20.0, Instant::now());
    let part = |_| LimitShare::OneOf(vms);
    let start = |at: Instant| {
        let mut limits = ServerLimits::started_at(at);
        limits.record_cold(at, &server(0), per_s, Duration::from_secs(3), part, 0.5);
        limits
    };
    let mut fleet: Vec<ServerLimits> = vec![ServerLimits::default(); vms];
    for limits in &mut fleet {
        limits.record_cold(begun, &server(0), per_s, Duration::from_secs(3), part, 0.5);
    }
    let mut sent = 0;
    for step in 0..SECOND as u32 {
        let now = begun + STEP * step;
        if step == 40 {
            fleet.clear();
        }
        if step == 70 {
            fleet.extend((0..vms).map(|_| start(now)));
        }
        for limits in &mut fleet {
            if limits.wait(now, &server(0), 0.5).is_zero() {
                limits.record_sent(now, &server(0), 0.5);
                sent += 1;
            }
        }
    }
    let bound = BOUND_FACTOR * per_s + BOUND_EXTRA;
    assert!(f64::from(sent) <= bound, "{sent} of {bound}");
}
