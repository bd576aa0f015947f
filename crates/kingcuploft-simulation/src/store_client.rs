//! One VM's client of the store: calls take time and need the host's link.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft_entry::store::{
    ChangeCheck, Changes, Collection, Page, Record, Revision, Store, StoreError, WriteOutcome,
    ZoneWrite,
};

use crate::history::{History, VmIndex};
use crate::network::Host;
use crate::store::TestStore;

/// How long a call takes.
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// How much longer than the requested wait a call may take before it times out.
const EXTRA_WAIT: Duration = Duration::from_secs(2);

/// How often a VM that is cut off checks for its link.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The store over a host's link.
#[derive(Debug)]
pub struct StoreClient {
    store: TestStore,
    host: Host,
    vm: VmIndex,
    history: Rc<History>,
}

impl StoreClient {
    /// Returns the client of a VM's host, whose calls are recorded.
    pub fn new(store: TestStore, host: Host, vm: VmIndex, history: Rc<History>) -> Self {
        Self {
            store,
            host,
            vm,
            history,
        }
    }

    async fn call<T>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.history.record_store_call(self.vm);
        let calling = async {
            self.wait_until_connected().await;
            tokio::time::sleep(ROUND_TRIP / 2).await;
            let answer = call.await;
            tokio::time::sleep(ROUND_TRIP / 2).await;
            self.wait_until_connected().await;
            answer
        };
        let called = tokio::time::timeout(wait + EXTRA_WAIT, calling).await;
        called.map_err(|_| StoreError::NoAnswer("timeout".into()))?
    }

    async fn wait_until_connected(&self) {
        while self.host.is_cut_off() {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}

impl Store for StoreClient {
    async fn list(
        &self,
        collection: Collection,
        after: Option<&str>,
        stale: bool,
    ) -> Result<Page, StoreError> {
        let call = self.store.list(collection, after, stale);
        self.call(Duration::ZERO, call).await
    }

    async fn read_configuration(&self) -> Result<Option<Record>, StoreError> {
        self.call(Duration::ZERO, self.store.read_configuration())
            .await
    }

    async fn probe_liveness(&self) -> Result<Revision, StoreError> {
        self.call(Duration::ZERO, self.store.probe_liveness()).await
    }

    async fn check_changes(
        &self,
        collection: Collection,
        since: Revision,
        stale: bool,
    ) -> Result<ChangeCheck, StoreError> {
        let call = self.store.check_changes(collection, since, stale);
        self.call(Duration::ZERO, call).await
    }

    fn last_received_at(&self, _: Collection) -> Option<Instant> {
        None
    }

    async fn write_zone_record(
        &self,
        record: &ZoneRecord,
        how: ZoneWrite,
    ) -> Result<WriteOutcome, StoreError> {
        let call = self.store.write_zone_record(record, how);
        self.call(Duration::ZERO, call).await
    }

    async fn create_notice(&self, notice: &Notice) -> Result<WriteOutcome, StoreError> {
        self.call(Duration::ZERO, self.store.create_notice(notice))
            .await
    }

    async fn delete_notice(&self, id: &str) -> Result<(), StoreError> {
        self.call(Duration::ZERO, self.store.delete_notice(id))
            .await
    }

    async fn watch(
        &self,
        collection: Collection,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let call = self.store.watch(collection, from, wait);
        self.call(wait, call).await
    }
}
