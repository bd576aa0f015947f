//! One VM's claims duty, driven as the dispatch duty drives it.

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

/// How long a claim may take here.
const PATIENCE: Duration = Duration::from_secs(5);

/// The length of a recorded answer, in bytes.
const ANSWER_BYTES: usize = 200;

type Began = Arc<Mutex<HashMap<u64, Instant>>>;

/// A VM whose claims go to the ledger.
#[derive(Debug)]
pub(in crate::experiments) struct LedgerVm {
    orders: Sender<ClaimTask>,
    began: Began,
    duty: JoinHandle<()>,
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
        let (to_dispatch, verdicts) = bounded(4096);
        let (orders, ring) = bounded(4096);
        let shared = Shared::new(settings, vm, to_dispatch);
        let duty = std::thread::spawn(move || claims::run(shared, &ring, store));
        let began = Began::default();
        let (started, ends) = (Arc::clone(&began), orders.clone());
        let actions = std::thread::spawn(move || run_actions(&verdicts, &started, ends));
        Self {
            orders,
            began,
            duty,
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
            deadline: now + PATIENCE,
            window: Duration::from_secs(3600),
            record_bytes: 4096,
        };
        drop(self.orders.send(claim));
    }

    pub(in crate::experiments) fn finish(self) -> ClaimResults {
        // The actions' thread ends once nobody else can add a claim.
        drop(self.began);
        let claimed = self.actions.join();
        drop(self.orders);
        drop(self.duty.join());
        claimed.unwrap_or_default()
    }
}

/// Runs the held actions, each for its time, until there has been none for a while.
fn run_actions(
    verdicts: &Receiver<Message>,
    began: &Began,
    ends: Sender<ClaimTask>,
) -> ClaimResults {
    let mut claimed = ClaimResults::default();
    let mut running: VecDeque<(Instant, u64)> = VecDeque::new();
    let mut last = Instant::now();
    loop {
        while let Some((_, action)) = running.pop_front_if(|(end, _)| *end <= Instant::now()) {
            let answer = Some(Box::new(answer()));
            drop(ends.send(ClaimTask::Acknowledge {
                request: action,
                answer,
            }));
        }
        match verdicts.recv_timeout(Duration::from_millis(1)) {
            Ok(Message::Claimed {
                request,
                result: end,
                ..
            }) => {
                last = Instant::now();
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
                let waits = began.lock().unwrap_or_else(PoisonError::into_inner).len();
                let quiet = last.elapsed() > PATIENCE / 5;
                if quiet && waits == 0 && running.is_empty() && Arc::strong_count(began) == 1 {
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
