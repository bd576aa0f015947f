//! The partitions of some VMs over one store, in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::decisions::claim::ledger::{Claimant, EntryState, Record, Version};
use kingcuploft::decisions::claim::message::{
    Claim, ClaimCommand, ClaimEvent, ClaimId, Operation, Output, Precondition, StoreAnswer,
    StoreFailure, StoredObject, Verdict,
};
use kingcuploft::decisions::claim::{EventContext, Partition};
use kingcuploft::settings::claim::ClaimSettings;

pub(crate) const WINDOW: Duration = Duration::from_secs(600);
const START_MS: u64 = 1_000_000_000;

struct Vm {
    partition: Partition,
    call: Option<Operation>,
    skew_ms: i64,
}

pub(crate) struct World {
    vms: Vec<Vm>,
    pub(crate) objects: BTreeMap<String, (Version, StoredObject)>,
    pub(crate) writes: u64,
    pub(crate) conflicts: u64,
    pub(crate) verdicts: BTreeMap<ClaimId, Verdict>,
    pub(crate) events: Vec<ClaimEvent>,
    pub(crate) outage: Option<StoreFailure>,
    revision: Version,
    start: Instant,
    pub(crate) elapsed: Duration,
    settings: Arc<ClaimSettings>,
    rng: fastrand::Rng,
}

impl World {
    pub(crate) fn new(vms: usize, settings: ClaimSettings) -> Self {
        let mut world = Self {
            vms: Vec::new(),
            objects: BTreeMap::new(),
            writes: 0,
            conflicts: 0,
            verdicts: BTreeMap::new(),
            events: Vec::new(),
            outage: None,
            revision: 0,
            start: Instant::now(),
            elapsed: Duration::ZERO,
            settings: Arc::new(settings),
            rng: fastrand::Rng::with_seed(11),
        };
        for _ in 0..vms {
            world.add_vm(0);
        }
        world
    }

    pub(crate) fn add_vm(&mut self, skew_ms: i64) -> usize {
        let owner = self.vms.len() as u64;
        let now = self.now();
        self.vms.push(Vm {
            partition: Partition::new(0, owner, Arc::clone(&self.settings), now),
            call: None,
            skew_ms,
        });
        self.vms.len() - 1
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    pub(crate) fn command(&mut self, vm: usize, command: ClaimCommand) {
        self.feed(vm, |partition, context, out| {
            partition.handle_command(context, command, out)
        });
    }

    /// Claims a key on a VM; the claim's id is its nonce.
    pub(crate) fn claim(&mut self, vm: usize, id: ClaimId, key: u128) {
        self.claim_content(vm, id, key, 1);
    }

    pub(crate) fn claim_content(&mut self, vm: usize, id: ClaimId, key: u128, fingerprint: u128) {
        let claim = Claim {
            key,
            fingerprint,
            claimant: Claimant {
                vm: format!("entry-{vm}").as_str().into(),
                incarnation: 1,
                nonce: id,
            },
            window: WINDOW,
            deadline: self.now() + self.settings.timeout(),
        };
        self.command(vm, ClaimCommand::Claim(id, claim));
    }

    pub(crate) fn answer(&mut self, vm: usize, id: ClaimId, body: &[u8]) {
        let state = EntryState::Answered(Arc::new(record(body)));
        self.command(vm, ClaimCommand::Acknowledge(id, state));
    }

    /// Lets time pass in steps of 1 ms, each with at most one store call of each VM.
    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.elapsed + time;
        while self.elapsed < until {
            self.step();
        }
    }

    /// Lets time pass until no VM has anything left to write.
    pub(crate) fn settle(&mut self) {
        for _ in 0..20_000 {
            self.step();
            if self.vms.iter().all(|vm| vm.partition.is_idle()) {
                return;
            }
        }
        panic!("the partitions do not settle");
    }

    /// Lets time pass in one step.
    pub(crate) fn jump(&mut self, time: Duration) {
        self.elapsed += time;
    }

    fn step(&mut self) {
        self.elapsed += Duration::from_millis(1);
        let mut order: Vec<usize> = (0..self.vms.len()).collect();
        self.rng.shuffle(&mut order);
        for vm in order {
            if let Some(call) = self.vms[vm].call.take() {
                let answer = match self.outage {
                    Some(failure) => StoreAnswer::Failed(failure),
                    None => self.apply(&call),
                };
                self.feed(vm, |partition, context, out| {
                    partition.handle_answer(context, answer, out);
                });
            }
            self.feed(vm, |partition, context, out| partition.tick(context, out));
        }
    }

    fn feed(
        &mut self,
        vm: usize,
        event: impl FnOnce(&mut Partition, &mut EventContext<'_>, &mut Vec<Output>),
    ) {
        let unix_ms = START_MS + self.elapsed.as_millis() as u64;
        let now = self.now();
        let vm = &mut self.vms[vm];
        let mut context = EventContext {
            now,
            unix_ms: unix_ms.saturating_add_signed(vm.skew_ms),
            rng: &mut self.rng,
        };
        let mut out = Vec::new();
        event(&mut vm.partition, &mut context, &mut out);
        for output in out {
            match output {
                Output::Store(call) => vm.call = Some(call),
                Output::Verdict(id, verdict) => {
                    let before = self.verdicts.insert(id, verdict);
                    assert_eq!(before, None, "claim {id} is decided twice");
                }
                Output::Event(event) => self.events.push(event),
            }
        }
    }

    fn apply(&mut self, call: &Operation) -> StoreAnswer {
        match call {
            Operation::Get { name, .. } => StoreAnswer::Found(self.objects.get(name).cloned()),
            Operation::Put { name, value, when } => {
                self.writes += 1;
                let found = self.objects.get(name).map(|(version, _)| *version);
                let holds = match when {
                    Precondition::Absent => found.is_none(),
                    Precondition::Version(version) => found == Some(*version),
                };
                if !holds {
                    self.conflicts += 1;
                    return StoreAnswer::Conflict { found };
                }
                let bytes = bytes(value);
                assert!(bytes < 1_000_000, "{name} has {bytes} bytes");
                self.revision += 1;
                let stored = (self.revision, value.clone());
                self.objects.insert(name.clone(), stored);
                StoreAnswer::Written(self.revision)
            }
            Operation::Delete { name, version } => {
                self.writes += 1;
                let found = self.objects.get(name).map(|(version, _)| *version);
                if found != Some(*version) {
                    return StoreAnswer::Conflict { found };
                }
                self.objects.remove(name);
                StoreAnswer::Deleted
            }
        }
    }
}

/// Returns the length of an object as it is stored.
pub(crate) fn bytes(value: &StoredObject) -> usize {
    let text = match value {
        StoredObject::Head(head) => serde_json::to_string(head.as_ref()),
        StoredObject::Segment(segment) => serde_json::to_string(segment.as_ref()),
        StoredObject::Index(index) => serde_json::to_string(index.as_ref()),
    };
    text.unwrap().len()
}

pub(crate) fn record(body: &[u8]) -> Record {
    Record {
        status: 200,
        headers: vec![("content-type".into(), "text/plain".into())],
        body: body.to_vec(),
    }
}
