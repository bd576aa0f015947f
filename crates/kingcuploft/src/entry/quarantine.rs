//! Quarantine of requests that crash backend servers.
//!
//! Load pattern: a request crashes each server that runs it, and is sent again to any VM, many times a second.
//! Forwarded like any other, it crashes all servers of its service, again and again. A server that crashes for another
//! reason takes innocent requests with it, and some of these are sent by many callers.
//!
//! A request under which a server crashed is suspect, and runs alone. The first answer clears it. If the next server
//! crashes under it as well, the request is refused, and one VM of all tries it again after ever longer pauses. Servers
//! that crash together count once: only a run that began when the last crash was known counts as another one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::crash_report::CrashReport;
use super::fingerprint::Fingerprint;
use super::notice_id::NoticeId;
use crate::utils::{HashMap, HashSet};

/// Number of consecutive crashes after which a request is refused: a single server may crash for any reason.
const MAX_CRASHES: u32 = 2;

/// The first pauses before a refused request is tried again.
const FIRST_PAUSES: [Duration; 3] = [
    Duration::from_secs(15),
    Duration::from_secs(2 * 60),
    Duration::from_secs(20 * 60),
];

/// The pause before each further trial.
const LONGEST_PAUSE: Duration = Duration::from_secs(24 * 3600);

/// Prefix of a trial's name, which takes the place of the server's name in a report.
const TRIAL_PREFIX: &str = "trial-";

/// What stands before a server's name that begins like a trial's, or like this.
const SERVER_MARK: &str = "~";

/// Retry delay for a caller whose request another VM has just begun to try.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long a suspect request is remembered after its last report.
const SUSPECT_TTL: Duration = Duration::from_secs(60);

/// How long a refused request is remembered after its last report.
const REFUSED_TTL: Duration = Duration::from_secs(48 * 3600);

/// Maximum number of requests that are remembered: a few megabytes.
const MAX_SUSPECTS: usize = 16 * 1024;

/// Whether a request may be sent to a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Unrestricted,
    /// It may, and no other run of it may start at this VM meanwhile.
    Exclusive,
    /// Another run of it is in progress at this VM.
    Wait,
    /// It may be tried by the VM that first writes this report to the store.
    Trial(CrashReport),
    /// It may not; the caller may retry after this time.
    Refuse(Duration),
}

/// Whether a report was known before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportStatus {
    /// It is new.
    New,
    /// It was known.
    Known,
}

/// The origin of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// This VM has observed the crash, and the store may not have the report yet.
    Observed,
    /// The store has the report.
    Store,
}

#[derive(Clone, Debug)]
struct Suspect {
    reports: HashMap<Arc<str>, (u32, Source)>,
    /// When the last new report arrived.
    last_report_at: Instant,
    running: u32,
}

impl Suspect {
    fn in_a_row(&self) -> u32 {
        let rows = self.reports.values().map(|(in_a_row, _)| *in_a_row);
        rows.max().unwrap_or(0)
    }

    /// Returns the number of consecutive crashes by the reports of servers alone: a trial counts with the server that
    /// crashes under it.
    fn crashes_in_a_row(&self) -> u32 {
        let servers = self
            .reports
            .iter()
            .filter(|(of, _)| !of.starts_with(TRIAL_PREFIX));
        let rows = servers.map(|(_, (in_a_row, _))| *in_a_row);
        rows.max().unwrap_or(0)
    }

    fn is_refused(&self) -> bool {
        self.in_a_row() >= MAX_CRASHES
    }
}

