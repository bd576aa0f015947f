//! Has other VMs keep what this one has used of the budget of repeats, and asks them for it after a start.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::account_replicas::replica_holders;
use kingcuploft::entry::repeat_account::UsageReport;
use kingcuploft::world::ids::VmName;
use tokio::time::{Instant, sleep, sleep_until};

use super::zone_socket::Told;
use crate::clock;
use crate::context::Context;

/// The time between two tells of a VM that goes on repeating: with all holders some 2 KB a second.
const TELL_EVERY: Duration = Duration::from_millis(600);

/// When it is told again, as datagrams are lost and holders restart: while there are repeats, and otherwise.
const TELL_AGAIN: Duration = Duration::from_millis(1200);
const TELL_PRESENCE: Duration = Duration::from_secs(2);

/// The time between the first two questions, and the longest between two.
const ASK_AGAIN: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(1600);

/// When a VM that knows no other looks again whether there is one.
const LOOK_AGAIN: Duration = Duration::from_millis(500);

/// The most services of one datagram.
const MOST_SERVICES: usize = 8;

/// Keeps the holders informed, until the process ends.
pub async fn keep(context: Rc<Context>) {
    tokio::join!(ask(&context), tell(&context));
}

/// Asks the holders until one has answered, or it does not matter any more.
async fn ask(context: &Context) {
    let vm = context.settings.vm.clone();
    let mut pause = ASK_AGAIN;
    while context.repeats_unknown_for() > Duration::ZERO {
        let others = addresses(context);
        if others.is_empty() {
            sleep(ASK_AGAIN).await;
            continue;
        }
        send(context, &Told::AskRepeats { vm: vm.clone() }, &others);
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

async fn tell(context: &Context) {
    loop {
        let used = context.repeats_used();
        let next = match used.accounts.is_empty() {
            true => TELL_PRESENCE,
            false => TELL_AGAIN,
        };
        let told_at = Instant::now();
        let vm = &context.settings.vm;
        let others = addresses(context);
        for used in used.split(MOST_SERVICES) {
            let vm = vm.clone();
            send(context, &Told::Repeats { vm, used }, &others);
        }
        let again = match others.is_empty() {
            true => LOOK_AGAIN,
            false => next,
        };
        tokio::select! {
            biased;
            () = context.repeated.notified() => sleep_until(told_at + TELL_EVERY).await,
            () = sleep(again) => {}
        }
    }
}

fn addresses(context: &Context) -> Vec<SocketAddr> {
    let records = context.readers.borrow().records();
    let holders = replica_holders(&context.settings.vm, &records);
    holders.into_iter().map(|vm| vm.address).collect()
}

fn send(context: &Context, told: &Told, others: &[SocketAddr]) {
    if let Some(socket) = context.peer_readings.get() {
        socket.tell(told, others);
    }
}

/// Keeps what another VM has used.
pub fn told(context: &Context, vm: &VmName, used: &UsageReport) {
    let mut copies = context.repeat_copies.borrow_mut();
    copies.store(clock::now(), vm.clone(), used.clone());
}

/// Tells a VM that has just started what is kept for it.
pub fn asked(context: &Context, vm: &VmName, from: SocketAddr) {
    let kept = context.repeat_copies.borrow_mut().get(clock::now(), vm);
    for used in kept.into_iter().flat_map(|used| used.split(MOST_SERVICES)) {
        send(context, &Told::KeptRepeats { used }, &[from]);
    }
}

/// Takes in what this VM had used before it started.
pub fn answered(context: &Context, used: &UsageReport, from: SocketAddr) {
    if context.recover_repeats(used) {
        tracing::info!(
            event = "repeats_recovered",
            from = %from,
            services = used.accounts.len(),
            age_ms = used.accounts.iter().map(|of| of.age_ms).min(),
            unknown_ms = context.repeats_unknown_for().as_millis() as u64,
            up_ms = clock::since(context.begun).as_millis() as u64,
        );
    }
}
