//! The life of the process of one entry VM, from its first step to its last line. What it needs and is not there yet is
//! waited for; a signal ends each wait.

pub mod ending;
pub mod settings_file;
pub mod signals;
pub mod standard_error;
pub mod system_limits;
pub mod wait;

use std::rc::Rc;

use kingcuploft::entry::start::{Start, StartEvent};
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

use self::ending::Ending;
use self::settings_file::SettingsFile;
use self::signals::Signals;
use crate::network::Network;
use crate::run;
use crate::settings::{EntrySettings, WireNames};
use crate::store::Store;

/// What a VM reaches.
#[derive(Debug)]
pub struct Surroundings<S> {
    /// The network to the backend servers.
    pub network: Rc<dyn Network>,
    /// The platform's store.
    pub store: S,
}

/// Runs the VM until a signal stops it, and returns why the process ends. `surroundings` are asked for once the settings
/// are known, within the event loop.
pub fn run<S: Store + 'static>(
    signals: &Signals,
    settings: &SettingsFile,
    wire_names: WireNames,
    surroundings: impl FnOnce(&EntrySettings) -> Surroundings<S>,
) -> Ending {
    system_limits::log();
    let mut start = Start::default();
    let read = || settings.read_first();
    let Some(first) = wait::retry(&mut start, signals, StartEvent::SettingsRead, read) else {
        return Ending::Stopped;
    };
    let first = system_limits::apply(first);
    let opened = StartEvent::EventLoopOpened;
    let Some(runtime) = wait::retry(&mut start, signals, opened, event_loop) else {
        return Ending::Stopped;
    };
    let reread = || settings.read_again().map_err(|error| error.to_string());
    let running = async {
        let Surroundings { network, store } = surroundings(&first);
        run::run(signals, network, first, wire_names, store, reread).await
    };
    LocalSet::new().block_on(&runtime, running);
    Ending::Stopped
}

fn event_loop() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
}
