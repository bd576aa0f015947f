//! The start of a process, explored over all orders in which what it needs arrives and signals come.

use std::collections::BTreeSet;
use std::time::Duration;

use kingcuploft::entry::start::{Known, Port, Stage, Start, StartEvent, may_open_spare};

const PORTS: [Port; 5] = [
    Port::Callers,
    Port::Readiness,
    Port::Peers,
    Port::Control,
    Port::Metrics,
];

/// What the VM may learn of the store.
const LESSONS: [Lesson; 3] = [Lesson::Configuration, Lesson::Servers, Lesson::Zones];

/// After so many events no new state is found.
const DEPTH: usize = 18;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Lesson {
    Configuration,
    Servers,
    Zones,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Start(StartEvent),
    Learned(Lesson),
}

/// A process, and what has happened to it so far.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct World {
    start: Start,
    known: Known,
    happened: BTreeSet<Event>,
}

impl World {
    /// Returns the events that may come next. Ports are wanted once, and opened once they are wanted.
    fn next_events(&self) -> Vec<Event> {
        let mut events = vec![Event::Start(StartEvent::Terminated)];
        match self.start.stage() {
            Stage::Settings => events.push(Event::Start(StartEvent::SettingsRead)),
            Stage::EventLoop => events.push(Event::Start(StartEvent::EventLoopOpened)),
            Stage::Running => {
                events.extend(PORTS.iter().filter_map(|port| self.next_of(*port)));
                events.extend(LESSONS.map(Event::Learned));
            }
            Stage::Stopping => {
                events.extend(PORTS.iter().filter_map(|port| self.next_of(*port)));
                events.push(Event::Start(StartEvent::Stopped));
            }
            Stage::Ended => {}
        }
        events
    }

    fn next_of(&self, port: Port) -> Option<Event> {
        let wanted = Event::Start(StartEvent::PortWanted(port));
        let opened = Event::Start(StartEvent::PortOpened(port));
        match (self.happened(wanted), self.happened(opened)) {
            (false, _) => Some(wanted),
            (true, false) => Some(opened),
            (true, true) => None,
        }
    }

    fn happened(&self, event: Event) -> bool {
        self.happened.contains(&event)
    }

    fn after(&self, event: Event) -> Self {
        let mut next = self.clone();
        next.happened.insert(event);
        match event {
            Event::Start(event) => next.start.apply(event),
            Event::Learned(Lesson::Configuration) => next.known.configuration = true,
            Event::Learned(Lesson::Servers) => next.known.servers = true,
            Event::Learned(Lesson::Zones) => next.known.evacuated_zones = true,
        }
        next
    }

    fn is_ready(&self) -> bool {
        let is_serving = self.start.stage() == Stage::Running;
        is_serving && self.start.missing_to_serve(self.known).next().is_none()
    }

    /// Returns whether all has happened that serving needs, and no signal has come.
    fn has_all(&self) -> bool {
        let is_open = |port: &Port| {
            let is_wanted = self.happened(Event::Start(StartEvent::PortWanted(*port)));
            !is_wanted || self.happened(Event::Start(StartEvent::PortOpened(*port)))
        };
        let needed = [Port::Callers, Port::Readiness, Port::Peers];
        let knows_all = LESSONS.iter().all(|l| self.happened(Event::Learned(*l)));
        let is_running = self.happened(Event::Start(StartEvent::EventLoopOpened));
        is_running && knows_all && needed.iter().all(is_open) && !self.is_terminated()
    }

    fn is_terminated(&self) -> bool {
        self.happened(Event::Start(StartEvent::Terminated))
    }
}

/// Returns all worlds that up to [`DEPTH`] events lead to, by the number of events.
fn explore() -> Vec<BTreeSet<World>> {
    let mut seen = BTreeSet::from([World::default()]);
    let mut layers = vec![seen.clone()];
    for _ in 0..DEPTH {
        let mut layer = BTreeSet::new();
        for world in layers.last().unwrap() {
            let next = world.next_events().into_iter().map(|e| world.after(e));
            layer.extend(next.filter(|next| !seen.contains(next)));
        }
        seen.extend(layer.iter().cloned());
        layers.push(layer);
    }
    layers
}

/// Guards against a start that ends without a signal, or a VM that is ready too early, too late, or never, by the order in which
/// things arrive.
#[test]
fn a_process_ends_by_a_signal_alone_and_is_ready_exactly_while_it_has_all_that_it_needs() {
    let layers = explore();
    let mut count = 0;
    for world in layers.iter().flatten() {
        count += 1;
        assert_eq!(world.is_ready(), world.has_all(), "{world:?}");
        let has_left = world.start.stage() > Stage::Running;
        assert_eq!(has_left, world.is_terminated(), "{world:?}");
        if world.start.stage() == Stage::Ended {
            let was_running = world.happened(Event::Start(StartEvent::EventLoopOpened));
            let is_stopped = world.happened(Event::Start(StartEvent::Stopped));
            assert_eq!(was_running, is_stopped, "cut instead of stopped: {world:?}");
        }
    }
    assert!(count > 5_000, "only {count} worlds");
    let deepest = layers.last().unwrap();
    assert!(deepest.is_empty(), "{} beyond the depth", deepest.len());
}

/// Guards against an event that comes where it can't, from a task that is late, and sets the start back.
#[test]
fn an_event_out_of_place_never_sets_the_process_back() {
    let events = [
        StartEvent::SettingsRead,
        StartEvent::EventLoopOpened,
        StartEvent::PortWanted(Port::Callers),
        StartEvent::PortOpened(Port::Callers),
        StartEvent::Terminated,
        StartEvent::Stopped,
    ];
    let mut layer = BTreeSet::from([Start::default()]);
    for _ in 0..8 {
        let mut next = layer.clone();
        for start in &layer {
            for event in events {
                let mut after = start.clone();
                after.apply(event);
                assert!(after.stage() >= start.stage(), "{start:?} {event:?}");
                let may_end = event == StartEvent::Terminated || event == StartEvent::Stopped;
                let has_ended = after.stage() > start.stage() && after.stage() > Stage::Running;
                assert!(may_end || !has_ended, "{start:?} {event:?}");
                next.insert(after);
            }
        }
        layer = next;
    }
    let ended = layer.iter().filter(|start| start.stage() == Stage::Ended);
    assert!(ended.count() > 0);
}

/// Guards against readiness that doesn't name what is waited for.
#[test]
fn all_that_is_missing_is_named() {
    let mut start = Start::at_running();
    for port in PORTS {
        start.apply(StartEvent::PortWanted(port));
    }
    let missing: Vec<_> = start.missing_to_serve(Known::default()).collect();
    let wanted = [
        "port of callers",
        "port of readiness",
        "port of peers",
        "configuration",
        "list of servers",
        "evacuated zones",
    ];
    assert_eq!(missing, wanted);
    assert_eq!(start.missing_port_count(), PORTS.len());
    start.apply(StartEvent::Terminated);
    assert!(
        start
            .missing_to_serve(Known::default())
            .any(|what| what == "it stops")
    );
}

/// Guards against a VM that leaves its port to its own earlier process too soon, or waits for good.
#[test]
fn a_further_port_is_opened_after_the_time_of_a_planned_stop() {
    let stop = Duration::from_secs(6);
    assert!(!may_open_spare(Duration::ZERO, stop));
    assert!(!may_open_spare(stop - Duration::from_millis(1), stop));
    assert!(may_open_spare(stop, stop));
}
