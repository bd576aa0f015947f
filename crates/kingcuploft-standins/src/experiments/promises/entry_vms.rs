//! The entry VMs of a run: daemon processes that are paused, killed, shut down and replaced, and the observer that
//! samples their readiness and generation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::runtime::Runtime;

use super::check::{ActivePeriod, GenerationSample};
use crate::link::{Link, LinkState};
use crate::process::{DaemonProcess, Ports};

/// How long a new daemon may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a graceful shutdown may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a daemon that shuts down reports that it is not ready before it refuses requests, in ms.
const NOT_READY_MS: u64 = 150;

/// How often the observer, which also stands for the platform's balancer, polls every daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// An entry VM and the daemon process that runs on it now.
#[derive(Debug)]
struct VmSlot {
    process: DaemonProcess,
    daemon_id: usize,
    ports: Ports,
    in_rotation: bool,
    stopping: bool,
    active_since: Option<Duration>,
}

/// The observer's samples, and how daemons were stopped.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The sampled generations.
    pub generation_samples: Vec<GenerationSample>,
    /// The periods in which a daemon was ready and not paused.
    pub active_periods: Vec<ActivePeriod>,
    /// The daemons that were asked to shut down gracefully, and when.
    pub planned_stops: Vec<(usize, Duration)>,
    /// The daemons that were paused or killed.
    pub paused_or_killed: Vec<usize>,
    /// The number of graceful shutdowns that timed out or ended with an error.
    pub failed_stops: u64,
}

/// The entry VMs of a run and their links.
#[derive(Debug)]
pub struct EntryVms {
    started_at: Instant,
    folder: PathBuf,
    platform_links: Vec<Link>,
    peer_links: Vec<Mutex<Link>>,
    slots: Vec<Mutex<VmSlot>>,
    observations: Mutex<Observations>,
    daemons_started: Mutex<usize>,
    runtime: std::sync::Arc<Runtime>,
}

impl EntryVms {
    /// Starts `count` daemons and waits until they are ready.
    ///
    /// # Errors
    ///
    /// The operating system's error if a port, a file or a process is not available, or an error if a daemon does not
    /// become ready.
    pub fn start(
        runtime: std::sync::Arc<Runtime>,
        platform: SocketAddr,
        folder: PathBuf,
        count: usize,
    ) -> std::io::Result<Self> {
        let mut entry_vms = Self {
            started_at: Instant::now(),
            folder,
            platform_links: Vec::new(),
            peer_links: Vec::new(),
            slots: Vec::new(),
            observations: Mutex::default(),
            daemons_started: Mutex::new(0),
            runtime,
        };
        let mut ports = Vec::new();
        for _ in 0..count {
            let own = Ports::free()?;
            entry_vms
                .platform_links
                .push(Link::start(&entry_vms.runtime, platform)?);
            let link = Link::start(&entry_vms.runtime, own.peers)?;
            entry_vms.peer_links.push(Mutex::new(link));
            ports.push(own);
        }
        for (vm, ports) in ports.into_iter().enumerate() {
            let (process, daemon_id) = entry_vms.start_daemon(vm, ports)?;
            let slot = VmSlot {
                process,
                daemon_id,
                ports,
                in_rotation: false,
                stopping: false,
                active_since: None,
            };
            entry_vms.slots.push(Mutex::new(slot));
        }
        for vm in 0..count {
            let mut slot = lock(&entry_vms.slots[vm]);
            if !slot.process.wait_ready(READY_TIMEOUT) {
                // Another process may have taken one of the free ports before the daemon bound it.
                entry_vms.replace(vm, &mut slot);
            }
            if slot.process.admin_page("ready").is_none() {
                return Err(std::io::Error::other("a daemon is not ready"));
            }
            slot.in_rotation = true;
            slot.active_since = Some(Duration::ZERO);
        }
        entry_vms.started_at = Instant::now();
        Ok(entry_vms)
    }

    /// Returns when the run started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns the address and daemon of a VM that the platform's balancer would choose: the first ready one from the
    /// given index on.
    pub fn choose_vm(&self, start_index: usize) -> (SocketAddr, usize) {
        let count = self.slots.len();
        let order = (0..count).map(|i| (start_index + i) % count);
        let mut fallback = None;
        for slot in order {
            // A VM that is being replaced stays locked until its new daemon is ready; the balancer skips it.
            let Ok(slot) = self.slots[slot].try_lock() else {
                continue;
            };
            let found = (slot.ports.callers, slot.daemon_id);
            if slot.in_rotation {
                return found;
            }
            fallback = Some(found);
        }
        fallback.unwrap_or((SocketAddr::from(([127, 0, 0, 1], 9)), usize::MAX))
    }

    /// Polls every VM once: its readiness for the balancer, its generation for the checker.
    pub fn observe(&self) {
        for slot in &self.slots {
            let Ok(mut slot) = slot.try_lock() else {
                continue;
            };
            slot.in_rotation = slot.process.admin_page("ready").is_some();
            let Some(generation) = slot.process.generation() else {
                continue;
            };
            let sample = GenerationSample {
                daemon_id: slot.daemon_id,
                at: self.started_at.elapsed(),
                generation,
            };
            lock(&self.observations).generation_samples.push(sample);
        }
    }

    /// Pauses a VM's daemon for a time and takes the VM out of the balancer's rotation meanwhile.
    pub fn pause(&self, vm: usize, time: Duration) {
        let mut slot = lock(&self.slots[vm]);
        self.end_active_period(&mut slot);
        lock(&self.observations)
            .paused_or_killed
            .push(slot.daemon_id);
        slot.process.pause();
        let daemon_id = slot.daemon_id;
        drop(slot);
        std::thread::sleep(time);
        let mut slot = lock(&self.slots[vm]);
        // Another fault may have replaced the daemon meanwhile; the new one was never paused.
        if slot.daemon_id == daemon_id {
            slot.process.resume();
            slot.active_since = Some(self.started_at.elapsed());
        }
    }

