//! Weighted scheduling of priorities: which priority is served next.
//!
//! **Load pattern:** holds, reads and archive searches wait for the same slots. **Without it** a burst of searches
//! delays a hold; with strict priorities a long burst of reads would starve the searches. **Grounds:** weighted fair
//! scheduling: a priority that waits gets at least its weight's share of service (a search one in 25 by default), and
//! what a priority leaves unused goes to the others. A priority that was idle does not save up turns, and goes first
//! when it begins to wait.

use crate::settings::admission::AdmissionSettings;
use crate::world::contract::Priority;

/// The number of priorities.
pub const PRIORITY_COUNT: usize = 3;

/// The stride of a priority with weight 1; large enough that integer division loses nothing noticeable.
const UNIT_STRIDE: u64 = 1 << 20;

/// The virtual times of the priorities of one service.
#[derive(Clone, Copy, Debug)]
pub struct PriorityScheduler {
    weights: [u32; PRIORITY_COUNT],
    /// The start tag of each priority's next turn.
    next_start: [u64; PRIORITY_COUNT],
    virtual_time: u64,
}

impl PriorityScheduler {
    /// Creates the state in which no priority was served.
    pub fn new(settings: &AdmissionSettings) -> Self {
        Self {
            weights: weights(settings),
            next_start: [0; PRIORITY_COUNT],
            virtual_time: 0,
        }
    }

    /// Takes new weights.
    pub fn update_settings(&mut self, settings: &AdmissionSettings) {
        self.weights = weights(settings);
    }

    /// Returns the priority to serve next among those that wait.
    pub fn next(&self, waits: impl Fn(usize) -> bool) -> Option<usize> {
        let waiting = (0..PRIORITY_COUNT).filter(|&i| waits(i));
        waiting.min_by_key(|&i| self.next_start[i].max(self.virtual_time))
    }

    /// Records that a priority was served.
    pub fn record_served(&mut self, priority: usize) {
        let start = self.next_start[priority].max(self.virtual_time);
        self.virtual_time = start;
        self.next_start[priority] = start + UNIT_STRIDE / u64::from(self.weights[priority]);
    }
}

/// Returns the index of a priority.
pub fn priority_index(priority: Priority) -> usize {
    match priority {
        Priority::Protected => 0,
        Priority::Interactive => 1,
        Priority::Background => 2,
    }
}

fn weights(settings: &AdmissionSettings) -> [u32; PRIORITY_COUNT] {
    let AdmissionSettings {
        protected_weight,
        interactive_weight,
        background_weight,
        ..
    } = settings;
    [*protected_weight, *interactive_weight, *background_weight].map(|weight| weight.max(1))
}
