//! The end of the process: its reason, its exit code, and the last line of its log.

use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;
use std::time::Duration;

use super::standard_error;
use crate::logs;

/// How long writing the last log lines may take. A graceful shutdown ends 300 ms before its deadline at the latest, so
/// the lines are written within it.
const LOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(150);

/// The exit code of a process that has panicked.
const PANIC_CODE: u8 = 101;

/// Why the process ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// A signal stopped it gracefully.
    Stopped,
    /// It panicked; the line of the panic says where.
    Panicked,
}

impl Ending {
    /// Returns the exit code.
    pub fn code(self) -> u8 {
        match self {
            Self::Stopped => 0,
            Self::Panicked => PANIC_CODE,
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::Stopped => "stopped by a signal",
            Self::Panicked => "panicked",
        }
    }

    /// Writes the last line of the log, waits until it is written, and returns the exit code.
    pub fn report(self) -> ExitCode {
        let code = self.code();
        let reason = self.reason();
        match self {
            Self::Stopped => tracing::info!(event = "ended", code, reason),
            Self::Panicked => tracing::error!(event = "ended", code, reason),
        }
        logs::drain(LOG_DRAIN_TIMEOUT);
        ExitCode::from(code)
    }
}

/// Has each panic leave a line in the log, besides the text on standard error.
pub fn log_panics() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        let thread = std::thread::current();
        let thread = thread.name().unwrap_or_default();
        let at = panic.location().map(ToString::to_string);
        let message = panic.payload_as_str().unwrap_or_default();
        tracing::error!(event = "panicked", thread, at, message);
        if standard_error::takes_a_line() {
            print(panic);
        }
    }));
}

/// Runs the process and returns why it ends.
pub fn run_until_end(run: impl FnOnce() -> Ending) -> Ending {
    panic::catch_unwind(AssertUnwindSafe(run)).unwrap_or(Ending::Panicked)
}
