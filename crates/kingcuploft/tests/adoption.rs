//! Manifest adoption, explored exhaustively: the generation in force only grows, and no manifest is applied in part.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use kingcuploft::decisions::adoption::{Adoption, AdoptionError, AdoptionStep, MissingParts};
use kingcuploft::manifest::root::{ContentHash, Root, RootDelta, ServiceObject, ServiceRef};
use kingcuploft::manifest::{AcceptedManifest, Service};
use pathfinding::directed::bfs::bfs_reach;

fn object(name: &str, deadline_ms: u64) -> ServiceObject {
    let text = format!(
        "{{name: {name}, hosts: [{name}.example], backend_servers: [], rules: [{{name: r, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: {deadline_ms}}}]}}"
    );
    let service: Service = serde_saphyr::from_str(&text).unwrap();
    ServiceObject::new(&service)
}

fn root(generation: u64, objects: &[&ServiceObject]) -> Root {
    let parts = objects.iter().map(|o| ServiceRef {
        name: o.name.clone(),
        hash: o.hash.clone(),
    });
    Root {
        generation,
        apply_id: format!("apply-{generation}"),
        services: parts.collect(),
        ..Root::default()
    }
}

/// Three generations: the second changes `trip`, the third changes `venue` and adds `archive`.
struct World {
    objects: Vec<ServiceObject>,
    roots: Vec<Root>,
}

impl World {
    fn new() -> Self {
        let objects = vec![
            object("trip", 1),
            object("venue", 1),
            object("trip", 2),
            object("venue", 3),
            object("archive", 3),
        ];
        let of = |g, parts: &[usize]| {
            let parts: Vec<_> = parts.iter().map(|&i| &objects[i]).collect();
            root(g, &parts)
        };
        let roots = vec![of(1, &[0, 1]), of(2, &[2, 1]), of(3, &[2, 3, 4])];
        Self { objects, roots }
    }

    fn is_whole(&self, accepted: &AcceptedManifest) -> bool {
        let root = &self.roots[accepted.generation as usize - 1];
        let found = accepted.manifest.services.iter();
        let found: Vec<_> = found.map(|s| ServiceObject::new(s).hash).collect();
        let expected: Vec<_> = root.services.iter().map(|part| part.hash.clone()).collect();
        found == expected
    }
}

#[test]
fn a_manifest_is_in_force_only_when_whole_and_only_forward() {
    let world = World::new();
    let mut adoption = Adoption::default();
    let step = adoption.root_text(&world.roots[1].text()).unwrap();
    assert!(matches!(step, AdoptionStep::FetchMissing));
    let MissingParts::Services(missing) = adoption.missing_parts() else {
        panic!("services are missing");
    };
    assert_eq!(missing.len(), 2);
    adoption
        .service_text(&missing[0], &world.objects[2].text)
        .unwrap();
    let step = adoption.service_text(&missing[1], &world.objects[1].text);
    assert!(matches!(step, Ok(AdoptionStep::InForce(_))));
    let stale = adoption.root_text(&world.roots[0].text()).unwrap();
    assert!(matches!(stale, AdoptionStep::Unchanged));
    assert_eq!(adoption.generation(), 2);
    assert_eq!(adoption.missing_parts(), MissingParts::Nothing);
}

#[test]
fn a_replaced_vm_does_not_start_from_an_older_manifest_than_a_peer_has() {
    // Failure: a VM is replaced, its first read of the store is stale, and a peer has already announced the newer
    // generation. Without the guard a user would see a service that operators removed an hour ago.
    let world = World::new();
    let mut adoption = Adoption::default();
    adoption.heard(2);
    adoption.root_text(&world.roots[0].text()).unwrap();
    for object in &world.objects[..2] {
        let step = adoption.service_text(&object.hash, &object.text).unwrap();
        assert!(matches!(
            step,
            AdoptionStep::FetchMissing | AdoptionStep::Unchanged
        ));
    }
    assert_eq!(adoption.generation(), 0);
    let need = adoption.missing_parts();
    let wanted = MissingParts::Root {
        generation: 2,
        since: 1,
    };
    assert_eq!(need, wanted);
    adoption.root_text(&world.roots[1].text()).unwrap();
    let trip = &world.objects[2];
    let step = adoption.service_text(&trip.hash, &trip.text).unwrap();
    assert!(matches!(step, AdoptionStep::InForce(accepted) if accepted.generation == 2));
}

