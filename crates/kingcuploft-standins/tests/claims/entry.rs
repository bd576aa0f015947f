//! Callers of a small fleet, and a claims thread that a test controls step by step.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender, bounded};
use hyper::{HeaderMap, StatusCode};
use kingcuploft::decisions::claim::key_hash;
use kingcuploft::dispatcher::ClaimResult;
use kingcuploft::world::vm::Vm;
use kingcuploft_platform::client::Client;
use kingcuploft_standins::deployment::{Deployment, ServicePlan};
use kingcuploft_standins::fleet::{Fleet, FleetOptions};
use kingcuploftd::claims;
use kingcuploftd::message::{Answer, ClaimTask, Message, RequestParts};
use kingcuploftd::shared::Shared;

const RULES: &[&str] = &[
    "{name: look, methods: [GET], path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 2000}",
    "{name: hold, methods: [POST], path_prefix: /holds, contract: at_most_once, priority: protected, deadline_ms: 3000}",
    "{name: brief, methods: [POST], path_prefix: /brief, contract: at_most_once, priority: protected, deadline_ms: 3000, idempotency: {record_bytes: 4}}",
];

/// Starts some daemons in front of two backend servers.
pub(crate) fn fleet(vms: usize) -> Fleet {
    let service = ServicePlan {
        name: "trip",
        backend_servers: 2,
        slots: 4,
        rules: RULES,
    };
    let deployment = Deployment {
        name: "claims",
        vms,
        availability_zones: &["a"],
        services: vec![service],
    };
    let options = FleetOptions {
        mean_work_time: Duration::from_millis(1),
        extra_settings: "claims: {end_linger_ms: 20}\nstore: {call_timeout_ms: 200}\n".into(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(deployment, options).unwrap();
    // A VM has read the layout of the ledger once it has decided a claim, so one hold through each prepares them all.
    for vm in 0..vms {
        let warm = hold(&fleet, vm, &format!("warm-{vm}"), "beds");
        assert_eq!(warm.status, 200, "{warm:?}");
    }
    fleet
}

/// The parts of an answer, as a caller receives it, that the tests compare.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) reason: String,
    pub(crate) outcome: String,
    pub(crate) body: String,
    pub(crate) content_type: String,
    pub(crate) retry_after: bool,
}

/// Sends a hold with an idempotency key through one VM.
pub(crate) fn hold(fleet: &Fleet, vm: usize, key: &str, body: &str) -> CallerAnswer {
    post(fleet, vm, "/holds", &[("idempotency-key", key)], body)
}

/// Sends a POST through one VM.
pub(crate) fn post(
    fleet: &Fleet,
    vm: usize,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> CallerAnswer {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(10)))
        .build()
        .into();
    let url = format!("http://{}{path}", fleet.addresses()[vm]);
    let mut request = agent.post(url).header("host", "trip.example");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut response = request.send(body).unwrap();
    let header = |name| {
        let value = response.headers().get(name);
        value.map_or("", |value| value.to_str().unwrap()).to_owned()
    };
    let (reason, outcome) = (
        header("x-kingcuploft-reason"),
        header("x-kingcuploft-outcome"),
    );
    CallerAnswer {
        status: response.status().as_u16(),
        reason,
        outcome,
        content_type: header("content-type"),
        retry_after: !header("retry-after").is_empty(),
        body: response.body_mut().read_to_string().unwrap(),
    }
}

/// Sends a lookup through one VM and returns the status, or 0 if the call fails.
pub(crate) fn lookup_status(fleet: &Fleet, vm: usize) -> u16 {
    let url = format!("http://{}/itinerary", fleet.addresses()[vm]);
    let response = ureq::get(url).header("host", "trip.example").call();
    response.map_or(0, |response| response.status().as_u16())
}

/// Waits until the condition holds; panics with `what` after 10 seconds.
pub(crate) fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The claims thread of a further VM, without a dispatcher. It claims and records only what a test asks for, so a test
/// can hold a claim open as a paused VM does.
pub(crate) struct ManualClaims {
    tasks: Sender<ClaimTask>,
    messages: Receiver<Message>,
    thread: std::thread::JoinHandle<()>,
}

impl ManualClaims {
    pub(crate) fn start(fleet: &Fleet) -> Self {
        let shared = fleet.daemons[0].shared();
        let vm = Vm {
            name: "entry-by-hand".into(),
            availability_zone: "a".into(),
            incarnation: 1,
        };
        let (message_sender, messages) = bounded(64);
        let (tasks, task_receiver) = bounded(64);
        let shared = Shared::new(shared.settings.clone(), vm, message_sender);
        let store = Client::new(&fleet.platform.address().to_string());
        let thread = std::thread::spawn(move || claims::run(shared, &task_receiver, store));
        Self {
            tasks,
            messages,
            thread,
        }
    }

    /// Claims a hold as the dispatch thread does.
    pub(crate) fn claim(&self, key: &str, body: &str) -> ClaimResult {
        let parts = RequestParts {
            method: hyper::Method::POST,
            uri: "/holds".parse().unwrap(),
            headers: HeaderMap::new(),
            body: Bytes::copy_from_slice(body.as_bytes()),
        };
        let claim = ClaimTask::Claim {
            request: 1,
            key: key_hash(&"trip".into(), key),
            fingerprint: claims::fingerprint(&parts),
            deadline: Instant::now() + Duration::from_secs(3),
            window: Duration::from_secs(3600),
            record_bytes: 4096,
        };
        self.tasks.send(claim).unwrap();
        match self.messages.recv_timeout(Duration::from_secs(5)).unwrap() {
            Message::Claimed { result, .. } => result,
            other => panic!("{other:?}"),
        }
    }

    /// Records an answer of the claimed hold, whose body need not be text.
    pub(crate) fn acknowledge(&self, body: &'static [u8]) {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", "text/beds".parse().unwrap());
        headers.insert("set-cookie", "private".parse().unwrap());
        let answer = Answer {
            status: StatusCode::CREATED,
            headers,
            body: Bytes::from_static(body),
            rest: None,
        };
        let task = ClaimTask::Acknowledge {
            request: 1,
            answer: Some(Box::new(answer)),
        };
        self.tasks.send(task).unwrap();
    }

    /// Lets the thread write what is pending, and joins it.
    pub(crate) fn stop(self) {
        drop(self.tasks);
        self.thread.join().unwrap();
    }
}

/// Sends the same hold through each VM at the same moment.
pub(crate) fn hold_through_all_vms(
    fleet: &Arc<Fleet>,
    vms: usize,
    key: &'static str,
) -> Vec<CallerAnswer> {
    let calls: Vec<_> = (0..vms)
        .map(|vm| {
            let fleet = Arc::clone(fleet);
            std::thread::spawn(move || hold(&fleet, vm, key, "beds"))
        })
        .collect();
    calls.into_iter().map(|call| call.join().unwrap()).collect()
}
