//! The faults of a run, drawn from the seed.

use std::time::Duration;

use crate::backend_server::{AnswerFault, Faults as BackendFaults};
use crate::platform::Faults as StoreFaults;

/// Something that happens to the deployment.
#[derive(Clone, Debug)]
pub enum Step {
    /// The platform gets faults.
    Store(StoreFaults),
    /// A backend server gets faults.
    Backend(usize, BackendFaults),
    /// A backend server's connections are closed at once.
    CloseConnections(usize),
    /// A VM is paused for a time.
    Pause(usize, Duration),
    /// A VM is killed and replaced.
    Kill(usize),
    /// A VM stops as planned and is replaced.
    Stop(usize),
    /// A VM's link to the platform is cut for a time.
    CutPlatform(usize, Duration),
    /// A VM's peer links are cut for a time.
    CutPeers(usize, Duration),
    /// Two operators apply a manifest at once.
    Race,
    /// A backend server leaves, by the manifest.
    Leave(usize),
    /// A backend server leaves, by its replies.
    LeaveByReply(usize),
}

/// A step and when it happens.
#[derive(Clone, Debug)]
pub struct DueStep {
    /// Time from the start of the run.
    pub at: Duration,
    /// What happens.
    pub step: Step,
}

/// Draws the steps of a run; the last fifth of the time is left without new faults.
pub fn draw(seed: u64, time: Duration, vms: usize, backend_servers: usize) -> Vec<DueStep> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x00c0_ffee);
    let mut at = Duration::from_millis(300);
    let mut steps = Vec::new();
    let mut left = 0;
    while at < time.mul_f64(0.8) {
        let step = draw_step(&mut rng, vms, backend_servers, &mut left);
        steps.push(DueStep { at, step });
        at += Duration::from_millis(rng.u64(80..500));
    }
    steps
}

fn draw_step(rng: &mut fastrand::Rng, vms: usize, servers: usize, left: &mut usize) -> Step {
    let vm = rng.usize(..vms);
    let server = rng.usize(..servers);
    let pause = Duration::from_millis(rng.u64(50..1200));
    match rng.u8(..20) {
        0..=2 => Step::Store(StoreFaults::random(rng)),
        3..=4 => Step::Store(StoreFaults::default()),
        5..=9 => Step::Backend(server, backend_faults(rng)),
        10 => Step::Backend(server, BackendFaults::default()),
        11 => Step::CloseConnections(server),
        12 => Step::Pause(vm, pause),
        13 => Step::Kill(vm),
        14 => Step::Stop(vm),
        15 => Step::CutPlatform(vm, pause * 2),
        16 => Step::CutPeers(vm, pause * 2),
        17..=18 => Step::Race,
        _ if *left == 0 => {
            *left += 1;
            match rng.bool() {
                true => Step::Leave(server),
                false => Step::LeaveByReply(server),
            }
        }
        _ => Step::Race,
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
