//! Asks other VMs for all that they know, while this one lacks something that the store does not give it.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::informants::NextInformant;
use kingcuploft::entry::vm_entry::VmEntry;

use crate::clock;
use crate::context::{Context, FeedRequest};
use crate::peers::dial::Dial;
use crate::peers::snapshot;

/// How long a VM that starts leaves it to its feeder and to the store to tell it all.
const FIRST_DELAY: Duration = Duration::from_millis(300);

/// How often a VM checks whether it lacks something, and whether another has said that it knows all.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a snapshot may take: it is given up only if the link goes silent, or if it never ends.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);

/// Asks other VMs whenever this one lacks something, until the process ends.
pub(super) async fn run<D: Dial>(context: &Rc<Context>, own: &VmEntry, network: &D) {
    tokio::time::sleep(FIRST_DELAY).await;
    loop {
        if context.knows_all() {
            context.informants.borrow_mut().reset();
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let next = {
            let readers = context.readers.borrow();
            let mut informants = context.informants.borrow_mut();
            informants.next(clock::now(), own, &readers)
        };
        match next {
            NextInformant::Ask(vm) => ask(context, own, &vm, network).await,
            NextInformant::WaitUntil(_) => tokio::time::sleep(CHECK_INTERVAL).await,
        }
    }
}

/// Asks one VM, unless this one has learned all meanwhile.
async fn ask<D: Dial>(context: &Rc<Context>, own: &VmEntry, vm: &VmEntry, network: &D) {
    let outcome = tokio::select! {
        biased;
        () = until_all_is_known(context) => return,
        outcome = tokio::time::timeout(
            SNAPSHOT_TIMEOUT,
            snapshot::take(context, own, vm, network),
        ) => outcome,
    };
    let answer = match outcome {
        Ok(Ok(())) => {
            tracing::info!(event = "snapshot_taken", from = %vm.name);
            "fed"
        }
        Ok(Err(error)) => error.label(),
        Err(_) => "timeout",
    };
    let vm = vm.name.clone();
    context
        .last_feed_request
        .replace(Some(FeedRequest { vm, answer }));
}

async fn until_all_is_known(context: &Context) {
    while !context.knows_all() {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
