//! Replicates what this VM has used of the budget of repeats to other VMs, the holders, and recovers it from them after
//! a start.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::account_replicas::replica_holders;
use kingcuploft::entry::repeat_account::UsageReport;
use kingcuploft::world::ids::VmName;
use tokio::time::{Instant, sleep};

use super::peer_socket::PeerMessage;
use crate::clock;
use crate::context::Context;

/// The least time between two updates of a VM that goes on repeating: with all holders some 2 KB a second.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(600);

/// The time until an update is sent again, as datagrams are lost and holders restart: while there are repeats, and
/// otherwise.
const RESEND_INTERVAL: Duration = Duration::from_millis(1200);
const IDLE_RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// The pause after the first request for copies, and the longest pause.
const FIRST_REQUEST_PAUSE: Duration = Duration::from_millis(100);
const MAX_REQUEST_PAUSE: Duration = Duration::from_millis(1600);

/// How long a VM that knows no other VM waits before it looks for holders again.
const NO_HOLDERS_PAUSE: Duration = Duration::from_millis(500);

/// The most services in one datagram.
const MAX_SERVICES_PER_DATAGRAM: usize = 8;

/// Recovers what this VM has used before, and keeps the holders' copies up to date, until the process ends.
pub async fn run(context: Rc<Context>) {
    tokio::join!(request_copies(&context), send_updates(&context));
}

/// Asks the holders for their copies, until one has answered or what was used before no longer counts.
async fn request_copies(context: &Context) {
    let vm = context.settings.vm.clone();
    let mut pause = FIRST_REQUEST_PAUSE;
    while context.repeats_unknown_for() > Duration::ZERO {
        let addresses = holder_addresses(context);
        if addresses.is_empty() {
            sleep(FIRST_REQUEST_PAUSE).await;
            continue;
        }
        send(
            context,
            &PeerMessage::RepeatsRequest { vm: vm.clone() },
            &addresses,
        );
        sleep(pause).await;
        pause = (pause * 2).min(MAX_REQUEST_PAUSE);
    }
}

/// Sends the holders what this VM has used: after each repeat, and again from time to time.
async fn send_updates(context: &Context) {
    loop {
        let used = context.repeats_used();
        let interval = match used.accounts.is_empty() {
            true => IDLE_RESEND_INTERVAL,
            false => RESEND_INTERVAL,
        };
        let sent_at = Instant::now();
        let vm = &context.settings.vm;
        let addresses = holder_addresses(context);
        for used in used.split(MAX_SERVICES_PER_DATAGRAM) {
            let vm = vm.clone();
            send(context, &PeerMessage::RepeatsUsed { vm, used }, &addresses);
        }
        let pause = match addresses.is_empty() {
            true => NO_HOLDERS_PAUSE,
            false => interval,
        };
        tokio::select! {
            biased;
            () = context.repeat_taken.notified() => sleep(MIN_SEND_INTERVAL.saturating_sub(sent_at.elapsed())).await,
            () = sleep(pause) => {}
        }
    }
}

/// Returns the addresses of the VMs that hold this VM's copies.
fn holder_addresses(context: &Context) -> Vec<SocketAddr> {
    let records = context.readers.borrow().records();
    let holders = replica_holders(&context.settings.vm, &records);
    holders.into_iter().map(|vm| vm.address).collect()
}

fn send(context: &Context, message: &PeerMessage, addresses: &[SocketAddr]) {
    if let Some(socket) = context.peer_socket.get() {
        socket.send(message, addresses);
    }
}

/// Keeps a copy of what another VM has used.
pub fn store_copy(context: &Context, vm: &VmName, used: &UsageReport) {
    let mut copies = context.account_replicas.borrow_mut();
    copies.store(clock::now(), vm.clone(), used.clone());
}

/// Sends a VM that has just started what is kept for it.
pub fn send_copies(context: &Context, vm: &VmName, from: SocketAddr) {
    let copy = context.account_replicas.borrow_mut().get(clock::now(), vm);
    for used in copy
        .into_iter()
        .flat_map(|used| used.split(MAX_SERVICES_PER_DATAGRAM))
    {
        send(context, &PeerMessage::RepeatsReply { used }, &[from]);
    }
}

/// Recovers what this VM had used before it started, from a holder's copy.
pub fn restore_used(context: &Context, used: &UsageReport, from: SocketAddr) {
    if context.recover_repeats(used) {
        tracing::info!(
            event = "repeats_recovered",
            from = %from,
            services = used.accounts.len(),
            age_ms = used.accounts.iter().map(|of| of.age_ms).min(),
            unknown_ms = context.repeats_unknown_for().as_millis() as u64,
            up_ms = clock::since(context.started_at).as_millis() as u64,
        );
    }
}
