//! The signals that the process receives, remembered from its first step on.
//!
//! The handlers only set flags, so they need no event loop, no descriptor and no thread. Once there is an event loop, a
//! socket pair wakes it.

use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use signal_hook::consts::{
    SIGALRM, SIGHUP, SIGINT, SIGIO, SIGPROF, SIGQUIT, SIGTERM, SIGUSR1, SIGUSR2, SIGVTALRM,
    SIGXCPU, SIGXFSZ,
};
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;

/// How often the flags are read while nothing wakes the event loop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Signals that ask the process to stop.
const TERMINATING: [i32; 3] = [SIGTERM, SIGINT, SIGQUIT];

/// Signals that would end the process by default and that mean nothing to it. SIGXFSZ comes with each line of a log file
/// that may not grow; SIGXCPU each second once the processor time is used up that the system allows.
const IGNORED: [i32; 9] = [
    SIGXFSZ, SIGXCPU, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR,
];

/// The system's power fails.
const SIGPWR: i32 = rustix::process::Signal::POWER.as_raw();

/// A signal to the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// SIGTERM, or SIGINT or SIGQUIT from a keyboard: stop gracefully.
    Terminate,
    /// SIGHUP: the settings have changed.
    HangUp,
}

/// The signals that the process has received.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    terminated: Arc<AtomicBool>,
    hung_up: Arc<AtomicBool>,
    /// The last of the ignored signals; 0 if there was none since it was taken.
    ignored: Arc<AtomicUsize>,
}

impl Signals {
    /// Installs the handlers. It is the first step of the process: a signal before it has the system's default effect.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a handler can't be installed.
    pub fn install() -> io::Result<Self> {
        let signals = Self::default();
        signal_hook::flag::register(SIGHUP, signals.hung_up.clone())?;
        for signal in TERMINATING {
            signal_hook::flag::register(signal, signals.terminated.clone())?;
        }
        for signal in IGNORED {
            let number = signal.unsigned_abs() as usize;
            signal_hook::flag::register_usize(signal, signals.ignored.clone(), number)?;
        }
        Ok(signals)
    }

    /// Returns whether the process was asked to stop.
    pub fn is_terminated(&self) -> bool {
        self.terminated.load(Ordering::Acquire)
    }

    /// Returns a signal that was received and not returned before. A request to stop holds until the process ends.
    fn take(&self) -> Option<Signal> {
        if self.is_terminated() {
            return Some(Signal::Terminate);
        }
        let is_hung_up = self.hung_up.swap(false, Ordering::AcqRel);
        is_hung_up.then_some(Signal::HangUp)
    }

    /// Logs the last signal that was ignored since this was called before.
    pub fn log_ignored(&self) {
        let signal = self.ignored.swap(0, Ordering::AcqRel);
        if signal != 0 {
            tracing::warn!(event = "signal_ignored", signal);
        }
    }

    /// Has signals wake the event loop from now on.
    pub fn watch(&self) -> SignalWatch {
        let waker = Waker::open();
        if let Err(error) = &waker {
            tracing::warn!(event = "signals_polled", %error);
        }
        SignalWatch {
            signals: self.clone(),
            waker: waker.ok(),
        }
    }
}

/// Returns signals to tasks of the event loop.
#[derive(Debug)]
pub struct SignalWatch {
    signals: Signals,
    /// `None` where the system had no socket pair left; the flags are polled then.
    waker: Option<Waker>,
}

impl SignalWatch {
    /// Waits for the next signal.
    pub async fn next(&mut self) -> Signal {
        loop {
            if let Some(signal) = self.signals.take() {
                return signal;
            }
            match &mut self.waker {
                Some(waker) => waker.wait().await,
                None => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }
}

/// A socket pair into which the handlers write.
#[derive(Debug)]
struct Waker {
    receiver: UnixStream,
}

impl Waker {
    fn open() -> io::Result<Self> {
        let (receiver, sender) = StdUnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        for signal in TERMINATING.into_iter().chain([SIGHUP]) {
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        let receiver = UnixStream::from_std(receiver)?;
        Ok(Self { receiver })
    }

    async fn wait(&mut self) {
        let mut bytes = [0; 64];
        let read = self.receiver.read(&mut bytes).await;
        if !matches!(read, Ok(1..)) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
