//! A dispatcher with a manifest, a clock that only the test moves, and the actions so far.

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

/// Builds a service with `servers` backend servers of one slot each and three rules.
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
    last: RequestId,
}

impl TestDispatcher {
    pub(crate) fn new(service: Service) -> Self {
        let vm = Vm {
            name: "entry-1".into(),
            availability_zone: "a".into(),
            incarnation: 1,
        };
        let mut world = Self {
            dispatcher: Dispatcher::new(vm, 7),
            now: Instant::now(),
            service: None,
            generation: 0,
            last: 0,
        };
        world.adopt(Some(service));
        world
    }

    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
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
        self.event(Event::ManifestAdopted(accepted))
    }

    /// Lets a request of caller `caller` arrive under the manifest in force.
    pub(crate) fn arrive_from(&mut self, caller: &str, rule: &str, left: Duration) -> Arrived {
        let service = self.service.clone().expect("a service in force");
        let rule = service.rules.iter().position(|r| &*r.name == rule).unwrap();
        self.arrive_on(Route { service, rule }, caller, left)
    }

    pub(crate) fn arrive_on(&mut self, route: Route, caller: &str, left: Duration) -> Arrived {
        self.last += 1;
        let protected = &*route.rule().name == HOLD;
        let arrival = Arrival {
            request: self.last,
            route,
            caller: caller.into(),
            key: protected.then(|| format!("key-{}", self.last).into()),
            arrived: self.now,
            deadline: self.now + left,
        };
        Arrived {
            id: self.last,
            actions: self.event(Event::Arrived(arrival)),
        }
    }

    pub(crate) fn arrive(&mut self, rule: &str) -> Arrived {
        self.arrive_from("squad", rule, Duration::from_millis(1000))
    }

    pub(crate) fn end(&mut self, attempt: AttemptId, end: CallEnd) -> Vec<Action> {
        self.event(Event::AttemptEnded(attempt, report(end)))
    }

    pub(crate) fn claimed(&mut self, request: RequestId, end: ClaimResult) -> Vec<Action> {
        self.event(Event::Claimed(request, end))
    }

    pub(crate) fn pass(&mut self, time: Duration) -> Vec<Action> {
        self.now += time;
        self.event(Event::Tick)
    }
}

pub(crate) struct Arrived {
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
