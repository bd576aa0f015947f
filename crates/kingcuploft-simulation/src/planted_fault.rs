//! Faults that are planted on purpose, to show that the search finds them.

use kingcuploft::planted;
pub use kingcuploft::planted::Planted;

/// Does something with a fault planted in this thread's VMs.
pub fn run_with<T>(fault: Option<Planted>, act: impl FnOnce() -> T) -> T {
    planted::set(fault);
    let done = act();
    planted::set(None);
    done
}
