//! Makes this VM known to the others, and follows the one that reads the store for its zone.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::readers::{Source, VmEntry};

use crate::context::Context;
use crate::keeper;
use crate::peers::follower::{self, LinkError};
use crate::pulse::Pulse;
use crate::store::{Collection, Record, Store, StoreError};

/// How long the first list is put off where all machines start together: they do so within 0.3 s, and
/// each takes some tenths to be known.
const ALL_ANNOUNCED: Duration = Duration::from_millis(1200);

/// The time between two lists of the VMs by one that reads the store. VMs come and go by the minute.
const LIST_EVERY: Duration = Duration::from_secs(10);

/// How often a VM that reads the store looks whether it may follow another.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// How long a reader that is behind is given: two VMs that both read hear of a change within half a
/// second of each other, and this VM goes on reading meanwhile.
const CATCH_UP: Duration = Duration::from_millis(170);

/// How many VMs are asked in a row, each of which names another as its reader.
const MOST_HOPS: usize = 3;

/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// Keeps this VM known to the others, and follows a reader while there is one.
pub async fn keep<S: Store + 'static>(
    context: Rc<Context>,
    store: Rc<S>,
    pulse: Rc<Pulse>,
    own: VmEntry,
) {
    let announcing = Announcing::default();
    if context.settings.all_start {
        announcing.begin(&store, &own);
        tokio::time::sleep(ALL_ANNOUNCED).await;
    }
    let mut listed: Option<Instant> = None;
    loop {
        let now = Instant::now();
        let old = listed.is_none_or(|at| now.saturating_duration_since(at) >= LIST_EVERY);
        if old && pulse.is_there() {
            let mut listing = std::pin::pin!(list(&context, &*store, &own));
            let told = tokio::select! {
                told = &mut listing => told,
                // A VM that starts while the store is silent would wait for this list alone, and then pause,
                // long after the store is back: callers were refused for 1.3 s.
                () = follower::without_knowledge(&context) => {
                    pulse.read();
                    listing.await
                }
            };
            match told {
                Listed::Among => listed = Some(now),
                Listed::Without => {
                    announcing.begin(&store, &own);
                    listed = now.checked_sub(LIST_EVERY - ALL_ANNOUNCED);
                }
                Listed::Failed => {}
            }
        }
        let reader = match context.readers.borrow().source(now, &own.name, &own.zone) {
            // Those that follow this VM would have to look for another reader.
            Source::Reader(reader) if context.followers.is_empty() => Some(reader),
            Source::Reader(_) | Source::Store => None,
        };
        match reader {
            Some(reader) => follow(&context, &pulse, reader).await,
            None => {
                pulse.read();
                tokio::time::sleep(LOOK_EVERY).await;
            }
        }
    }
}

/// Follows a reader, or the one that it follows itself, until the link ends.
async fn follow(context: &Rc<Context>, pulse: &Pulse, first: VmEntry) {
    let mut reader = first;
    for _ in 0..MOST_HOPS {
        let ended = follower::follow(context, pulse, &reader).await;
        match ended {
            LinkError::Elsewhere(other) if other.name != context.settings.vm => reader = other,
            LinkError::Behind => return tokio::time::sleep(CATCH_UP).await,
            LinkError::StoreAway if !pulse.read_if_there().await => return,
            ended => {
                context.metrics.reader_lost(ended.label());
                tracing::info!(event = "reader_lost", reader = %reader.name, why = %ended);
                break;
            }
        }
    }
    pulse.read();
    let mut readers = context.readers.borrow_mut();
    readers.failed(Instant::now(), &reader.name);
}

/// Makes this VM known beside all else: a store that refuses writes may still be read, and a VM that
/// only waited to be known would serve nobody.
#[derive(Default)]
struct Announcing {
    runs: Rc<Cell<bool>>,
}

impl Announcing {
    /// Begins, unless it is being done.
    fn begin<S: Store + 'static>(&self, store: &Rc<S>, own: &VmEntry) {
        if self.runs.replace(true) {
            return;
        }
        let (runs, store, own) = (self.runs.clone(), store.clone(), own.clone());
        tokio::task::spawn_local(async move {
            announce(&*store, &own).await;
            runs.set(false);
        });
    }
}

/// Makes the VM known, until the store has said that it is.
async fn announce<S: Store>(store: &S, own: &VmEntry) {
    while let Err(error) = store.announce(own).await {
        tracing::warn!(event = "announce_failed", %error);
        tokio::time::sleep(PAUSE.mul_f64(1.0 + fastrand::f64())).await;
    }
    tracing::info!(event = "announced");
}

/// What a list of the VMs says of this one.
enum Listed {
    /// It is among them.
    Among,
    /// It is not. Others that start with it may not be either, so they are not counted by this list: a
    /// VM that takes itself for one of few takes too much of what all may use together.
    Without,
    /// The list could not be had.
    Failed,
}

async fn list<S: Store>(context: &Context, store: &S, own: &VmEntry) -> Listed {
    match list_all(store).await {
        Ok(vms) if vms.contains(own) => {
            keeper::vms(context, vms);
            Listed::Among
        }
        Ok(vms) => {
            keeper::vms_uncounted(context, vms);
            Listed::Without
        }
        Err(error) => {
            tracing::warn!(event = "vms_not_listed", %error);
            tokio::time::sleep(PAUSE.mul_f64(1.0 + fastrand::f64())).await;
            Listed::Failed
        }
    }
}

async fn list_all<S: Store>(store: &S) -> Result<Vec<VmEntry>, StoreError> {
    let mut vms = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = store.list(Collection::Vms, after.as_deref(), true).await?;
        let entries = page.records.into_iter().map(|(_, record)| record);
        vms.extend(entries.filter_map(|record| match record {
            Record::Vm(vm) => Some(vm),
            _ => None,
        }));
        after = page.next;
        if after.is_none() {
            return Ok(vms);
        }
    }
}