#[test]
fn a_corrupt_part_keeps_the_old_manifest_and_is_reported() {
    let world = World::new();
    let mut adoption = Adoption::default();
    adoption.root_text(&world.roots[0].text()).unwrap();
    for object in &world.objects[..2] {
        adoption.service_text(&object.hash, &object.text).unwrap();
    }
    adoption.root_text(&world.roots[1].text()).unwrap();
    let trip = &world.objects[2];
    let wrong = adoption.service_text(&trip.hash, &world.objects[0].text);
    assert_eq!(
        wrong.unwrap_err(),
        AdoptionError::WrongHash(trip.hash.clone())
    );
    assert!(adoption.root_text("{\"generation\": 9").is_err());
    let status = adoption.status();
    assert_eq!((status.in_force, status.heard, status.missing), (1, 2, 1));
    assert!(status.fault.is_some());
    let step = adoption.service_text(&trip.hash, &trip.text).unwrap();
    assert!(matches!(step, AdoptionStep::InForce(_)));
    assert_eq!(adoption.status().fault, None);
}

#[test]
fn a_generation_with_two_contents_is_not_taken() {
    let world = World::new();
    let mut adoption = Adoption::default();
    adoption.root_text(&world.roots[0].text()).unwrap();
    for object in &world.objects[..2] {
        adoption.service_text(&object.hash, &object.text).unwrap();
    }
    let other = root(1, &[&world.objects[0]]);
    let step = adoption.root_text(&other.text());
    assert_eq!(step.unwrap_err(), AdoptionError::ConflictingContents(1));
}

#[test]
fn a_delta_gives_the_whole_root_or_nothing() {
    let world = World::new();
    let [first, second, third] = &world.roots[..] else {
        panic!("three roots");
    };
    for (earlier, later) in [(first, second), (second, third), (first, third)] {
        let delta = RootDelta::between(Some(earlier), later);
        assert_eq!(delta.apply(Some(earlier)).as_ref(), Some(later));
        assert_eq!(delta.apply(Some(third)).filter(|_| earlier != third), None);
        assert_eq!(delta.apply(None), None);
    }
    assert_eq!(
        RootDelta::between(Some(first), second).root.services.len(),
        1
    );
    let mut bent = RootDelta::between(Some(first), second);
    bent.root.services[0].hash = ContentHash::of("other");
    assert_eq!(bent.apply(Some(first)), None);
}

/// The state that an adoption's next steps depend on.
type Key = (u64, u64, usize, u64, Vec<bool>);

/// An adoption under test: the real one or one that is broken on purpose.
trait Machine: Clone {
    fn root(&mut self, root: &Root) -> Option<AcceptedManifest>;
    fn service(&mut self, object: &ServiceObject, text: &str) -> Option<AcceptedManifest>;
    fn heard(&mut self, generation: u64);
    fn key(&self, world: &World) -> Key;
}

fn in_force(step: Result<AdoptionStep, AdoptionError>) -> Option<AcceptedManifest> {
    match step {
        Ok(AdoptionStep::InForce(accepted)) => Some(accepted),
        _ => None,
    }
}

impl Machine for Adoption {
    fn root(&mut self, root: &Root) -> Option<AcceptedManifest> {
        in_force(self.root_text(&root.text()))
    }

    fn service(&mut self, object: &ServiceObject, text: &str) -> Option<AcceptedManifest> {
        in_force(self.service_text(&object.hash, text))
    }

    fn heard(&mut self, generation: u64) {
        self.note_generation(generation);
    }

    fn key(&self, world: &World) -> Key {
        let status = self.status();
        let awaited = match self.missing_parts() {
            MissingParts::Nothing => 0,
            MissingParts::Root { since, .. } => 10 + since,
            MissingParts::Services(missing) => {
                let objects = world.objects.iter().enumerate();
                let bits = objects.map(|(i, o)| u64::from(missing.contains(&o.hash)) << i);
                100 + bits.sum::<u64>()
            }
        };
        let held = world.objects.iter();
        let held = held.map(|o| self.service(&o.hash).is_some()).collect();
        (status.in_force, status.heard, status.missing, awaited, held)
    }
}

/// A broken adoption: it takes whatever root it received last, and skips missing parts.
#[derive(Clone, Default)]
struct LastReceived {
    root: Option<Root>,
    parts: Vec<ServiceObject>,
}