/// The requests under which servers crashed.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Returns whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of refused requests.
    pub fn refused(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_refused()).count()
    }

    /// Returns whether servers have crashed under a request.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Returns whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(Suspect::is_refused)
    }

    /// Decides whether a request may be sent now.
    pub fn admit(&self, now: Instant, fingerprint: Fingerprint) -> Admission {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Admission::Unrestricted;
        };
        if !suspect.is_refused() {
            return match suspect.running {
                0 => Admission::Exclusive,
                _ => Admission::Wait,
            };
        }
        let in_a_row = suspect.in_a_row();
        let rest =
            pause(in_a_row).saturating_sub(now.saturating_duration_since(suspect.last_report_at));
        match rest.is_zero() {
            false => Admission::Refuse(rest),
            true if suspect.running > 0 => Admission::Refuse(TRIAL_RETRY_DELAY),
            true => Admission::Trial(trial(fingerprint, in_a_row + 1)),
        }
    }

    /// Returns the retry delay for the caller of a request that another VM is trying.
    pub fn trial_retry_delay() -> Duration {
        TRIAL_RETRY_DELAY
    }

    /// Records that a request starts to run; returns the number of consecutive crashes known under it.
    pub fn record_start(&mut self, fingerprint: Fingerprint) -> u32 {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return 0;
        };
        suspect.running += 1;
        suspect.crashes_in_a_row()
    }

    /// Records that a run has ended, with whatever result.
    pub fn record_end(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.running = suspect.running.saturating_sub(1);
        }
    }

    /// Records that a server crashed under a run that started when `known` consecutive crashes were known; returns the
    /// report for the other VMs.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        server: &Arc<str>,
        known: u32,
    ) -> CrashReport {
        let report = CrashReport {
            fingerprint,
            of: in_reports(server),
            in_a_row: known + 1,
        };
        self.add(now, &report, Source::Observed);
        report
    }

    /// Records that a request was answered, so it does not crash servers. Returns the reports to withdraw.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> Vec<NoticeId> {
        let suspect = self.suspects.remove(&fingerprint);
        let reports = suspect.into_iter().flat_map(|suspect| suspect.reports);
        let ids = reports.map(|(of, (in_a_row, _))| CrashReport {
            fingerprint,
            of,
            in_a_row,
        });
        ids.map(|report| report.id()).collect()
    }

    /// Adds a report that the store has.
    pub fn add_report(&mut self, now: Instant, report: &CrashReport) -> ReportStatus {
        self.add(now, report, Source::Store)
    }

    /// Removes a report that the store no longer has; returns whether it was known.
    pub fn remove_report(&mut self, id: &str) -> bool {
        let Some((fingerprint, of)) = CrashReport::parse_id(id) else {
            return false;
        };
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let known = suspect.reports.remove(of).is_some();
        if suspect.reports.is_empty() {
            self.suspects.remove(&fingerprint);
        }
        known
    }

    /// Applies the full list of report keys that the store has; returns the keys of the removed reports.
    pub fn remove_missing(&mut self, ids: &HashSet<NoticeId>) -> Vec<NoticeId> {
        let gone: Vec<NoticeId> = self
            .stored_reports()
            .map(|report| report.id())
            .filter(|id| !ids.contains(id))
            .collect();
        for id in &gone {
            self.remove_report(id);
        }
        gone
    }

    /// Returns the reports that the store has.
    pub fn stored_reports(&self) -> impl Iterator<Item = CrashReport> {
        self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            let reports = suspect.reports.iter();
            let stored = reports.filter(|(_, (_, source))| *source == Source::Store);
            stored.map(|(of, (in_a_row, _))| CrashReport {
                fingerprint: *fingerprint,
                of: of.clone(),
                in_a_row: *in_a_row,
            })
        })
    }

    /// Returns the keys of the reports that have expired, as their requests were not sent again for long.
    pub fn expired_reports(&self, now: Instant) -> Vec<NoticeId> {
        let old = self.stored_reports().filter(|report| {
            self.suspects
                .get(&report.fingerprint)
                .is_some_and(|suspect| is_expired(now, suspect))
        });
        old.map(|report| report.id()).collect()
    }

    fn add(&mut self, now: Instant, report: &CrashReport, source: Source) -> ReportStatus {
        let is_new = !self.suspects.contains_key(&report.fingerprint);
        if is_new && self.suspects.len() >= MAX_SUSPECTS {
            return ReportStatus::Known;
        }
        let suspects = self.suspects.entry(report.fingerprint);
        let suspect = suspects.or_insert_with(|| Suspect {
            reports: HashMap::default(),
            last_report_at: now,
            running: 0,
        });
        let entry = (report.in_a_row, source);
        match suspect.reports.insert(report.of.clone(), entry) {
            Some((in_a_row, before)) => {
                let kept = match before {
                    Source::Store => Source::Store,
                    Source::Observed => source,
                };
                let most = in_a_row.max(report.in_a_row);
                suspect.reports.insert(report.of.clone(), (most, kept));
                match (before, source) {
                    (Source::Observed, Source::Store) => ReportStatus::New,
                    _ => ReportStatus::Known,
                }
            }
            None => {
                suspect.last_report_at = now;
                ReportStatus::New
            }
        }
    }
}

/// Returns the name of a server as reports hold it, which differs from that of any trial.
fn in_reports(server: &Arc<str>) -> Arc<str> {
    match server.starts_with(TRIAL_PREFIX) || server.starts_with(SERVER_MARK) {
        true => format!("{SERVER_MARK}{server}").into(),
        false => server.clone(),
    }
}

fn is_expired(now: Instant, suspect: &Suspect) -> bool {
    let age = now.saturating_duration_since(suspect.last_report_at);
    match suspect.is_refused() {
        true => age >= REFUSED_TTL,
        false => age >= SUSPECT_TTL,
    }
}

fn pause(in_a_row: u32) -> Duration {
    let at = in_a_row.saturating_sub(MAX_CRASHES) as usize;
    FIRST_PAUSES.get(at).copied().unwrap_or(LONGEST_PAUSE)
}

fn trial(fingerprint: Fingerprint, in_a_row: u32) -> CrashReport {
    CrashReport {
        fingerprint,
        of: format!("{TRIAL_PREFIX}{in_a_row}").into(),
        in_a_row,
    }
}
