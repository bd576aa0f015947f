//! The entry VMs of a run: daemon processes that are paused, killed and replaced.

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

/// How long a planned stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a stopping daemon says that it is not ready before it refuses.
const NOT_READY_MS: u64 = 150;

/// How often the balancer and the observer look.
const POLL: Duration = Duration::from_millis(25);

/// One place for an entry VM, and the daemon that lives there now.
#[derive(Debug)]
struct VmSlot {
    process: DaemonProcess,
    daemon_id: usize,
    ports: Ports,
    in_rotation: bool,
    stopping: bool,
    awake_since: Option<Duration>,
}

/// What the observer noted.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Generations read.
    pub generation_samples: Vec<GenerationSample>,
    /// Times during which a daemon should follow.
    pub active_periods: Vec<ActivePeriod>,
    /// Lives that were asked to stop as planned, and when.
    pub planned_stops: Vec<(usize, Duration)>,
    /// Lives that were paused or killed.
    pub paused_or_killed: Vec<usize>,
    /// Planned stops that did not end in time or not with success.
    pub failed_stops: u64,
}

/// The entry VMs.
#[derive(Debug)]
pub struct EntryVms {
    began: Instant,
    folder: PathBuf,
    platform_links: Vec<Link>,
    peer_links: Vec<Mutex<Link>>,
    slots: Vec<Mutex<VmSlot>>,
    observed: Mutex<Observations>,
    daemons_started: Mutex<usize>,
    runtime: std::sync::Arc<Runtime>,
}

impl EntryVms {
    /// Starts `count` daemons and waits until they are ready.
    ///
    /// # Errors
    ///
    /// The system's error where a port, a file or a process is not to be had.
    pub fn start(
        runtime: std::sync::Arc<Runtime>,
        platform: SocketAddr,
        folder: PathBuf,
        count: usize,
    ) -> std::io::Result<Self> {
        let mut entries = Self {
            began: Instant::now(),
            folder,
            platform_links: Vec::new(),
            peer_links: Vec::new(),
            slots: Vec::new(),
            observed: Mutex::default(),
            daemons_started: Mutex::new(0),
            runtime,
        };
        let mut ports = Vec::new();
        for _ in 0..count {
            let own = Ports::free()?;
            entries
                .platform_links
                .push(Link::start(&entries.runtime, platform)?);
            let link = Link::start(&entries.runtime, own.peers)?;
            entries.peer_links.push(Mutex::new(link));
            ports.push(own);
        }
        for (vm, ports) in ports.into_iter().enumerate() {
            let (process, daemon_id) = entries.launch(vm, ports)?;
            let slot = VmSlot {
                process,
                daemon_id,
                ports,
                in_rotation: false,
                stopping: false,
                awake_since: None,
            };
            entries.slots.push(Mutex::new(slot));
        }
        for vm in 0..count {
            let mut slot = lock(&entries.slots[vm]);
            if !slot.process.wait_ready(READY_TIMEOUT) {
                // Another process may have taken one of the free ports before the daemon did.
                entries.replace(vm, &mut slot);
            }
            if slot.process.admin_page("ready").is_none() {
                return Err(std::io::Error::other("a daemon is not ready"));
            }
            slot.in_rotation = true;
            slot.awake_since = Some(Duration::ZERO);
        }
        entries.began = Instant::now();
        Ok(entries)
    }

    /// Returns when the run began.
    pub fn started_at(&self) -> Instant {
        self.began
    }

