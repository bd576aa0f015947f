//! The store's lists: pages, entries of other writers, and lists of one collection that fail.

use std::future::Future;

use fastrand::Rng;
use kingcuploft_entry::store::{Collection, Page, Record, Store, StoreError};
use kingcuploft_simulation::day::{Day, DisruptionKind};
use kingcuploft_simulation::generator;
use kingcuploft_simulation::list_fault::{ListFault, ListedCollection};
use kingcuploft_simulation::store::TestStore;

/// How many entries of another writer the store of these tests holds.
const FOREIGN: usize = 12;

/// The most pages that a test reads of one list.
const MAX_PAGES: usize = 50;

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(future)
}

fn store(page_limit: usize) -> TestStore {
    let store = TestStore::default();
    store.0.set_evacuated("zone-1", true);
    store.0.set_evacuated("zone-0", true);
    store.0.write_foreign_entries(FOREIGN);
    store.0.lists.page_limit.set(page_limit);
    store
}

fn page(store: &TestStore, after: Option<&str>) -> Result<Page, StoreError> {
    block_on(store.list(Collection::Evacuations, after, false))
}

/// Returns the pages of a list up to its end, or up to `MAX_PAGES`.
fn pages(store: &TestStore) -> Vec<Page> {
    let mut pages = vec![page(store, None).expect("a page")];
    while pages.len() < MAX_PAGES {
        let Some(after) = pages.last().and_then(|page| page.next.clone()) else {
            break;
        };
        pages.push(page(store, Some(&after)).expect("a page"));
    }
    pages
}

fn names(pages: &[Page]) -> Vec<String> {
    let records = pages.iter().flat_map(|page| &page.records);
    let mut names: Vec<_> = records.map(|(name, _)| name.clone()).collect();
    names.sort();
    names
}

#[test]
fn pages_of_any_size_hold_each_entry_once() {
    let whole = names(&pages(&store(0)));
    assert_eq!(whole.len(), FOREIGN + 2);
    for limit in 1..=FOREIGN + 3 {
        let pages = pages(&store(limit));
        assert!(pages.iter().all(|page| page.records.len() <= limit));
        assert_eq!(names(&pages), whole, "pages of {limit}");
    }
}

#[test]
fn each_collection_holds_entries_of_other_writers_and_half_are_unreadable() {
    let store = store(0);
    for listed in ListedCollection::ALL {
        let page = block_on(store.list(listed.collection(), None, false)).expect("a page");
        let is_unreadable =
            |(_, record): &&(String, Record)| matches!(record, Record::Unreadable(..));
        let unreadable = page.records.iter().filter(is_unreadable).count();
        assert_eq!(unreadable, FOREIGN / 2, "{listed:?}");
    }
}

#[test]
fn lists_of_one_collection_fail_as_told_and_the_others_do_not() {
    let outcomes = ListFault::ALL.map(|fault| {
        let store = store(3);
        store.0.lists.begin_fault(Collection::Evacuations, fault);
        let first = page(&store, None);
        let second = first.as_ref().ok().and_then(|first| first.next.clone());
        let second = second.map(|after| page(&store, Some(&after)));
        let other = block_on(store.list(Collection::Notices, None, false));
        assert_eq!(other.expect("a page").records.len(), 3, "{fault:?}");
        (fault, first, second)
    });
    for (fault, first, second) in outcomes {
        let entries = first.as_ref().map(|page| page.records.len()).ok();
        let goes_on = second.map(|second| second.is_ok());
        let expected = match fault {
            ListFault::Refused => (None, None),
            ListFault::Stops => (Some(3), Some(false)),
            ListFault::EndsEarly => (Some(3), None),
            ListFault::Empty => (Some(0), None),
            ListFault::NeverEnds => (Some(3), Some(true)),
        };
        assert_eq!((entries, goes_on), expected, "{fault:?}");
    }
}

#[test]
fn a_list_that_never_ends_holds_all_entries_and_goes_on() {
    let store = store(3);
    let (collection, fault) = (Collection::Evacuations, ListFault::NeverEnds);
    store.0.lists.begin_fault(collection, fault);
    let endless = pages(&store);
    assert_eq!(endless.len(), MAX_PAGES);
    store.0.lists.end_fault(collection, fault);
    assert_eq!(names(&endless), names(&pages(&store)));
}

#[test]
fn few_drawn_days_have_trouble_with_lists_and_all_of_them_can_be_read() {
    const DAYS: u64 = 400;
    let days = (0..DAYS).map(|seed| generator::generate(&mut Rng::with_seed(seed), "13-vms"));
    let has_trouble = |day: &Day| {
        let mut disruptions = day.disruptions.iter();
        disruptions.any(|of| DisruptionKind::OF_LISTS.contains(&of.kind))
    };
    let troubled: Vec<_> = days.filter(has_trouble).collect();
    assert!((10..=100).contains(&troubled.len()), "{}", troubled.len());
    for day in troubled {
        let read = Day::read("day.yaml", &day.to_text()).expect("a day");
        assert_eq!(read, day);
    }
}
