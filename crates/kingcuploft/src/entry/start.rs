//! The start of a VM's process: what it waits for, in which order, and when it serves.
//!
//! The process carries out what these types decide and tells them what has happened; they have no clock, file or socket of their
//! own. Nothing but a signal ends the process, so that what is missing is waited for at each stage.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// How long a text of settings must stay the same to count as whole though its last line has no end or parts of it can't be
/// used: many times what a writer takes between two lines.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// A port of a VM.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Port {
    /// Callers connect to it.
    Callers,
    /// The platform's readiness check connects to it.
    Readiness,
    /// Other VMs connect to it, and send datagrams to it.
    Peers,
    /// VMs that know this one as a seed connect to it.
    Control,
    /// Metrics are read from it.
    Metrics,
}

impl Port {
    /// Returns the name used in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Callers => "port of callers",
            Self::Readiness => "port of readiness",
            Self::Peers => "port of peers",
            Self::Control => "port of seeds",
            Self::Metrics => "port of metrics",
        }
    }

    /// Returns whether the VM can't serve without it.
    pub fn is_needed_to_serve(self) -> bool {
        match self {
            Self::Callers | Self::Readiness | Self::Peers => true,
            Self::Control | Self::Metrics => false,
        }
    }
}

/// Where a process stands between its first step and its end.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// It waits for its settings.
    #[default]
    Settings,
    /// It has its settings, and waits for an event loop.
    EventLoop,
    /// It opens its ports and serves.
    Running,
    /// It shuts down gracefully.
    Stopping,
    /// It has nothing left to do.
    Ended,
}

impl Stage {
    /// Returns the name of what is waited for at this stage, used in logs.
    pub fn awaited(self) -> &'static str {
        match self {
            Self::Settings => "settings",
            Self::EventLoop => "event loop",
            Self::Running | Self::Stopping | Self::Ended => "nothing",
        }
    }
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum StartEvent {
    /// It has settings that it can use.
    SettingsRead,
    /// It has an event loop.
    EventLoopOpened,
    /// It wants a port, which is not open yet.
    PortWanted(Port),
    /// A port is open.
    PortOpened(Port),
    /// A signal asks it to stop.
    Terminated,
    /// Its graceful shutdown is over.
    Stopped,
}

/// What a VM knows of what the platform's store holds.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Known {
    /// A configuration.
    pub configuration: bool,
    /// The list of servers.
    pub servers: bool,
    /// The zones that are evacuated.
    pub evacuated_zones: bool,
}

/// The start of a process, as far as it has come.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Start {
    stage: Stage,
    missing_ports: BTreeSet<Port>,
}

impl Start {
    /// Creates the start of a process that has its settings and its event loop.
    pub fn at_running() -> Self {
        Self {
            stage: Stage::Running,
            missing_ports: BTreeSet::new(),
        }
    }

    /// Records what has happened. What can't happen at this stage changes nothing.
    pub fn apply(&mut self, event: StartEvent) {
        match event {
            StartEvent::PortWanted(port) => {
                self.missing_ports.insert(port);
            }
            StartEvent::PortOpened(port) => {
                self.missing_ports.remove(&port);
            }
            event => self.stage = next_stage(self.stage, event),
        }
    }

    /// Returns where the process stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns how many ports are not open yet.
    pub fn missing_port_count(&self) -> usize {
        self.missing_ports.len()
    }

    /// Returns what the VM lacks to serve, given what it knows; nothing if it can serve.
    pub fn missing_to_serve(&self, known: Known) -> impl Iterator<Item = &'static str> {
        let ports = self.missing_ports.iter();
        let ports = ports.filter(|port| port.is_needed_to_serve());
        let ports = ports.map(|port| port.label());
        let others = [
            (self.stage > Stage::Running, "it stops"),
            (!known.configuration, "configuration"),
            (!known.servers, "list of servers"),
            (!known.evacuated_zones, "evacuated zones"),
        ];
        let others = others.into_iter().filter(|(is_missing, _)| *is_missing);
        ports.chain(others.map(|(_, what)| what))
    }
}

fn next_stage(stage: Stage, event: StartEvent) -> Stage {
    match (stage, event) {
        (Stage::Settings, StartEvent::SettingsRead) => Stage::EventLoop,
        (Stage::EventLoop, StartEvent::EventLoopOpened) => Stage::Running,
        (Stage::Settings | Stage::EventLoop, StartEvent::Terminated) => Stage::Ended,
        (Stage::Running, StartEvent::Terminated) => Stage::Stopping,
        (Stage::Stopping, StartEvent::Stopped) => Stage::Ended,
        (stage, _) => stage,
    }
}

/// What a text of settings is good for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SettingsQuality {
    /// A field that the VM needs is missing or can't be used.
    Unusable,
    /// The VM could do without the part that can't be used.
    PartlyUsable,
    /// Every field can be used.
    Sound,
}

/// What is done with a text of settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettingsVerdict {
    /// It may be being written: it is read again.
    Wait,
    /// The VM starts with it, without the part that can't be used if there is one.
    Use,
}

/// The text that the file of the settings held at its last reading, and since when it has held it.
#[derive(Debug, Default)]
pub struct SettingsWait {
    last: Option<(String, Instant)>,
}

impl SettingsWait {
    /// Records that the file could not be read.
    pub fn record_missing(&mut self) {
        self.last = None;
    }

    /// Records the text that was just read.
    pub fn record_text(&mut self, now: Instant, text: &str) {
        if self.last.as_ref().is_none_or(|(last, _)| last != text) {
            self.last = Some((text.to_owned(), now));
        }
    }

    /// Returns whether the text counts as whole: its last line has an end, or it has stayed the same for a while.
    pub fn is_whole(&self, now: Instant) -> bool {
        self.ends_its_last_line() || self.has_settled(now)
    }

    /// Returns whether a VM starts with the text, which counts as whole.
    pub fn judge(&self, now: Instant, quality: SettingsQuality) -> SettingsVerdict {
        let is_used = match quality {
            SettingsQuality::Unusable => false,
            SettingsQuality::PartlyUsable => self.has_settled(now),
            SettingsQuality::Sound => true,
        };
        match is_used {
            true => SettingsVerdict::Use,
            false => SettingsVerdict::Wait,
        }
    }

    fn ends_its_last_line(&self) -> bool {
        let last = self.last.as_ref();
        last.is_some_and(|(text, _)| text.ends_with('\n'))
    }

    fn has_settled(&self, now: Instant) -> bool {
        let last = self.last.as_ref();
        last.is_some_and(|(_, since)| now.saturating_duration_since(*since) >= SETTLE_TIME)
    }
}

/// Returns whether a VM opens a further port in place of one that is held: an earlier process of the VM gives it back within a
/// planned stop, another process may not.
pub fn may_open_spare(waited: Duration, longest_stop: Duration) -> bool {
    waited >= longest_stop
}
