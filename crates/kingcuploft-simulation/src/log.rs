//! Collects the log lines of all VMs of a day, with virtual time and the VM's name.

use std::cell::{Cell, RefCell};
use std::io::Write;

use tokio::time::Instant;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

use crate::history::VmIndex;

thread_local! {
    static VM: Cell<Option<VmIndex>> = const { Cell::new(None) };
    static STARTED_AT: Cell<Option<Instant>> = const { Cell::new(None) };
    static LINES: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// Attributes log lines to a VM until it is dropped.
pub struct VmScope(Option<VmIndex>);

impl Drop for VmScope {
    fn drop(&mut self) {
        VM.set(self.0);
    }
}

/// Attributes the log lines of this thread to a VM until the returned guard is dropped.
pub fn enter_vm(vm: VmIndex) -> VmScope {
    VmScope(VM.replace(Some(vm)))
}

/// Writes the virtual time since `start_clock`, in seconds.
struct VirtualTime;

impl FormatTime for VirtualTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> std::fmt::Result {
        let elapsed = STARTED_AT
            .get()
            .map(|started_at| Instant::now() - started_at);
        write!(writer, "{:.4}", elapsed.unwrap_or_default().as_secs_f64())
    }
}

/// Collects the bytes of one log line and appends it to the lines of this thread when dropped.
struct LineBuffer(Vec<u8>);

impl Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drop for LineBuffer {
    fn drop(&mut self) {
        if self.0.is_empty() {
            return;
        }
        LINES.with_borrow_mut(|lines| {
            if let Some(vm) = VM.get() {
                lines.extend_from_slice(format!("vm-{vm} ").as_bytes());
            }
            lines.extend_from_slice(&self.0);
        });
    }
}

/// Runs a function and returns the lines that this thread logged meanwhile.
pub fn capture<T>(run: impl FnOnce() -> T) -> (T, Vec<u8>) {
    LINES.with_borrow_mut(Vec::clear);
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_timer(VirtualTime)
        .with_writer(|| LineBuffer(Vec::new()))
        .finish();
    let result = tracing::subscriber::with_default(subscriber, run);
    (result, LINES.take())
}

/// Starts the clock of the log lines at zero.
pub fn start_clock() {
    STARTED_AT.set(Some(Instant::now()));
}
