//! The claims thread: claims idempotency keys of protected actions in the store, releases the claims and records the
//! outcomes.
//!
//! The decisions are made in [`kingcuploft::decisions::claim`]; this thread supplies their commands, the time and the
//! store's answers. Separate threads call the store, so that a slow call delays only its own partition.

mod calls;
mod layout;
pub mod metrics;
mod records;

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, Sender, bounded, select};
use kingcuploft::decisions::claim::ledger::Claimant;
use kingcuploft::decisions::claim::message::{Claim, ClaimCommand, Output, Verdict};
use kingcuploft::decisions::claim::{EventContext, Partition, partition_of};
use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::RequestId;
use kingcuploft_platform::ObjectStore;

use self::calls::{Call, CallAnswer};
use crate::message::{ClaimTask, Message};
use crate::shared::Shared;

pub use self::records::fingerprint;
pub use kingcuploft::decisions::claim::key_hash;

/// The longest sleep without an event.
const MAX_SLEEP: Duration = Duration::from_millis(200);

/// How long a stopping daemon tries to write the last outcomes.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The most threads that call the store.
const MAX_STORE_THREADS: u16 = 8;

/// The partition of a request's claim, and the size limit of its recorded answer.
#[derive(Clone, Copy, Debug)]
struct PlacedClaim {
    partition: u16,
    record_bytes: u64,
}

struct Claims {
    shared: Arc<Shared>,
    partitions: Vec<Partition>,
    calls: Sender<Call>,
    claims: HashMap<RequestId, PlacedClaim>,
    rng: fastrand::Rng,
    out: Vec<Output>,
}

/// Runs the claims thread until the dispatch thread ends and the last outcomes are written.
pub fn run<S: ObjectStore>(shared: Arc<Shared>, tasks: &Receiver<ClaimTask>, store: S) {
    let Some(count) = layout::partition_count(&shared, tasks, &store) else {
        return;
    };
    // Each partition has at most one open call, so neither channel is ever full.
    let capacity = usize::from(count);
    let (calls, call_requests) = bounded(capacity);
    let (answers, call_answers) = bounded(capacity);
    std::thread::scope(|scope| {
        for _ in 0..count.min(MAX_STORE_THREADS) {
            let (store, calls, answers) = (&store, call_requests.clone(), answers.clone());
            let metrics = &shared.metrics.claims;
            scope.spawn(move || calls::run(store, metrics, &calls, &answers));
        }
        drop(answers);
        Claims::new(Arc::clone(&shared), count, calls).run(tasks, &call_answers);
    });
}

impl Claims {
    fn new(shared: Arc<Shared>, count: u16, calls: Sender<Call>) -> Self {
        let settings = Arc::new(shared.settings.claims.clone());
        let owner = records::owner(&shared.vm);
        let now = Instant::now();
        let partition = |number| Partition::new(number, owner, Arc::clone(&settings), now);
        Self {
            partitions: (0..count).map(partition).collect(),
            calls,
            claims: HashMap::default(),
            rng: fastrand::Rng::with_seed(owner),
            out: Vec::new(),
            shared,
        }
    }

    fn run(mut self, tasks: &Receiver<ClaimTask>, answers: &Receiver<CallAnswer>) {
        loop {
            select! {
                recv(tasks) -> task => match task {
                    Ok(task) => self.handle_task(task),
                    Err(_) => break,
                },
                recv(answers) -> answer => if let Ok(answer) = answer {
                    self.handle_answer(answer);
                },
                default(self.sleep()) => {}
            }
            self.tick();
        }
        self.finish(answers);
    }

    /// Writes the remaining outcomes, so that a planned stop loses no recorded answer.
    fn finish(mut self, answers: &Receiver<CallAnswer>) {
        let until = Instant::now() + STOP_TIMEOUT;
        self.partitions
            .iter_mut()
            .for_each(Partition::flush_immediately);
        self.tick();
        while !self.partitions.iter().all(Partition::is_idle) {
            if Instant::now() > until {
                tracing::warn!("claims: the last outcomes could not be written and stay unknown.");
                return;
            }
            if let Ok(answer) = answers.recv_timeout(self.sleep()) {
                self.handle_answer(answer);
            }
            self.tick();
        }
    }

