//! The quotas of workspaces at this VM: takes requests from them, entrusts this VM's share to their keepers, and keeps
//! shards for other VMs.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use kingcuploft::entry::configuration::Configuration;
use kingcuploft::entry::quota::account::{QuotaAccount, QuotaStep};
use kingcuploft::entry::quota::keeper::QuotaKeeper;
use kingcuploft::entry::quota::keepers::Keepers;
use kingcuploft::entry::quota::message::{Confirmation, Deposit, RunNumber};
use kingcuploft::entry::quota::{QuotaBounds, SHARDS, Shard, shard_of};
use kingcuploft::entry::workspaces::{Workspace, Workspaces};
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft::world::ids::{VmName, WorkspaceName};
use tokio::sync::Notify;

use crate::clock;
use crate::context::Context;
use crate::peers::peer_socket::{PeerMessage, PeerSender};

/// How long a request waits for a keeper: for a lost datagram and the message that replaces it.
const KEEPER_WAIT: Duration = Duration::from_millis(60);

/// How long a request waits before it looks again whether a keeper may be asked.
const ASK_INTERVAL: Duration = Duration::from_millis(20);

/// The `Retry-After` of a request for which no keeper has answered: another one keeps the shard by then.
const NO_KEEPER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The shortest and the longest pause between two looks at which keepers are to hear from this VM.
const MIN_PAUSE: Duration = Duration::from_millis(20);
const IDLE_PAUSE: Duration = Duration::from_millis(200);

/// Whether a request may begin by its workspace's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// It may begin.
    Begin,
    /// The quota is used up; the caller may come back after this time.
    UsedUp(Duration),
    /// No keeper has answered; the caller may come back after this time.
    NoKeeper(Duration),
}

/// What this VM has of quotas, and keeps of them for others.
#[derive(Debug)]
pub struct Quotas {
    account: RefCell<QuotaAccount>,
    keeper: RefCell<QuotaKeeper>,
    keepers: RefCell<Keepers>,
    /// Wakes requests that wait for a keeper.
    replied: Notify,
}

/// What quotas need to know of the VM and the fleet.
struct Surroundings {
    vm: VmName,
    vms: usize,
    records: Vec<ZoneRecord>,
    socket: Option<Rc<dyn PeerSender>>,
    configuration: Option<Arc<Configuration>>,
    bounds: QuotaBounds,
}

impl Surroundings {
    fn of(context: &Context) -> Self {
        let is_alone = context.settings.peer_address.is_none();
        Self {
            vm: context.settings.vm.clone(),
            vms: match is_alone {
                true => 1,
                false => context.vm_count.get().divisor(),
            },
            records: context.readers.borrow().records(),
            socket: context.peer_socket.get().cloned(),
            configuration: context.configuration(),
            bounds: context.bounds.get().quotas,
        }
    }

    fn workspaces(&self) -> Option<&Workspaces> {
        self.configuration.as_ref()?.workspaces.as_ref()
    }
}

impl Quotas {
    /// Creates the quotas of a VM that has just started.
    pub fn new(now: Instant) -> Self {
        Self {
            account: RefCell::new(QuotaAccount::new(now, run_number())),
            keeper: RefCell::default(),
            keepers: RefCell::default(),
            replied: Notify::new(),
        }
    }

    /// Takes a request from a workspace's quota; asks the keeper if none is in stock.
    async fn take(&self, context: &Context, workspace: &WorkspaceName) -> QuotaDecision {
        let began = clock::now();
        self.account.borrow_mut().record_arrival(began, workspace);
        if let Some(decision) = self.step(workspace) {
            return decision;
        }
        let shard = shard_of(workspace);
        let _waiting = Waiting::begin(self, workspace);
        while clock::since(began) < KEEPER_WAIT {
            if self.account.borrow().may_ask(clock::now(), shard) {
                self.send(&Surroundings::of(context), shard);
            }
            if let Some(decision) = self.step(workspace) {
                return decision;
            }
            let replied = self.replied.notified();
            let _ = tokio::time::timeout(ASK_INTERVAL, replied).await;
            if let Some(decision) = self.step(workspace) {
                return decision;
            }
        }
        QuotaDecision::NoKeeper(NO_KEEPER_RETRY_AFTER)
    }

    fn step(&self, workspace: &WorkspaceName) -> Option<QuotaDecision> {
        match self.account.borrow_mut().take(clock::now(), workspace) {
            QuotaStep::Begin => Some(QuotaDecision::Begin),
            QuotaStep::UsedUp(after) => Some(QuotaDecision::UsedUp(after)),
            QuotaStep::Ask => None,
        }
    }

    /// Sends this VM's share, and what it asks for, to the keeper of a shard; keeps the shard itself if nobody else
    /// answers.
    fn send(&self, around: &Surroundings, shard: Shard) {
        let now = clock::now();
        self.probe(now, around, shard);
        let keeper = self.keepers.borrow().keeper(shard, &around.records);
        let other = keeper.filter(|keeper| keeper.name != around.vm);
        let (vm, vms) = (&around.vm, around.vms);
        let mut account = self.account.borrow_mut();
        match (other, &around.socket) {
            (Some(keeper), Some(socket)) => {
                let deposit = account.deposit(now, vm, &keeper.name, shard, vms);
                self.keepers.borrow_mut().record_sent(now, &keeper.name);
                socket.send(&PeerMessage::QuotaDeposit(deposit), &[keeper.address]);
            }
            (Some(_), None) | (None, _) => {
                let deposit = account.deposit(now, vm, vm, shard, vms);
                drop(account);
                if let Some(reply) = self.keep(around, &deposit) {
                    self.apply(now, &reply);
                }
            }
        }
    }

