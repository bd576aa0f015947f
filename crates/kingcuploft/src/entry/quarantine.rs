//! Which requests are kept from the backend servers, as servers end under them.
//!
//! Load pattern: a request crashes each server that begins to run it, and comes again at any VM, many times a second.
//! Sent on like any other, it ends all servers of its service, again and again. A server that ends for another
//! reason takes innocent requests with it, and some of these are asked for by many callers.
//!
//! A request under which a server ended is suspect, and runs alone. It is cleared by the first answer. If the next server
//! ends under it as well, it is refused, and tried again at ever longer pauses, by one VM of all. Servers that end
//! together count once: only a run that began when the last end was known counts one more.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::crash_report::CrashReport;
use super::fingerprint::Fingerprint;
use super::notice_id::NoticeId;
use crate::utils::{HashMap, HashSet};

/// How many servers end in a row before a request is refused: one may end for any reason.
const MOST_ENDS: u32 = 2;

/// The pauses before a refused request is tried again; the last is repeated.
const PAUSES: [Duration; 4] = [
    Duration::from_secs(15),
    Duration::from_secs(2 * 60),
    Duration::from_secs(20 * 60),
    Duration::from_secs(24 * 3600),
];

/// What the reports of trials begin with, in place of a server's name.
const TRIAL: &str = "trial-";

/// When a caller may come back whose request another VM has just begun to try.
const TRIAL_UNDER_WAY: Duration = Duration::from_secs(1);

/// How long a suspect is remembered that does not come again.
const SUSPECT_FOR: Duration = Duration::from_secs(60);

/// How long a refused request is remembered that is not tried again.
const REFUSED_FOR: Duration = Duration::from_secs(48 * 3600);

/// The most requests that are remembered: a few megabytes.
const MOST_SUSPECTS: usize = 16 * 1024;

/// Whether a request may be sent to a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Unrestricted,
    /// It may, and no other run of it at this VM meanwhile.
    Exclusive,
    /// Another run of it is under way at this VM.
    Wait,
    /// It may be tried by whoever writes this report first.
    Trial(CrashReport),
    /// It may not; the caller may come back after this time.
    Refuse(Duration),
}

/// Whether a report was there before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportStatus {
    /// It is news.
    New,
    /// It was known.
    Known,
}

/// Where a report is known from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// This VM has seen it, and the store may not have it yet.
    Seen,
    /// The store has it.
    Store,
}

#[derive(Clone, Debug)]
struct Suspect {
    reports: HashMap<Arc<str>, (u32, Source)>,
    /// When the last report was heard of.
    last: Instant,
    running: u32,
}

impl Suspect {
    fn in_a_row(&self) -> u32 {
        let rows = self.reports.values().map(|(in_a_row, _)| *in_a_row);
        rows.max().unwrap_or(0)
    }

    /// The same by servers alone: a trial counts with the server that ends under it.
    fn ended_in_a_row(&self) -> u32 {
        let servers = self.reports.iter().filter(|(of, _)| !of.starts_with(TRIAL));
        let rows = servers.map(|(_, (in_a_row, _))| *in_a_row);
        rows.max().unwrap_or(0)
    }

    fn is_refused(&self) -> bool {
        self.in_a_row() >= MOST_ENDS
    }
}

/// The requests under which servers ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Returns whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how many requests are refused.
    pub fn refused(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_refused()).count()
    }

    /// Returns whether servers have ended under a request.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Returns whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(Suspect::is_refused)
    }

    /// Says whether a request may be sent now.
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
        let rest = pause(in_a_row).saturating_sub(now.saturating_duration_since(suspect.last));
        match rest.is_zero() {
            false => Admission::Refuse(rest),
            true if suspect.running > 0 => Admission::Refuse(TRIAL_UNDER_WAY),
            true => Admission::Trial(trial(fingerprint, in_a_row + 1)),
        }
    }

    /// Returns when the caller may come back of a request that another VM tries.
    pub fn trial_retry_delay() -> Duration {
        TRIAL_UNDER_WAY
    }

    /// Takes note that a request begins to run; returns how many servers are known to have ended in a row under it.
    pub fn record_start(&mut self, fingerprint: Fingerprint) -> u32 {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return 0;
        };
        suspect.running += 1;
        suspect.ended_in_a_row()
    }

    /// Takes note that a run has ended, however it did.
    pub fn record_end(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.running = suspect.running.saturating_sub(1);
        }
    }

    /// Takes in that a server ended under a run that began when so many ends in a row were known; returns what the others
    /// are to be told.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        server: &Arc<str>,
        known: u32,
    ) -> CrashReport {
        let report = CrashReport {
            fingerprint,
            of: server.clone(),
            in_a_row: known + 1,
        };
        self.add(now, &report, Source::Seen);
        report
    }

    /// Takes in that a request was answered: servers did not end of it. Returns the reports to withdraw.
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

    /// Takes in a report that the store has.
    pub fn add_report(&mut self, now: Instant, report: &CrashReport) -> ReportStatus {
        self.add(now, report, Source::Store)
    }

    /// Takes in that the store no longer has a report; returns whether it was known.
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

    /// Takes in all reports that the store has; returns those that it has no longer.
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

    /// Returns the reports of requests that did not come again for so long that they are forgotten.
    pub fn expired_reports(&self, now: Instant) -> Vec<NoticeId> {
        let old = self.stored_reports().filter(|report| {
            self.suspects
                .get(&report.fingerprint)
                .is_some_and(|suspect| is_old(now, suspect))
        });
        old.map(|report| report.id()).collect()
    }

    fn add(&mut self, now: Instant, report: &CrashReport, source: Source) -> ReportStatus {
        let is_new = !self.suspects.contains_key(&report.fingerprint);
        if is_new && self.suspects.len() >= MOST_SUSPECTS {
            return ReportStatus::Known;
        }
        let suspects = self.suspects.entry(report.fingerprint);
        let suspect = suspects.or_insert_with(|| Suspect {
            reports: HashMap::default(),
            last: now,
            running: 0,
        });
        let entry = (report.in_a_row, source);
        match suspect.reports.insert(report.of.clone(), entry) {
            Some((in_a_row, before)) => {
                let kept = match before {
                    Source::Store => Source::Store,
                    Source::Seen => source,
                };
                let most = in_a_row.max(report.in_a_row);
                suspect.reports.insert(report.of.clone(), (most, kept));
                match (before, source) {
                    (Source::Seen, Source::Store) => ReportStatus::New,
                    _ => ReportStatus::Known,
                }
            }
            None => {
                suspect.last = now;
                ReportStatus::New
            }
        }
    }
}

fn is_old(now: Instant, suspect: &Suspect) -> bool {
    let age = now.saturating_duration_since(suspect.last);
    match suspect.is_refused() {
        true => age >= REFUSED_FOR,
        false => age >= SUSPECT_FOR,
    }
}

fn pause(in_a_row: u32) -> Duration {
    let at = in_a_row.saturating_sub(MOST_ENDS) as usize;
    PAUSES[at.min(PAUSES.len() - 1)]
}

fn trial(fingerprint: Fingerprint, in_a_row: u32) -> CrashReport {
    CrashReport {
        fingerprint,
        of: format!("{TRIAL}{in_a_row}").into(),
        in_a_row,
    }
}