    /// Kills a VM's daemon and replaces the VM.
    pub fn kill(&self, vm: usize) {
        let mut slot = lock(&self.slots[vm]);
        self.end_active_period(&mut slot);
        lock(&self.observations)
            .paused_or_killed
            .push(slot.daemon_id);
        slot.process.kill();
        self.replace(vm, &mut slot);
    }

    /// Shuts a VM's daemon down gracefully and replaces the VM. The observer keeps polling it while it reports that
    /// it is not ready.
    pub fn stop(&self, vm: usize) {
        let daemon_id = {
            let mut slot = lock(&self.slots[vm]);
            // A second signal ends a daemon immediately, so only one is sent.
            if std::mem::replace(&mut slot.stopping, true) {
                return;
            }
            self.end_active_period(&mut slot);
            let stopped = (slot.daemon_id, self.started_at.elapsed());
            lock(&self.observations).planned_stops.push(stopped);
            // A paused process cannot shut down, so this ends a pause that may be in progress.
            slot.process.resume();
            slot.process.terminate();
            slot.daemon_id
        };
        std::thread::sleep(Duration::from_millis(NOT_READY_MS));
        let mut slot = lock(&self.slots[vm]);
        // Another fault may have killed the daemon meanwhile; the new one was not asked to shut down.
        if slot.daemon_id != daemon_id {
            return;
        }
        let ended = slot.process.wait_ended(STOP_TIMEOUT);
        if !ended.is_some_and(|status| status.success()) {
            lock(&self.observations).failed_stops += 1;
        }
        self.replace(vm, &mut slot);
    }

    /// Cuts a VM's link to the platform for a time.
    pub fn cut_platform(&self, vm: usize, time: Duration) {
        self.platform_links[vm].set(LinkState::Cut);
        std::thread::sleep(time);
        self.platform_links[vm].set(LinkState::Open);
    }

    /// Cuts the links by which peers reach a VM for a time.
    pub fn cut_peers(&self, vm: usize, time: Duration) {
        lock(&self.peer_links[vm]).set(LinkState::Cut);
        std::thread::sleep(time);
        lock(&self.peer_links[vm]).set(LinkState::Open);
    }

    /// Opens every link.
    pub fn open_links(&self) {
        self.platform_links
            .iter()
            .for_each(|link| link.set(LinkState::Open));
        self.peer_links
            .iter()
            .for_each(|link| lock(link).set(LinkState::Open));
    }

    /// Ends the active period of every daemon and returns the observations.
    pub fn finish(&self) -> Observations {
        for slot in &self.slots {
            self.end_active_period(&mut lock(slot));
        }
        lock(&self.observations).clone()
    }

    fn end_active_period(&self, slot: &mut VmSlot) {
        if let Some(from) = slot.active_since.take() {
            let until = self.started_at.elapsed();
            let daemon_id = slot.daemon_id;
            lock(&self.observations).active_periods.push(ActivePeriod {
                daemon_id,
                from,
                until,
            });
        }
        slot.in_rotation = false;
    }

    fn replace(&self, vm: usize, slot: &mut VmSlot) {
        // A replaced VM gets a new address, which its peers learn from the platform's list of VMs.
        let Ok(ports) = Ports::free() else {
            return;
        };
        if let Ok(link) = Link::start(&self.runtime, ports.peers) {
            *lock(&self.peer_links[vm]) = link;
        }
        let Ok((process, daemon_id)) = self.start_daemon(vm, ports) else {
            return;
        };
        slot.process = process;
        slot.stopping = false;
        slot.daemon_id = daemon_id;
        slot.ports = ports;
        if slot.process.wait_ready(READY_TIMEOUT) {
            slot.active_since = Some(self.started_at.elapsed());
        }
    }

    fn start_daemon(&self, vm: usize, ports: Ports) -> std::io::Result<(DaemonProcess, usize)> {
        let mut daemons_started = lock(&self.daemons_started);
        *daemons_started += 1;
        let daemon_id = *daemons_started;
        let name = format!("entry-{vm}-{daemon_id}");
        let peers: Vec<String> = self
            .peer_links
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != vm)
            .map(|(_, link)| format!("'{}'", lock(link).address()))
            .collect();
        let advertised = lock(&self.peer_links[vm]).address();
        let settings = format!(
            "vm: {name}\navailability_zone: zone-{}\nlisten: {}\nadmin_listen: {}\nplatform: {}\n{}limits: {{workers: 32, not_ready_ms: {NOT_READY_MS}}}\n",
            vm % 3,
            ports.callers,
            ports.admin,
            self.platform_links[vm].address(),
            peer_settings(ports, advertised, &peers),
        );
        let process = DaemonProcess::start(&self.folder, &name, ports, &settings)?;
        Ok((process, daemon_id))
    }
}

/// Returns the settings of the peer links: peers reach this VM at the address of a link that the run can cut.
fn peer_settings(ports: Ports, advertised: SocketAddr, peers: &[String]) -> String {
    let (listen, peers) = (ports.peers, peers.join(", "));
    format!("peer: {{listen: '{listen}', address: '{advertised}', peers: [{peers}]}}\n")
}

/// Polls the VMs until `ended` is set.
pub fn observe_until(entry_vms: &EntryVms, ended: &std::sync::atomic::AtomicBool) {
    while !ended.load(std::sync::atomic::Ordering::Relaxed) {
        entry_vms.observe();
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
