//! Lines on standard error, for those who start the program by hand. The log says the same.
//!
//! Failure: standard error is a pipe that nobody reads; once it is full, a write waits for good, and the event loop with it.
//! The guard: a line that would have to wait is left out.

use std::io::Write;

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Asks without waiting.
const AT_ONCE: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// Writes a line, unless it would have to wait.
pub fn tell(line: &str) {
    if !takes_a_line() {
        return;
    }
    let text = format!("kingcuploft-front: {line}\n");
    // Nobody may read it.
    let _ = std::io::stderr().write_all(text.as_bytes());
}

/// Returns whether a line can be written without waiting.
pub fn takes_a_line() -> bool {
    let output = std::io::stderr();
    let mut polled = [PollFd::new(&output, PollFlags::OUT)];
    poll(&mut polled, Some(&AT_ONCE)).is_ok_and(|ready| ready > 0)
}
