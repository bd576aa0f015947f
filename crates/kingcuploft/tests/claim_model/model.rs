//! The model: VMs, the store, its faults, and every transition that can come next.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::decisions::claim::ledger::{Claimant, EntryState, Head, Record, Version};
use kingcuploft::decisions::claim::message::{
    Claim, ClaimCommand, Operation, Output, Precondition, StoreAnswer, StoreFailure, StoredObject,
    Verdict,
};
use kingcuploft::decisions::claim::{EventContext, Partition};
use kingcuploft::settings::claim::ClaimSettings;
use pathfinding::prelude::bfs_reach;

pub(crate) const KEY: u128 = 7;
pub(crate) const TWO_RUNS: &str = "two runs";
pub(crate) const NOW_MS: u64 = 1_000_000;

/// How the system under test is broken on purpose.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Variant {
    Product,
    /// A claim whose holder is silent is removed, as an expired lease would be.
    LeaseReaped,
    /// A missing answer of the store is taken for success, so nothing is read back before sending.
    SentBeforeReadBack,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Phase {
    NotStarted,
    Claiming,
    Held,
    Sent,
    Ended,
    RefusedNotRun,
    OtherVerdict,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Model {
    vms: Vec<Partition>,
    /// The store call in flight of each VM, not yet at the store.
    calls: Vec<Option<Operation>>,
    requests: Vec<Phase>,
    objects: BTreeMap<String, (Version, StoredObject)>,
    before: BTreeMap<String, Option<(Version, StoredObject)>>,
    revision: Version,
    late: Vec<Operation>,
    runs: u8,
    answered_by: Option<u8>,
    faults: u8,
    violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) vms: usize,
    pub(crate) requests: usize,
    pub(crate) faults: u8,
    pub(crate) seals: bool,
    pub(crate) variant: Variant,
}

/// The model at one fixed instant: all pauses are zero, so that time adds no states.
#[derive(Clone, Copy, Debug)]
pub(crate) struct World {
    bounds: Bounds,
    now: Instant,
}

impl World {
    pub(crate) fn new(bounds: Bounds) -> Self {
        let now = Instant::now();
        Self { bounds, now }
    }

    fn start(&self) -> Model {
        let settings = Arc::new(ClaimSettings {
            linger_ms: 0,
            end_linger_ms: 0,
            shortest_pace_ms: 0,
            retry_pause_ms: 0,
            longest_retry_pause_ms: 0,
            seal_bytes: if self.bounds.seals { 1 } else { usize::MAX },
            segments_per_index: 1,
            ..ClaimSettings::default()
        });
        let vms = 0..self.bounds.vms;
        let vm = |owner| Partition::new(0, owner as u64, Arc::clone(&settings), self.now);
        Model {
            vms: vms.clone().map(vm).collect(),
            calls: vms.map(|_| None).collect(),
            requests: vec![Phase::NotStarted; self.bounds.requests],
            objects: BTreeMap::new(),
            before: BTreeMap::new(),
            revision: 0,
            late: Vec::new(),
            runs: 0,
            answered_by: None,
            faults: self.bounds.faults,
            violation: None,
        }
    }

    fn vm_of(&self, request: usize) -> usize {
        request % self.bounds.vms
    }

