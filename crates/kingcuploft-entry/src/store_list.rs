//! Lists a collection of the store, which comes in pages.

use std::cell::RefCell;
use std::time::Duration;

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::era::era_of;
use kingcuploft::entry::notice::Notice;
use kingcuploft::planted::{self, PlantedFault};
use kingcuploft::world::ids::AvailabilityZone;

use crate::clock;
use crate::context::Context;
use crate::evacuation;
use crate::notices;
use crate::server_updates;
use crate::store::{Collection, Page, Record, Revision, Store, StoreError};
use crate::store_watcher::{apply_record, note_era};

/// The most entries of a list: ten times as many as there are servers where there are most. A list of more counts as one
/// without an end.
const MAX_ENTRIES: usize = 100_000;

/// How long a further page is asked for again.
const PAGE_RETRY_TIME: Duration = Duration::from_secs(3);

/// The pause before it is asked for again; chance adds as much.
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Counts the entries of a list, to give up one without an end.
#[derive(Default)]
pub(crate) struct EntryCount(usize);

impl EntryCount {
    /// Adds the entries of a page.
    ///
    /// # Errors
    ///
    /// Returns an error if the list has no end.
    pub(crate) fn add(&mut self, entries: usize) -> Result<(), StoreError> {
        self.0 += entries;
        match self.0 > MAX_ENTRIES {
            true => Err(StoreError::Unreadable("the list has no end".into())),
            false => Ok(()),
        }
    }
}

/// Where and why a list could not go on.
#[derive(Eq, PartialEq)]
struct StoppedList {
    /// The name after which it was to go on.
    after: Option<String>,
    /// The pages before.
    pages: usize,
    why: String,
}

/// Logs lists that can't go on.
#[derive(Default)]
pub(crate) struct ListLog {
    last: RefCell<Option<StoppedList>>,
}

impl ListLog {
    /// Logs a list that could not go on, unless the last one stopped in the same way.
    fn stopped(&self, collection: Collection, stopped: StoppedList) {
        let mut last = self.last.borrow_mut();
        if last.as_ref() != Some(&stopped) {
            let StoppedList { after, pages, why } = &stopped;
            let collection = collection.label();
            tracing::warn!(event = "list_stopped", collection, after, pages, why);
        }
        *last = Some(stopped);
    }
}

/// What the pages of a list have brought and what is applied once no page follows.
#[derive(Default)]
struct Listed {
    names: Vec<String>,
    servers: Vec<BackendServer>,
    zones: Vec<AvailabilityZone>,
}

impl Listed {
    /// Adds a page; what does not depend on the other pages is applied at once.
    fn add(&mut self, context: &Context, records: Vec<(String, Record)>) {
        for (name, record) in records {
            match record {
                Record::BackendServer(server) => self.servers.push(server),
                Record::Notice(notice) if is_restored_withdrawal(context, &notice) => {
                    notices::withdraw(context, notice.id());
                }
                Record::Evacuation(zone) => self.zones.push(zone),
                other => apply_record(context, other),
            }
            self.names.push(name);
        }
    }

    /// Applies a list that was read to its end: what is not in it is gone.
    fn apply_whole(self, context: &Context, collection: Collection) {
        match collection {
            Collection::BackendServers => {
                let now = clock::now();
                server_updates::apply_full_list(context, now, self.servers, &self.names);
            }
            Collection::Notices => notices::apply_stored_ids(context, self.names.into_iter()),
            Collection::Evacuations => evacuation::apply_full_list(context, self.zones.into_iter()),
            Collection::Configuration | Collection::Zones => {}
        }
    }

    /// Applies the pages before the one that can't be read: what is not in them may be there.
    fn apply_part(self, context: &Context, collection: Collection) {
        if collection == Collection::BackendServers {
            server_updates::apply_servers(context, clock::now(), self.servers);
            context.set_servers_listed();
        }
        if collection == Collection::Evacuations {
            evacuation::apply_part_of_list(context, self.zones.into_iter());
        }
    }
}

/// Lists a collection. Where a page can't be had, for a while or for good, the pages before it are used, and
/// the collection counts as incomplete: one entry of another writer must not keep this VM from serving. The configuration
/// is then read by its name, at a revision that the store has `reached` before.
pub(crate) async fn list_all<S: Store>(
    context: &Context,
    store: &S,
    collection: Collection,
    reached: Option<Revision>,
    log: &ListLog,
) -> Result<Revision, StoreError> {
    let mut listed = Listed::default();
    let mut after: Option<String> = None;
    let mut first = None;
    let mut pages = 0;
    let mut count = EntryCount::default();
    loop {
        let is_further = pages > 0;
        let page = list_page(store, collection, after.as_deref(), is_further).await;
        let page = page.and_then(|page| count.add(page.records.len()).map(|()| page));
        let Page {
            records,
            next,
            revision,
        } = match (page, first) {
            (Ok(page), _) => page,
            (Err(error), first) => {
                let (after, why) = (after.clone(), error.to_string());
                log.stopped(collection, StoppedList { after, pages, why });
                let is_dropped = planted::is_on(PlantedFault::DropsStoppedLists);
                let is_never_had = !error.is_lasting() && first.is_none();
                if is_never_had || error.is_of_history() || is_dropped {
                    return Err(error);
                }
                if collection == Collection::Configuration {
                    read_configuration(context, store).await?;
                    return first.or(reached).ok_or(error);
                }
                let first = first.ok_or(error)?;
                context.note_incomplete(collection);
                listed.apply_part(context, collection);
                return Ok(first);
            }
        };
        pages += 1;
        // The watch that follows starts at the first page's revision and brings what changes between two pages.
        let first = *first.get_or_insert(revision);
        if era_of(revision) != era_of(first) {
            return Err(StoreError::HistoryGone);
        }
        note_era(context, era_of(first));
        listed.add(context, records);
        if next.is_none() {
            listed.apply_whole(context, collection);
            context.note_complete(collection);
            return Ok(first);
        }
        after = next;
    }
}

/// Returns a page. A further one that can't be had for now is asked for again for a while, as the list would begin anew
/// otherwise.
async fn list_page<S: Store>(
    store: &S,
    collection: Collection,
    after: Option<&str>,
    is_further: bool,
) -> Result<Page, StoreError> {
    let started_at = clock::now();
    loop {
        let page = store.list(collection, after, false).await;
        let may_work_later = |error: &StoreError| !error.is_lasting() && !error.is_of_history();
        let is_retried = is_further && clock::since(started_at) < PAGE_RETRY_TIME;
        match page {
            Err(error) if is_retried && may_work_later(&error) => {
                tokio::time::sleep(PAGE_RETRY_PAUSE.mul_f64(1.0 + fastrand::f64())).await;
            }
            page => return page,
        }
    }
}

async fn read_configuration<S: Store>(context: &Context, store: &S) -> Result<(), StoreError> {
    if let Some(record) = store.read_configuration().await? {
        apply_record(context, record);
    }
    Ok(())
}

/// Returns whether a notice was withdrawn, and is back as the store was restored from an older copy.
fn is_restored_withdrawal(context: &Context, notice: &Notice) -> bool {
    context
        .rewinds
        .is_restored_withdrawal(clock::now(), &notice.id())
}
