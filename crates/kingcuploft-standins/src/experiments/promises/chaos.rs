//! The schedule of faults of a run, drawn from the seed.

use std::time::Duration;

use crate::backend_server::{AnswerFault, Faults as BackendFaults};
use crate::platform::Faults as StoreFaults;

/// A fault, or an operation, that is injected into the deployment.
#[derive(Clone, Debug)]
pub enum ChaosEvent {
    /// Replaces the platform's faults.
    Store(StoreFaults),
    /// Replaces a backend server's faults.
    Backend(usize, BackendFaults),
    /// Closes all connections of a backend server.
    CloseConnections(usize),
    /// Pauses a VM's daemon for a time.
    Pause(usize, Duration),
    /// Kills a VM's daemon and replaces the VM.
    Kill(usize),
    /// Shuts a VM's daemon down gracefully and replaces the VM.
    Stop(usize),
    /// Cuts a VM's link to the platform for a time.
    CutPlatform(usize, Duration),
    /// Cuts the links by which its peers reach a VM for a time.
    CutPeers(usize, Duration),
    /// Two operators apply a manifest at the same time.
    ConcurrentApplies,
    /// Drains a backend server by the manifest.
    DrainByManifest(usize),
    /// Drains a backend server by its own replies.
    DrainByReply(usize),
}

/// An event and when it is injected.
#[derive(Clone, Debug)]
pub struct ScheduledEvent {
    /// Time from the start of the run.
    pub at: Duration,
    /// What is injected.
    pub event: ChaosEvent,
}

/// Draws the events of a run; no new event starts in the last fifth of the time.
pub fn draw_events(
    seed: u64,
    time: Duration,
    vms: usize,
    backend_servers: usize,
) -> Vec<ScheduledEvent> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x00c0_ffee);
    let mut at = Duration::from_millis(300);
    let mut events = Vec::new();
    let mut drains = 0;
    while at < time.mul_f64(0.8) {
        let event = draw_event(&mut rng, vms, backend_servers, &mut drains);
        events.push(ScheduledEvent { at, event });
        at += Duration::from_millis(rng.u64(80..500));
    }
    events
}

fn draw_event(
    rng: &mut fastrand::Rng,
    vms: usize,
    servers: usize,
    drains: &mut usize,
) -> ChaosEvent {
    let vm = rng.usize(..vms);
    let server = rng.usize(..servers);
    let pause = Duration::from_millis(rng.u64(50..1200));
    match rng.u8(..20) {
        0..=2 => ChaosEvent::Store(StoreFaults::random(rng)),
        3..=4 => ChaosEvent::Store(StoreFaults::default()),
        5..=9 => ChaosEvent::Backend(server, backend_faults(rng)),
        10 => ChaosEvent::Backend(server, BackendFaults::default()),
        11 => ChaosEvent::CloseConnections(server),
        12 => ChaosEvent::Pause(vm, pause),
        13 => ChaosEvent::Kill(vm),
        14 => ChaosEvent::Stop(vm),
        15 => ChaosEvent::CutPlatform(vm, pause * 2),
        16 => ChaosEvent::CutPeers(vm, pause * 2),
        17..=18 => ChaosEvent::ConcurrentApplies,
        _ if *drains == 0 => {
            *drains += 1;
            match rng.bool() {
                true => ChaosEvent::DrainByManifest(server),
                false => ChaosEvent::DrainByReply(server),
            }
        }
        _ => ChaosEvent::ConcurrentApplies,
    }
}

fn backend_faults(rng: &mut fastrand::Rng) -> BackendFaults {
    let pause = Duration::from_millis(rng.u64(1..1500));
    let fault = match rng.u8(..11) {
        0 => AnswerFault::CutRequest,
        1 => AnswerFault::Late(pause),
        2 => AnswerFault::Never,
        3 => AnswerFault::Crossed,
        4 => AnswerFault::CutBeforeHead,
        5 => AnswerFault::CutInHead,
        6 => AnswerFault::CutInBody,
        7 => AnswerFault::Duplicated,
        8 => AnswerFault::Dripped(Duration::from_millis(1)),
        9 => AnswerFault::CutInChunks,
        _ => AnswerFault::Garbage,
    };
    BackendFaults {
        slow_factor: 1.0 + rng.f64() * 20.0 * f64::from(u8::from(rng.u8(..3) == 0)),
        shed_share: rng.f64() * 0.3 * f64::from(u8::from(rng.bool())),
        fail_fast_share: rng.f64() * 0.3 * f64::from(u8::from(rng.u8(..3) == 0)),
        refuse_connections: rng.u8(..8) == 0,
        answers: vec![(fault, rng.f64() * 0.7)],
        ..BackendFaults::default()
    }
}
