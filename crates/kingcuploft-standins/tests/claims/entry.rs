//! Callers of a small fleet, and a VM whose claims a test holds by hand.

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
    let variant = FleetOptions {
        mean_work_time: Duration::from_millis(1),
        extra_settings: "claims: {end_linger_ms: 20}\nstore: {call_timeout_ms: 200}\n".into(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(deployment, variant).unwrap();
    // Every VM has read the ledger's layout once a claim through it was decided.
    for vm in 0..vms {
        let warm = hold(&fleet, vm, &format!("warm-{vm}"), "beds");
        assert_eq!(warm.status, 200, "{warm:?}");
    }
    fleet
}

/// What a caller received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Told {
    pub(crate) status: u16,
    pub(crate) reason: String,
    pub(crate) outcome: String,
    pub(crate) body: String,
    pub(crate) content_type: String,
    pub(crate) retry_after: bool,
}

/// Asks for a hold through one VM.
pub(crate) fn hold(fleet: &Fleet, vm: usize, key: &str, body: &str) -> Told {
    post(fleet, vm, "/holds", &[("idempotency-key", key)], body)
}

/// Sends a POST through one VM.
pub(crate) fn post(
    fleet: &Fleet,
    vm: usize,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Told {
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
    Told {
        status: response.status().as_u16(),
        reason,
        outcome,
        content_type: header("content-type"),
        retry_after: !header("retry-after").is_empty(),
        body: response.body_mut().read_to_string().unwrap(),
    }
}

/// Looks something up through one VM; returns the status.
pub(crate) fn look(fleet: &Fleet, vm: usize) -> u16 {
    let url = format!("http://{}/itinerary", fleet.addresses()[vm]);
    let looked = ureq::get(url).header("host", "trip.example").call();
    looked.map_or(0, |looked| looked.status().as_u16())
}

/// Waits until something holds.
pub(crate) fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A VM's claims duty in the hands of a test: it claims, and then does nothing until it is told to.
pub(crate) struct HandHeld {
    orders: Sender<ClaimTask>,
    verdicts: Receiver<Message>,
    duty: std::thread::JoinHandle<()>,
}

impl HandHeld {
    pub(crate) fn start(fleet: &Fleet) -> Self {
        let shared = fleet.daemons[0].shared();
        let vm = Vm {
            name: "entry-by-hand".into(),
            availability_zone: "a".into(),
            incarnation: 1,
        };
        let (to_dispatch, verdicts) = bounded(64);
        let (orders, ring) = bounded(64);
        let shared = Shared::new(shared.settings.clone(), vm, to_dispatch);
        let store = Client::new(&fleet.platform.address().to_string());
        let duty = std::thread::spawn(move || claims::run(shared, &ring, store));
        Self {
            orders,
            verdicts,
            duty,
        }
    }

    /// Claims a hold as the dispatch duty would.
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
        self.orders.send(claim).unwrap();
        match self.verdicts.recv_timeout(Duration::from_secs(5)).unwrap() {
            Message::Claimed { result: end, .. } => end,
            other => panic!("{other:?}"),
        }
    }

    /// Records the answer of the claim, with bytes that are no text.
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
        let order = ClaimTask::Acknowledge {
            request: 1,
            answer: Some(Box::new(answer)),
        };
        self.orders.send(order).unwrap();
    }

    /// Lets the duty write what is left and end.
    pub(crate) fn stop(self) {
        drop(self.orders);
        self.duty.join().unwrap();
    }
}

/// Runs one call for each VM at the same moment.
pub(crate) fn at_once(fleet: &Arc<Fleet>, vms: usize, key: &'static str) -> Vec<Told> {
    let calls: Vec<_> = (0..vms)
        .map(|vm| {
            let fleet = Arc::clone(fleet);
            std::thread::spawn(move || hold(&fleet, vm, key, "beds"))
        })
        .collect();
    calls.into_iter().map(|call| call.join().unwrap()).collect()
}