impl LastReceived {
    fn take(&self) -> Option<AcceptedManifest> {
        let root = self.root.as_ref()?;
        let parts = root.services.iter();
        let parts = parts.filter_map(|part| self.parts.iter().find(|o| o.hash == part.hash));
        let services = parts.map(|o| serde_json::from_str(&o.text).map(Arc::new).ok());
        Some(AcceptedManifest {
            generation: root.generation,
            manifest: Arc::new(kingcuploft::manifest::Manifest {
                services: services.collect::<Option<_>>()?,
            }),
        })
    }
}

impl Machine for LastReceived {
    fn root(&mut self, root: &Root) -> Option<AcceptedManifest> {
        self.root = Some(root.clone());
        self.take()
    }

    fn service(&mut self, object: &ServiceObject, text: &str) -> Option<AcceptedManifest> {
        if text == object.text && !self.parts.contains(object) {
            self.parts.push(object.clone());
        }
        self.take()
    }

    fn heard(&mut self, _generation: u64) {}

    fn key(&self, world: &World) -> Key {
        let generation = self.root.as_ref().map_or(0, |root| root.generation);
        let held = world.objects.iter().map(|o| self.parts.contains(o));
        (generation, 0, 0, 0, held.collect())
    }
}

/// The state of the exploration: one VM, the newest generation in the store, and what the VM last put in force and
/// heard of.
#[derive(Clone)]
struct State<M> {
    machine: M,
    accepted: u64,
    in_force: u64,
    announced: u64,
    key: Key,
}

impl<M> State<M> {
    fn identity(&self) -> (u64, u64, u64, &Key) {
        (self.accepted, self.in_force, self.announced, &self.key)
    }
}

impl<M> PartialEq for State<M> {
    fn eq(&self, other: &Self) -> bool {
        self.identity() == other.identity()
    }
}

impl<M> Eq for State<M> {}

impl<M> Hash for State<M> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.identity().hash(state);
    }
}

/// Explores every order of: an apply; a read of any root up to the accepted one (a stale read, a late watch, a lagging
/// peer); a service object whole, corrupt or of another name; a heartbeat with any accepted generation; the replacement
/// of the VM. Returns the number of states and the kinds of violations.
fn explore<M: Machine + Default>() -> (usize, BTreeSet<&'static str>) {
    let world = World::new();
    let violations = RefCell::new(BTreeSet::new());
    let start = State {
        machine: M::default(),
        accepted: 1,
        in_force: 0,
        announced: 0,
        key: M::default().key(&world),
    };
    let next = |state: &State<M>| {
        let mut states = Vec::new();
        let mut step = |change: &dyn Fn(&mut State<M>) -> Option<AcceptedManifest>| {
            let mut next = state.clone();
            if let Some(accepted) = change(&mut next) {
                let mut violations = violations.borrow_mut();
                if accepted.generation < state.in_force {
                    violations.insert("reverted");
                }
                if state.in_force == 0 && accepted.generation < state.announced {
                    violations.insert("older than a peer announced");
                }
                if !world.is_whole(&accepted) {
                    violations.insert("half applied");
                }
                next.in_force = accepted.generation;
            }
            next.key = next.machine.key(&world);
            states.push(next);
        };
        if state.accepted < 3 {
            step(&|s| {
                s.accepted += 1;
                None
            });
        }
        for root in &world.roots[..state.accepted as usize] {
            step(&|s| s.machine.root(root));
            step(&|s| {
                s.machine.heard(root.generation);
                s.announced = s.announced.max(root.generation);
                None
            });
        }
        for (i, object) in world.objects.iter().enumerate() {
            let other = &world.objects[(i + 1) % world.objects.len()].text;
            step(&|s| s.machine.service(object, &object.text));
            step(&|s| s.machine.service(object, other));
            step(&|s| s.machine.service(object, &object.text[1..]));
        }
        step(&|s| {
            s.machine = M::default();
            (s.in_force, s.announced) = (0, 0);
            None
        });
        states
    };
    let states = bfs_reach(start, next).count();
    (states, violations.into_inner())
}

#[test]
fn no_order_of_events_reverts_a_manifest_or_applies_it_in_part() {
    let (states, violations) = explore::<Adoption>();
    assert_eq!(violations, BTreeSet::new());
    println!("{states} states explored");
    assert!(states > 100, "{states}");
}

#[test]
fn the_exploration_finds_a_broken_adoption() {
    let (_, violations) = explore::<LastReceived>();
    let all = ["half applied", "older than a peer announced", "reverted"];
    assert_eq!(violations, BTreeSet::from(all));
}
