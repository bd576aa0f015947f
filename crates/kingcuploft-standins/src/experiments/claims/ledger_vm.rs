//! One VM's claims task of the daemon, driven as the dispatcher drives it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use hyper::{HeaderMap, StatusCode};
use kingcuploft::decisions::claim::ledger::KeyHash;
use kingcuploft::dispatcher::ClaimResult;
use kingcuploft::utils::HashMap;
use kingcuploft::world::vm::Vm;
use kingcuploft_platform::client::{Client, ClientSettings};
use kingcuploftd::claims;
use kingcuploftd::message::{Answer, ClaimTask, Message};
use kingcuploftd::settings::Settings;
use kingcuploftd::shared::Shared;

use super::{ACTION_TIME, ClaimResults};

/// The deadline of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// The length of the answer that is recorded for each action.
const ANSWER_BYTES: usize = 200;

type ClaimStarts = Arc<Mutex<HashMap<u64, Instant>>>;

/// A VM that writes its claims to the ledger.
#[derive(Debug)]
pub(in crate::experiments) struct LedgerVm {
    tasks: Sender<ClaimTask>,
    began: ClaimStarts,
    claims_thread: JoinHandle<()>,
    actions: JoinHandle<ClaimResults>,
}

impl LedgerVm {
    pub(in crate::experiments) fn start(settings: Settings, index: usize) -> Self {
        let client = ClientSettings {
            calls_per_s: 1e9,
            calls_burst: 1e9,
            ..ClientSettings::default()
        };
        let store = Client::with_settings(&settings.platform, client, index as u64);
        let vm = Vm {
            name: format!("entry-{index}").into(),
            availability_zone: "a".into(),
            incarnation: 1,
        };
        let (to_dispatch, messages) = bounded(4096);
        let (tasks, task_queue) = bounded(4096);
        let shared = Shared::new(settings, vm, to_dispatch);
        let claims_thread = std::thread::spawn(move || claims::run(shared, &task_queue, store));
        let began = ClaimStarts::default();
        let (started, acknowledgements) = (Arc::clone(&began), tasks.clone());
        let actions =
            std::thread::spawn(move || run_actions(&messages, &started, acknowledgements));
        Self {
            tasks,
            began,
            claims_thread,
            actions,
        }
    }

    pub(in crate::experiments) fn claim(&self, action: u64) {
        let now = Instant::now();
        let mut began = self.began.lock().unwrap_or_else(PoisonError::into_inner);
        began.insert(action, now);
        let claim = ClaimTask::Claim {
            request: action,
            key: KeyHash::from(action),
            fingerprint: 1,
            deadline: now + CLAIM_TIMEOUT,
            window: Duration::from_secs(3600),
            record_bytes: 4096,
        };
        drop(self.tasks.send(claim));
    }

    pub(in crate::experiments) fn finish(self) -> ClaimResults {
        // The thread that runs the actions ends when it holds the only reference to the claim start times, because no
        // claim can be added then.
        drop(self.began);
        let claimed = self.actions.join();
        drop(self.tasks);
        drop(self.claims_thread.join());
        claimed.unwrap_or_default()
    }
}

/// Runs each held action for its work time and acknowledges it, until no claim has been decided for a while.
fn run_actions(
    messages: &Receiver<Message>,
    began: &ClaimStarts,
    acknowledgements: Sender<ClaimTask>,
) -> ClaimResults {
    let mut claimed = ClaimResults::default();
    let mut running: VecDeque<(Instant, u64)> = VecDeque::new();
    let mut last_decision = Instant::now();
    loop {
        while let Some((_, action)) = running.pop_front_if(|(end, _)| *end <= Instant::now()) {
            let answer = Some(Box::new(answer()));
            drop(acknowledgements.send(ClaimTask::Acknowledge {
                request: action,
                answer,
            }));
        }
        match messages.recv_timeout(Duration::from_millis(1)) {
            Ok(Message::Claimed {
                request,
                result: end,
                ..
            }) => {
                last_decision = Instant::now();
                let mut began = began.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(at) = began.remove(&request) {
                    claimed.add(at, end == ClaimResult::Held);
                }
                if end == ClaimResult::Held {
                    running.push_back((Instant::now() + ACTION_TIME, request));
                }
            }
            Ok(_) => {}
            Err(RecvTimeoutError::Timeout) => {
                let pending = began.lock().unwrap_or_else(PoisonError::into_inner).len();
                let idle = last_decision.elapsed() > CLAIM_TIMEOUT / 5;
                if idle && pending == 0 && running.is_empty() && Arc::strong_count(began) == 1 {
                    return claimed;
                }
            }
            Err(RecvTimeoutError::Disconnected) => return claimed,
        }
    }
}

fn answer() -> Answer {
    Answer {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; ANSWER_BYTES]),
        rest: None,
    }
}
