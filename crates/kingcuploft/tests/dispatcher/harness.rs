//! A test harness: a dispatcher with a manifest and a clock that only the test advances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::dispatcher::{Action, Arrival, Call, ClaimResult, Dispatcher, Event};
use kingcuploft::manifest::routing::Route;
use kingcuploft::manifest::{AcceptedManifest, Manifest, Service};
use kingcuploft::world::backend_server::{CallEnd, CallReport};
use kingcuploft::world::ids::{AttemptId, RequestId};
use kingcuploft::world::refusal::Refusal;
use kingcuploft::world::vm::Vm;

pub(crate) const LOOKUP: &str = "lookup";
pub(crate) const HOLD: &str = "hold";
pub(crate) const SEARCH: &str = "search";

/// Builds a service with three rules and one backend server of one slot for each name.
pub(crate) fn service(servers: &[&str]) -> Service {
    let servers: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(i, name)| {
            serde_json::json!({"name": name, "address": format!("127.0.0.1:{}", 9000 + i),
                "availability_zone": "a", "slots": 1, "connections": 220})
        })
        .collect();
    let rule = |name: &str, contract: &str, priority: &str| {
        serde_json::json!({"name": name, "path_prefix": format!("/{name}"), "contract": contract,
            "priority": priority, "deadline_ms": 1000})
    };
    let service = serde_json::json!({
        "name": "trip", "hosts": ["trip.example"], "backend_servers": servers,
        "rules": [
            rule(LOOKUP, "retry_freely", "interactive"),
            rule(HOLD, "at_most_once", "protected"),
            rule(SEARCH, "retry_freely", "background"),
        ],
    });
    serde_json::from_value(service).unwrap()
}

pub(crate) struct TestDispatcher {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now: Instant,
    pub(crate) service: Option<Arc<Service>>,
    generation: u64,
    last_request: RequestId,
}

impl TestDispatcher {
    pub(crate) fn new(service: Service) -> Self {
        let vm = Vm {
            name: "entry-1".into(),
            availability_zone: "a".into(),
            incarnation: 1,
        };
        let mut harness = Self {
            dispatcher: Dispatcher::new(vm, 7),
            now: Instant::now(),
            service: None,
            generation: 0,
            last_request: 0,
        };
        harness.adopt(Some(service));
        harness
    }

    pub(crate) fn send(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.on_event(self.now, event, &mut actions);
        actions
    }

    pub(crate) fn adopt(&mut self, service: Option<Service>) -> Vec<Action> {
        self.generation += 1;
        self.service = service.map(Arc::new);
        let services = self.service.iter().cloned().collect();
        let accepted = AcceptedManifest {
            generation: self.generation,
            manifest: Arc::new(Manifest { services }),
        };
        self.send(Event::ManifestAdopted(accepted))
    }

    /// Sends a request of a caller under the manifest in force, with its deadline after `remaining`.
    pub(crate) fn arrive_from(
        &mut self,
        caller: &str,
        rule: &str,
        remaining: Duration,
    ) -> ArrivalResult {
        let service = self.service.clone().expect("a service in force");
        let rule = service.rules.iter().position(|r| &*r.name == rule).unwrap();
        self.arrive_on(Route { service, rule }, caller, remaining)
    }

    pub(crate) fn arrive_on(
        &mut self,
        route: Route,
        caller: &str,
        remaining: Duration,
    ) -> ArrivalResult {
        self.last_request += 1;
        let protected = &*route.rule().name == HOLD;
        let arrival = Arrival {
            request: self.last_request,
            route,
            caller: caller.into(),
            key: protected.then(|| format!("key-{}", self.last_request).into()),
            arrived: self.now,
            deadline: self.now + remaining,
        };
        ArrivalResult {
            id: self.last_request,
            actions: self.send(Event::Arrived(arrival)),
        }
    }

    pub(crate) fn arrive(&mut self, rule: &str) -> ArrivalResult {
        self.arrive_from("squad", rule, Duration::from_millis(1000))
    }

    pub(crate) fn end_attempt(&mut self, attempt: AttemptId, end: CallEnd) -> Vec<Action> {
        self.send(Event::AttemptEnded(attempt, report(end)))
    }

    pub(crate) fn end_claim(&mut self, request: RequestId, end: ClaimResult) -> Vec<Action> {
        self.send(Event::Claimed(request, end))
    }

    pub(crate) fn advance(&mut self, time: Duration) -> Vec<Action> {
        self.now += time;
        self.send(Event::Tick)
    }
}

pub(crate) struct ArrivalResult {
    pub(crate) id: RequestId,
    pub(crate) actions: Vec<Action>,
}

pub(crate) fn report(end: CallEnd) -> CallReport {
    CallReport {
        end,
        latency: Duration::from_millis(5),
        load: None,
        draining: false,
    }
}

pub(crate) fn calls(actions: &[Action]) -> Vec<&Call> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Call(call) => Some(call),
        _ => None,
    });
    calls.collect()
}

pub(crate) fn refusal(actions: &[Action], id: RequestId) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse(request, refusal) if *request == id => Some(*refusal),
        _ => None,
    })
}

pub(crate) fn released(actions: &[Action], id: RequestId) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, Action::Release(request) if *request == id))
}