    /// Returns the address and life of a VM that the platform's balancer would choose.
    pub fn choose_vm(&self, draw: usize) -> (SocketAddr, usize) {
        let count = self.slots.len();
        let order = (0..count).map(|i| (draw + i) % count);
        let mut fallback = None;
        for slot in order {
            // A place whose VM is being replaced is locked for long: the balancer passes it by.
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

    /// Looks at every VM once: readiness for the balancer, the generation for the check.
    pub fn observe(&self) {
        for slot in &self.slots {
            let Ok(mut slot) = slot.try_lock() else {
                continue;
            };
            slot.in_rotation = slot.process.admin_page("ready").is_some();
            let Some(generation) = slot.process.generation() else {
                continue;
            };
            let reading = GenerationSample {
                daemon_id: slot.daemon_id,
                at: self.began.elapsed(),
                generation,
            };
            lock(&self.observed).generation_samples.push(reading);
        }
    }

    /// Pauses a VM for a time; whoever looks at it meanwhile passes it by.
    pub fn pause(&self, vm: usize, time: Duration) {
        let mut slot = lock(&self.slots[vm]);
        self.sleep_begins(&mut slot);
        lock(&self.observed).paused_or_killed.push(slot.daemon_id);
        slot.process.pause();
        let daemon_id = slot.daemon_id;
        drop(slot);
        std::thread::sleep(time);
        let mut slot = lock(&self.slots[vm]);
        // Another fault may have replaced the VM meanwhile; the new one was never paused.
        if slot.daemon_id == daemon_id {
            slot.process.resume();
            slot.awake_since = Some(self.began.elapsed());
        }
    }

    /// Kills a VM and replaces it.
    pub fn kill(&self, vm: usize) {
        let mut slot = lock(&self.slots[vm]);
        self.sleep_begins(&mut slot);
        lock(&self.observed).paused_or_killed.push(slot.daemon_id);
        slot.process.kill();
        self.replace(vm, &mut slot);
    }

    /// Stops a VM as planned and replaces it; the balancer goes on looking meanwhile.
    pub fn stop(&self, vm: usize) {
        let daemon_id = {
            let mut slot = lock(&self.slots[vm]);
            // A second signal ends a daemon at once, so only one planned stop is asked for.
            if std::mem::replace(&mut slot.stopping, true) {
                return;
            }
            self.sleep_begins(&mut slot);
            let stopped = (slot.daemon_id, self.began.elapsed());
            lock(&self.observed).planned_stops.push(stopped);
            // A paused process can not stop; its pause, which waits for this place, ends here.
            slot.process.resume();
            slot.process.terminate();
            slot.daemon_id
        };
        std::thread::sleep(Duration::from_millis(NOT_READY_MS));
        let mut slot = lock(&self.slots[vm]);
        // Another fault may have killed the VM meanwhile; the new one was not asked to stop.
        if slot.daemon_id != daemon_id {
            return;
        }
        let ended = slot.process.wait_ended(STOP_TIMEOUT);
        if !ended.is_some_and(|status| status.success()) {
            lock(&self.observed).failed_stops += 1;
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

    /// Returns what was observed, every daemon awake until now.
    pub fn finish(&self) -> Observations {
        for slot in &self.slots {
            self.sleep_begins(&mut lock(slot));
        }
        lock(&self.observed).clone()
    }

    fn sleep_begins(&self, slot: &mut VmSlot) {
        if let Some(from) = slot.awake_since.take() {
            let until = self.began.elapsed();
            let daemon_id = slot.daemon_id;
            lock(&self.observed).active_periods.push(ActivePeriod {
                daemon_id,
                from,
                until,
            });
        }
        slot.in_rotation = false;
    }

    fn replace(&self, vm: usize, slot: &mut VmSlot) {
        // A replaced VM has a new address; its peers learn it from the platform's list.
        let Ok(ports) = Ports::free() else {
            return;
        };
        if let Ok(link) = Link::start(&self.runtime, ports.peers) {
            *lock(&self.peer_links[vm]) = link;
        }
        let Ok((process, daemon_id)) = self.launch(vm, ports) else {
            return;
        };
        slot.process = process;
        slot.stopping = false;
        slot.daemon_id = daemon_id;
        slot.ports = ports;
        if slot.process.wait_ready(READY_TIMEOUT) {
            slot.awake_since = Some(self.began.elapsed());
        }
    }

    fn launch(&self, vm: usize, ports: Ports) -> std::io::Result<(DaemonProcess, usize)> {
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
        let shown = lock(&self.peer_links[vm]).address();
        let settings = format!(
            "vm: {name}\navailability_zone: zone-{}\nlisten: {}\nadmin_listen: {}\nplatform: {}\n{}limits: {{workers: 32, not_ready_ms: {NOT_READY_MS}}}\n",
            vm % 3,
            ports.callers,
            ports.admin,
            self.platform_links[vm].address(),
            peer_settings(ports, shown, &peers),
        );
        let process = DaemonProcess::start(&self.folder, &name, ports, &settings)?;
        Ok((process, daemon_id))
    }
}

/// Returns the settings of the peer links: others reach this VM through a link of the run.
fn peer_settings(ports: Ports, shown: SocketAddr, peers: &[String]) -> String {
    let (listen, peers) = (ports.peers, peers.join(", "));
    format!("peer: {{listen: '{listen}', address: '{shown}', peers: [{peers}]}}\n")
}

/// Observes until told to end.
pub fn observe_until(entries: &EntryVms, ended: &std::sync::atomic::AtomicBool) {
    while !ended.load(std::sync::atomic::Ordering::Relaxed) {
        entries.observe();
        std::thread::sleep(POLL);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
