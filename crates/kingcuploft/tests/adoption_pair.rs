//! Manifest adoption of two VMs and the store, explored exhaustively: the second VM gets the manifest from the first
//! alone.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use kingcuploft::decisions::adoption::{Adoption, AdoptionStep, MissingParts};
use kingcuploft::manifest::Service;
use kingcuploft::manifest::root::{Root, ServiceObject, ServiceRef};
use pathfinding::directed::bfs::bfs_reach;

/// Two generations; the second changes one of two services.
struct World {
    objects: Vec<ServiceObject>,
    roots: Vec<Root>,
}

fn object(name: &str, deadline_ms: u64) -> ServiceObject {
    let text = format!(
        "{{name: {name}, hosts: [{name}.example], backend_servers: [], rules: [{{name: r, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: {deadline_ms}}}]}}"
    );
    let service: Service = serde_saphyr::from_str(&text).unwrap();
    ServiceObject::new(&service)
}

impl World {
    fn new() -> Self {
        let objects = vec![object("trip", 1), object("venue", 1), object("trip", 2)];
        let root = |generation, parts: &[usize]| Root {
            generation,
            services: parts
                .iter()
                .map(|&i| ServiceRef {
                    name: objects[i].name.clone(),
                    hash: objects[i].hash.clone(),
                })
                .collect(),
            ..Root::default()
        };
        let roots = vec![root(1, &[0, 1]), root(2, &[2, 1])];
        Self { objects, roots }
    }
}

/// The state of one VM: its adoption, and what it last put in force and heard of in this incarnation.
#[derive(Clone, Default)]
struct Vm {
    adoption: Adoption,
    in_force: u64,
    announced: u64,
}

impl Vm {
    fn key(&self, world: &World) -> (u64, u64, u64, u64, usize, String, Vec<bool>) {
        let status = self.adoption.status();
        let held = world.objects.iter();
        let held = held.map(|o| self.adoption.service(&o.hash).is_some());
        let need = match self.adoption.missing_parts() {
            MissingParts::Nothing => String::new(),
            need => format!("{need:?}"),
        };
        (
            self.in_force,
            self.announced,
            status.in_force,
            status.heard,
            status.missing,
            need,
            held.collect(),
        )
    }
}

#[derive(Clone)]
struct State {
    accepted: usize,
    first: Vm,
    second: Vm,
    key: String,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

/// Records what a step put in force, and which property that violated.
fn record_step(
    vm: &mut Vm,
    step: Result<AdoptionStep, impl Sized>,
    violations: &RefCell<BTreeSet<&'static str>>,
) {
    let Ok(AdoptionStep::InForce(accepted)) = step else {
        return;
    };
    let mut violations = violations.borrow_mut();
    if accepted.generation < vm.in_force {
        violations.insert("reverted");
    }
    if vm.in_force == 0 && accepted.generation < vm.announced {
        violations.insert("older than a peer announced");
    }
    if accepted.manifest.services.len() != 2 {
        violations.insert("half applied");
    }
    vm.in_force = accepted.generation;
}

#[test]
fn a_peers_manifest_is_never_older_or_applied_in_part() {
    let world = World::new();
    let violations = RefCell::new(BTreeSet::new());
    let reached = RefCell::new(BTreeSet::new());
    let start = State {
        accepted: 1,
        first: Vm::default(),
        second: Vm::default(),
        key: String::new(),
    };
    let next = |state: &State| {
        let mut states = Vec::new();
        let mut step = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            let keys = (
                next.accepted,
                next.first.key(&world),
                next.second.key(&world),
            );
            next.key = format!("{keys:?}");
            reached
                .borrow_mut()
                .insert((next.first.in_force, next.second.in_force));
            states.push(next);
        };
        step(&|s| s.accepted = world.roots.len());
        // The first VM reads the store: any root up to the accepted one, whole or corrupt objects.
        for root in &world.roots[..state.accepted] {
            step(&|s| {
                let step_result = s.first.adoption.root_text(&root.text());
                record_step(&mut s.first, step_result, &violations);
            });
        }
        for object in &world.objects {
            for text in [object.text.as_str(), "{}"] {
                step(&|s| {
                    let step_result = s.first.adoption.service_text(&object.hash, text);
                    record_step(&mut s.first, step_result, &violations);
                });
            }
        }
        // The second VM gets the first's heartbeat, asks for the delta, and asks for objects.
        step(&|s| {
            let generation = s.first.adoption.generation();
            s.second.adoption.note_generation(generation);
            s.second.announced = s.second.announced.max(generation);
        });
        let since = match state.second.adoption.missing_parts() {
            MissingParts::Root { since, .. } => since,
            _ => state.second.adoption.generation(),
        };
        for since in [0, since] {
            step(&|s| {
                if let Some(delta) = s.first.adoption.delta_since(since) {
                    let step_result = s.second.adoption.root_delta(&delta);
                    record_step(&mut s.second, step_result, &violations);
                }
            });
        }
        for object in &world.objects {
            step(&|s| {
                if let Some(text) = s.first.adoption.service(&object.hash).cloned() {
                    let step_result = s.second.adoption.service_text(&object.hash, &text);
                    record_step(&mut s.second, step_result, &violations);
                }
            });
        }
        // Either VM is replaced.
        step(&|s| s.first = Vm::default());
        step(&|s| s.second = Vm::default());
        states
    };
    let states = bfs_reach(start, next).count();
    println!("{states} states explored");
    assert_eq!(violations.into_inner(), BTreeSet::new());
    // Every pair of generations that should be possible was reached.
    let pairs = (0..=2).flat_map(|a| (0..=2).map(move |b| (a, b)));
    assert_eq!(reached.into_inner(), pairs.collect());
}