    /// Passes one event to a VM and applies its outputs.
    fn feed(
        &self,
        model: &mut Model,
        vm: usize,
        event: impl FnOnce(&mut Partition, &mut EventContext<'_>, &mut Vec<Output>),
    ) {
        let mut rng = fastrand::Rng::with_seed(0);
        let mut context = EventContext {
            now: self.now,
            unix_ms: NOW_MS,
            rng: &mut rng,
        };
        let mut out = Vec::new();
        event(&mut model.vms[vm], &mut context, &mut out);
        for output in out {
            match output {
                Output::Store(operation) => model.calls[vm] = Some(operation),
                Output::Verdict(id, verdict) => model.verdict(id as usize, &verdict),
                Output::Event(_) => {}
            }
        }
    }

    fn command(&self, model: &mut Model, request: usize, command: ClaimCommand) {
        let vm = self.vm_of(request);
        self.feed(model, vm, |partition, context, out| {
            partition.handle_command(context, command, out);
        });
    }

    fn successors(&self, model: &Model) -> Vec<Model> {
        if model.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for request in 0..model.requests.len() {
            self.request_moves(model, request, &mut next);
        }
        for vm in 0..model.vms.len() {
            self.store_moves(model, vm, &mut next);
            if model.vms[vm].next_due().is_some_and(|due| due <= self.now) {
                let mut ticked = model.clone();
                self.feed(&mut ticked, vm, |partition, context, out| {
                    partition.tick(context, out);
                });
                next.push(ticked);
            }
        }
        for at in 0..model.late.len() {
            let mut arrived = model.clone();
            let write = arrived.late.remove(at);
            arrived.apply(&write);
            next.push(arrived);
        }
        if self.bounds.variant == Variant::LeaseReaped {
            next.extend(model.reaped());
        }
        next.retain(|after| after != model);
        next
    }

    fn request_moves(&self, model: &Model, request: usize, next: &mut Vec<Model>) {
        let id = request as u64;
        let mut after = model.clone();
        match model.requests[request] {
            Phase::NotStarted => {
                after.requests[request] = Phase::Claiming;
                let claim = Claim {
                    key: KEY,
                    fingerprint: 1,
                    claimant: claimant(request),
                    window: Duration::from_secs(60),
                    // A tick at any moment refuses the claim.
                    deadline: self.now,
                };
                self.command(&mut after, request, ClaimCommand::Claim(id, claim));
            }
            Phase::Held => {
                let mut released = model.clone();
                released.requests[request] = Phase::RefusedNotRun;
                self.command(&mut released, request, ClaimCommand::Release(id));
                next.push(released);
                after.requests[request] = Phase::Sent;
                after.runs += 1;
                if after.runs > 1 {
                    after.violation = Some(TWO_RUNS);
                }
            }
            Phase::Sent => {
                let mut unknown = model.clone();
                unknown.requests[request] = Phase::Ended;
                let end = ClaimCommand::Acknowledge(id, EntryState::EndUnknown);
                self.command(&mut unknown, request, end);
                next.push(unknown);
                after.requests[request] = Phase::Ended;
                after.answered_by = Some(request as u8);
                let end = EntryState::Answered(Arc::new(record(request)));
                self.command(&mut after, request, ClaimCommand::Acknowledge(id, end));
            }
            _ => return,
        }
        next.push(after);
    }

    fn store_moves(&self, model: &Model, vm: usize, next: &mut Vec<Model>) {
        let Some(call) = &model.calls[vm] else {
            return;
        };
        let mut answered = model.clone();
        let answer = answered.apply(call);
        self.answer(&mut answered, vm, answer);
        next.push(answered);
        if model.faults == 0 {
            return;
        }
        let mut faulty = model.clone();
        faulty.faults -= 1;
        if let Operation::Get { name, .. } = call {
            if let Some(old) = model.before.get(name) {
                self.answer(&mut faulty, vm, StoreAnswer::Found(old.clone()));
                next.push(faulty);
            }
            return;
        }
        let mut lost_answer = faulty.clone();
        lost_answer.apply(call);
        self.silence(&mut lost_answer, vm);
        let mut late = faulty.clone();
        late.late.push(call.clone());
        self.silence(&mut late, vm);
        self.silence(&mut faulty, vm);
        next.extend([lost_answer, late, faulty]);
    }

    fn silence(&self, model: &mut Model, vm: usize) {
        let answer = match self.bounds.variant {
            Variant::SentBeforeReadBack => StoreAnswer::Written(model.revision + 1),
            _ => StoreAnswer::Failed(StoreFailure::NoAnswer),
        };
        self.answer(model, vm, answer);
    }

    fn answer(&self, model: &mut Model, vm: usize, answer: StoreAnswer) {
        model.calls[vm] = None;
        self.feed(model, vm, |partition, context, out| {
            partition.handle_answer(context, answer, out);
        });
    }

    /// Explores all states, or until two runs are found; returns the number of states and the violations.
    pub(crate) fn explore(&self) -> (usize, BTreeSet<&'static str>) {
        let mut states = 0;
        let ends = RefCell::new(BTreeSet::new());
        let mut faults = BTreeSet::new();
        let successors = |model: &Model| {
            let next = self.successors(model);
            if next.is_empty() && model.violation.is_none() {
                ends.borrow_mut().extend(model.orphan_claim());
            }
            next
        };
        for model in bfs_reach(self.start(), successors) {
            states += 1;
            faults.extend(model.violation);
            if faults.contains(TWO_RUNS) {
                break;
            }
        }
        faults.append(&mut ends.borrow_mut());
        (states, faults)
    }
}

impl Model {
    fn verdict(&mut self, request: usize, verdict: &Verdict) {
        if self.requests[request] != Phase::Claiming {
            self.violation = Some("a second verdict");
            return;
        }
        self.requests[request] = match verdict {
            Verdict::Held => Phase::Held,
            Verdict::Unavailable { .. } | Verdict::Reused | Verdict::Full => Phase::RefusedNotRun,
            Verdict::Replay(record) => {
                if self.answered_by != record.body.first().copied() {
                    self.violation = Some("a recorded answer changed");
                }
                Phase::OtherVerdict
            }
            Verdict::AlreadyRan | Verdict::InProgress | Verdict::EndUnknown => Phase::OtherVerdict,
        };
    }

