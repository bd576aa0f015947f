//! A fake of the daemon's claim task: at most one claim per idempotency key. The fleet adds a fixed delay to each.

use kingcuploft::dispatcher::ClaimResult;
use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::IdempotencyKey;
use kingcuploft::world::refusal::{Refusal, RefusalReason};

/// The state of a claimed key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Claim {
    /// The claimed request runs.
    Held,
    /// The request ended with an answer.
    Recorded,
    /// Whether the request ran is unknown.
    Unknown,
}

/// The claims of all VMs.
#[derive(Debug, Default)]
pub struct FakeClaims {
    claims: HashMap<IdempotencyKey, Claim>,
}

impl FakeClaims {
    /// Claims a key, or returns why it cannot be claimed.
    pub fn claim(&mut self, key: &IdempotencyKey) -> ClaimResult {
        match self.claims.get(key) {
            None => {
                self.claims.insert(key.clone(), Claim::Held);
                ClaimResult::Held
            }
            Some(Claim::Recorded) => ClaimResult::Replayed,
            Some(Claim::Held) => {
                ClaimResult::Refused(Refusal::not_run(RefusalReason::KeyInProgress))
            }
            Some(Claim::Unknown) => {
                ClaimResult::Refused(Refusal::unknown(RefusalReason::KeyInProgress))
            }
        }
    }

    /// Releases a claim whose request did not run, so that the key can be claimed again.
    pub fn release(&mut self, key: &IdempotencyKey) {
        self.claims.remove(key);
    }

    /// Records whether the claimed request ended with an answer.
    pub fn acknowledge(&mut self, key: &IdempotencyKey, answered: bool) {
        let claim = if answered {
            Claim::Recorded
        } else {
            Claim::Unknown
        };
        self.claims.insert(key.clone(), claim);
    }
}