    fn sleep(&self) -> Duration {
        let due = self.partitions.iter().filter_map(Partition::next_due).min();
        let left = due.map(|due| due.saturating_duration_since(Instant::now()));
        left.map_or(MAX_SLEEP, |left| left.min(MAX_SLEEP))
    }

    fn handle_task(&mut self, task: ClaimTask) {
        match task {
            ClaimTask::Claim {
                request,
                key,
                fingerprint,
                deadline,
                window,
                record_bytes,
            } => {
                let placed = PlacedClaim {
                    partition: partition_of(key, self.partitions.len() as u16),
                    record_bytes,
                };
                self.claims.insert(request, placed);
                let claim_deadline = Instant::now() + self.shared.settings.claims.timeout();
                let claim = Claim {
                    key,
                    fingerprint,
                    claimant: self.claimant(request),
                    window,
                    deadline: claim_deadline.min(deadline),
                };
                self.send_command(placed, ClaimCommand::Claim(request, claim));
            }
            ClaimTask::Release { request } => {
                if let Some(placed) = self.claims.remove(&request) {
                    self.send_command(placed, ClaimCommand::Release(request));
                }
            }
            ClaimTask::Acknowledge { request, answer } => {
                if let Some(placed) = self.claims.remove(&request) {
                    let end = records::entry_state(answer.as_deref(), placed.record_bytes);
                    self.send_command(placed, ClaimCommand::Acknowledge(request, end));
                }
            }
        }
    }

    fn claimant(&self, request: RequestId) -> Claimant {
        let vm = &self.shared.vm;
        Claimant {
            vm: vm.name.clone(),
            incarnation: vm.incarnation,
            nonce: request,
        }
    }

    fn send_command(&mut self, placed: PlacedClaim, command: ClaimCommand) {
        self.run_partition(placed.partition, |partition, time, out| {
            partition.handle_command(time, command, out);
        });
    }

    fn handle_answer(&mut self, answer: CallAnswer) {
        let CallAnswer { partition, answer } = answer;
        self.run_partition(partition, |partition, time, out| {
            partition.handle_answer(time, answer, out);
        });
    }

    fn tick(&mut self) {
        let now = Instant::now();
        for number in 0..self.partitions.len() {
            if self.partitions[number]
                .next_due()
                .is_some_and(|due| due <= now)
            {
                self.run_partition(number as u16, |partition, time, out| {
                    partition.tick(time, out)
                });
            }
        }
        let held = self.partitions.iter().map(Partition::held).sum::<usize>();
        self.shared.metrics.claims.held.set(held as i64);
    }

    fn run_partition(
        &mut self,
        number: u16,
        event: impl FnOnce(&mut Partition, &mut EventContext<'_>, &mut Vec<Output>),
    ) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let mut time = EventContext {
            now: Instant::now(),
            unix_ms: since.map_or(0, |since| since.as_millis() as u64),
            rng: &mut self.rng,
        };
        let mut out = std::mem::take(&mut self.out);
        event(
            &mut self.partitions[usize::from(number)],
            &mut time,
            &mut out,
        );
        for output in out.drain(..) {
            self.perform(number, output);
        }
        self.out = out;
    }

    fn perform(&mut self, partition: u16, output: Output) {
        match output {
            Output::Store(operation) => {
                let call = Call {
                    partition,
                    operation,
                };
                if self.calls.try_send(call).is_err() {
                    tracing::error!("claims: partition {partition} has more than one call open.");
                }
            }
            Output::Verdict(request, verdict) => self.report_verdict(request, &verdict),
            Output::Event(counted) => self.shared.metrics.claims.count_event(counted),
        }
    }

    fn report_verdict(&mut self, request: RequestId, verdict: &Verdict) {
        self.shared.metrics.claims.count_verdict(verdict);
        if *verdict != Verdict::Held {
            self.claims.remove(&request);
        }
        let (result, recorded) = records::claim_result(verdict);
        let message = Message::Claimed {
            request,
            result,
            recorded: recorded.map(Box::new),
        };
        // The dispatch thread never blocks on this thread, so this send cannot deadlock.
        drop(self.shared.dispatch.send(message));
    }
}
