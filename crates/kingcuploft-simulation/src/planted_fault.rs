//! Runs code with a planted fault: a known defect that is enabled on purpose, to show that the rules and the search
//! detect it.

use kingcuploft::planted;
pub use kingcuploft::planted::PlantedFault;

/// Runs a function while a fault is enabled in this thread's VMs.
pub fn run_with<T>(fault: Option<PlantedFault>, run: impl FnOnce() -> T) -> T {
    planted::set(fault);
    let result = run();
    planted::set(None);
    result
}
