//! Texts in the names of notices, which are composed and parsed again.

use std::time::Instant;

use kingcuploft::entry::crash_report::CrashReport;
use kingcuploft::entry::quarantine::Quarantine;
use kingcuploft::entry::server_limits::LimitNotice;

use crate::drawn::{check, text};

/// Guards against a notice about another request or server than it was written for.
#[test]
fn the_name_of_a_notice_says_what_it_is_about_whatever_the_name_in_it() {
    check("notices", |u| {
        let server = text(u)?;
        let report = CrashReport {
            fingerprint: u.arbitrary()?,
            of: server.as_str().into(),
            in_a_row: 1,
        };
        let id = report.id();
        assert_eq!(LimitNotice::parse_id(&id), None);
        let parsed = CrashReport::parse_id(&id);
        assert_eq!(parsed, Some((report.fingerprint, &*server)));
        let limit = LimitNotice {
            server: server.as_str().into(),
            per_s: 1.0,
        };
        let id = limit.id();
        assert_eq!(LimitNotice::parse_id(&id), Some(&*server));
        assert_eq!(CrashReport::parse_id(&id), None);
        Ok(())
    });
}

/// Guards against notices of another writer that can't be deleted, and are written again under another name.
#[test]
fn a_name_that_is_read_as_that_of_a_crash_report_is_the_name_of_that_report() {
    check("foreign notices", |u| {
        let prefix = *u.choose(&[
            "",
            "crash.",
            "crash.+",
            "crash.0",
            "crash.00000000000000FF.",
        ])?;
        let hex: u64 = u.arbitrary()?;
        let id = format!("{prefix}{hex:x}{}", text(u)?);
        if let Some((fingerprint, of)) = CrashReport::parse_id(&id) {
            let of = of.into();
            let report = CrashReport {
                fingerprint,
                of,
                in_a_row: 1,
            };
            assert_eq!(report.id(), id);
        }
        Ok(())
    });
}

/// Guards against a crash that isn't counted, as the name of its server is that of a trial.
#[test]
fn a_crash_counts_whatever_the_name_of_its_server() {
    check("crashes", |u| {
        let server = format!("{}{}", u.choose(&["", "~", "trial-", "trial-1"])?, text(u)?);
        let mut quarantine = Quarantine::default();
        quarantine.record_crash(Instant::now(), 7, &server.as_str().into(), 0);
        assert_eq!(quarantine.record_start(7), 1, "{server:?}");
        Ok(())
    });
}