    /// Asks a VM that has fallen silent whether it answers again.
    fn probe(&self, now: Instant, around: &Surroundings, shard: Shard) {
        let mut keepers = self.keepers.borrow_mut();
        let silent = keepers.probe(now, shard, &around.records);
        let (Some(silent), Some(socket)) = (silent, &around.socket) else {
            return;
        };
        let mut account = self.account.borrow_mut();
        let probe = account.probe(&around.vm, &silent.name, shard, around.vms);
        socket.send(&PeerMessage::QuotaDeposit(probe), &[silent.address]);
    }

    fn keep(&self, around: &Surroundings, deposit: &Deposit) -> Option<Confirmation> {
        let workspaces = around.workspaces()?;
        let mut keeper = self.keeper.borrow_mut();
        keeper.receive(
            clock::now(),
            &around.vm,
            deposit,
            workspaces,
            &around.bounds,
        )
    }

    fn apply(&self, now: Instant, reply: &Confirmation) {
        if self.account.borrow_mut().apply(now, reply) {
            let mut keepers = self.keepers.borrow_mut();
            match reply.is_leaving {
                true => keepers.record_leaving(now, &reply.keeper),
                false => keepers.record_answer(&reply.keeper),
            }
            drop(keepers);
            self.replied.notify_waiters();
        }
    }

    /// Sends this VM's share to all keepers that are to hear from it now; returns when the next one is.
    fn send_due(&self, context: &Context) -> Duration {
        let around = Surroundings::of(context);
        if !around.workspaces().is_some_and(has_quotas) {
            return IDLE_PAUSE;
        }
        let mut pause = IDLE_PAUSE;
        for shard in 0..SHARDS {
            let now = clock::now();
            let next = |now| {
                self.account
                    .borrow()
                    .next_message_at(now, shard, around.vms)
            };
            if next(now) <= now {
                self.send(&around, shard);
            }
            pause = pause.min(next(now).saturating_duration_since(now));
        }
        pause.max(MIN_PAUSE)
    }

    /// Returns how many requests of a workspace's quota this VM keeps saved.
    pub fn saved(&self, workspace: &str) -> f64 {
        self.keeper.borrow().saved(workspace)
    }

    /// Returns how many VMs entrust their shares to this one, of the shard with the most.
    pub fn depositor_count(&self) -> usize {
        let keeper = self.keeper.borrow();
        let counts = (0..SHARDS).map(|shard| keeper.depositor_count(shard));
        counts.max().unwrap_or(0)
    }
}

/// Returns a number that tells this start of the VM from others: the time of day, in nanoseconds.
fn run_number() -> RunNumber {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_nanos() as RunNumber)
}

fn has_quotas(workspaces: &Workspaces) -> bool {
    let mut all = workspaces.iter();
    all.any(|workspace| workspace.quota.is_some())
}

/// A request that waits for a keeper; also one whose caller leaves meanwhile stops waiting.
struct Waiting<'a> {
    quotas: &'a Quotas,
    workspace: &'a WorkspaceName,
}

impl<'a> Waiting<'a> {
    fn begin(quotas: &'a Quotas, workspace: &'a WorkspaceName) -> Self {
        let mut account = quotas.account.borrow_mut();
        account.record_waiting(clock::now(), workspace, true);
        drop(account);
        Self { quotas, workspace }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut account = self.quotas.account.borrow_mut();
        account.record_waiting(clock::now(), self.workspace, false);
    }
}

/// Takes a request from a workspace's quota, if it has one.
pub async fn take(context: &Context, workspace: &Workspace) -> QuotaDecision {
    match workspace.quota {
        Some(_) => context.quotas.take(context, &workspace.name).await,
        None => QuotaDecision::Begin,
    }
}

/// Gives back what a request took from its workspace's quota, as it surely has not run.
pub fn give_back(context: &Context, workspace: &Workspace) {
    if workspace.quota.is_some() {
        let mut account = context.quotas.account.borrow_mut();
        account.give_back(clock::now(), &workspace.name);
        context.metrics.quota_given_back.inc();
    }
}

/// Entrusts this VM's share of quotas to their keepers, until the process ends. Sends nothing while no workspace has a
/// quota.
pub async fn run(context: Rc<Context>) {
    loop {
        let pause = context.quotas.send_due(&context);
        tokio::time::sleep(pause).await;
    }
}

/// Takes over what another VM entrusts to this one, and replies.
pub fn handle_deposit(context: &Context, deposit: &Deposit, from: SocketAddr) {
    let around = Surroundings::of(context);
    let reply = context.quotas.keep(&around, deposit);
    if let (Some(mut reply), Some(socket)) = (reply, &around.socket) {
        reply.is_leaving = context.shutdown.is_stopping();
        socket.send(&PeerMessage::QuotaConfirmation(reply), &[from]);
    }
}

/// Applies a keeper's reply.
pub fn handle_confirmation(context: &Context, reply: &Confirmation) {
    context.quotas.apply(clock::now(), reply);
}
