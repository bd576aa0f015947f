//! Notices of a VM reach the store, also after a long outage.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::crash_report::CrashReport;
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft_entry::context::Context;
use kingcuploft_entry::notice_writes::NoticeWrite;
use kingcuploft_entry::notices;
use kingcuploft_entry::store_access::StoreAccess;
use kingcuploft_entry::store_liveness;
use tokio::sync::Mutex;

use crate::fleet::{settings, simulate};
use crate::network::address;
use crate::store::TestStore;
use kingcuploft_simulation::header_names::HEADER_NAMES;

/// Longer than any write is retried.
const OUTAGE: Duration = Duration::from_secs(120);

/// How long a VM may take to write to the store again after an outage.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Guards against a request that goes on crashing servers after an outage of the store, because the reports of its
/// crashes were dropped during the outage.
#[test]
fn a_report_is_written_when_the_store_is_back_however_long_it_was_away() {
    simulate(async {
        let store = TestStore::default();
        let vm = VmEntry {
            name: "vm".into(),
            zone: "zone-0".into(),
            address: address(0),
            cpu_milli: 200,
        };
        let context = Rc::new(Context::new(settings(&vm, false), HEADER_NAMES));
        let store_access = Rc::new(StoreAccess::default());
        let waiting = Rc::new(Mutex::new(context.notice_writes.open_queue()));
        let client = Rc::new(store.clone());
        let watching =
            store_liveness::monitor(context.clone(), client.clone(), store_access.clone());
        tokio::task::spawn_local(watching);
        let writing = notices::write_to_store(context.clone(), client, store_access, waiting);
        tokio::task::spawn_local(writing);
        store.1.set(true);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let now = tokio::time::Instant::now().into_std();
        let report = CrashReport {
            fingerprint: 7,
            of: "s1".into(),
            in_a_row: 1,
        };
        context
            .quarantine
            .borrow_mut()
            .record_crash(now, 7, &report.of, 0);
        context
            .notice_writes
            .send(NoticeWrite::Create(Notice::Crash(report)));
        tokio::time::sleep(OUTAGE).await;
        store.1.set(false);
        tokio::time::sleep(RECOVERY_TIME).await;
        assert_eq!(store.0.notices.borrow().len(), 1);
    });
}