    fn apply(&mut self, call: &Operation) -> StoreAnswer {
        match call {
            Operation::Get { name, .. } => StoreAnswer::Found(self.objects.get(name).cloned()),
            Operation::Put { name, value, when } => {
                let found = self.objects.get(name).map(|(version, _)| *version);
                let holds = match when {
                    Precondition::Absent => found.is_none(),
                    Precondition::Version(version) => found == Some(*version),
                };
                if !holds {
                    return StoreAnswer::Conflict { found };
                }
                self.revision += 1;
                let written = (self.revision, value.clone());
                let before = self.objects.insert(name.clone(), written);
                self.before.insert(name.clone(), before);
                StoreAnswer::Written(self.revision)
            }
            Operation::Delete { name, .. } => {
                self.objects.remove(name);
                StoreAnswer::Deleted
            }
        }
    }

    fn head(&self) -> Option<&Arc<Head>> {
        match self.objects.get(&Partition::head_name(0)) {
            Some((_, StoredObject::Head(head))) => Some(head),
            _ => None,
        }
    }

    /// Does what an expired lease would do: removes the claim, though its holder may be paused.
    fn reaped(&self) -> Option<Self> {
        let head = self.head()?;
        let mut free = Head::clone(head);
        free.entries.retain(|_, entry| entry.state.is_settled());
        if free == **head {
            return None;
        }
        let mut after = self.clone();
        after.revision += 1;
        let stored = (after.revision, StoredObject::Head(Arc::new(free)));
        after.objects.insert(Partition::head_name(0), stored);
        Some(after)
    }

    /// Checks a final state: no claim of a caller who was answered "not run" may block the key.
    fn orphan_claim(&self) -> Option<&'static str> {
        let entry = self.head()?.entries.get(&KEY)?;
        let request = entry.claimant.nonce as usize;
        let was_refused_not_run = self.requests[request] == Phase::RefusedNotRun;
        was_refused_not_run.then_some("an orphan claim blocks the key")
    }
}

fn claimant(request: usize) -> Claimant {
    Claimant {
        vm: "entry".into(),
        incarnation: 1,
        nonce: request as u64,
    }
}

fn record(request: usize) -> Record {
    Record {
        status: 200,
        headers: Vec::new(),
        body: vec![request as u8],
    }
}
