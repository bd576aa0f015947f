//! Two VMs and the store, explored exhaustively: the second knows the manifest by the first alone.

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

/// What one VM has, and what it last put in force and was told in this life.
#[derive(Clone, Default)]
struct Vm {
    adoption: Adoption,
    in_force: u64,
    told: u64,
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
            self.told,
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

/// Notes what a step put in force, and which promise that broke.
fn take(
    vm: &mut Vm,
    step: Result<AdoptionStep, impl Sized>,
    broken: &RefCell<BTreeSet<&'static str>>,
) {
    let Ok(AdoptionStep::InForce(accepted)) = step else {
        return;
    };
    let mut broken = broken.borrow_mut();
    if accepted.generation < vm.in_force {
        broken.insert("reverted");
    }
    if vm.in_force == 0 && accepted.generation < vm.told {
        broken.insert("older than a peer told");
    }
    if accepted.manifest.services.len() != 2 {
        broken.insert("half applied");
    }
    vm.in_force = accepted.generation;
}

#[test]
fn what_one_vm_passes_on_neither_reverts_nor_halves_another() {
    let world = World::new();
    let broken = RefCell::new(BTreeSet::new());
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
                let taught = s.first.adoption.root_text(&root.text());
                take(&mut s.first, taught, &broken);
            });
        }
        for object in &world.objects {
            for text in [object.text.as_str(), "{}"] {
                step(&|s| {
                    let taught = s.first.adoption.service_text(&object.hash, text);
                    take(&mut s.first, taught, &broken);
                });
            }
        }
        // The second VM hears the first's heartbeat, asks for the difference, asks for objects.
        step(&|s| {
            let generation = s.first.adoption.generation();
            s.second.adoption.note_generation(generation);
            s.second.told = s.second.told.max(generation);
        });
        let since = match state.second.adoption.missing_parts() {
            MissingParts::Root { since, .. } => since,
            _ => state.second.adoption.generation(),
        };
        for since in [0, since] {
            step(&|s| {
                if let Some(delta) = s.first.adoption.delta_since(since) {
                    let taught = s.second.adoption.root_delta(&delta);
                    take(&mut s.second, taught, &broken);
                }
            });
        }
        for object in &world.objects {
            step(&|s| {
                if let Some(text) = s.first.adoption.service(&object.hash).cloned() {
                    let taught = s.second.adoption.service_text(&object.hash, &text);
                    take(&mut s.second, taught, &broken);
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
    assert_eq!(broken.into_inner(), BTreeSet::new());
    // Every pair of generations that should be possible was reached.
    let pairs = (0..=2).flat_map(|a| (0..=2).map(move |b| (a, b)));
    assert_eq!(reached.into_inner(), pairs.collect());
}
