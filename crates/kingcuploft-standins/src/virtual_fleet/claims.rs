//! A fake of the claims' duty: one claim per idempotency key, settled after a fixed delay.

use kingcuploft::dispatcher::ClaimResult;
use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::IdempotencyKey;
use kingcuploft::world::refusal::{Refusal, RefusalReason};

/// What is known of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Claim {
    Held,
    Recorded,
    Unknown,
}

/// The claims of every VM.
#[derive(Debug, Default)]
pub struct FakeClaims {
    claims: HashMap<IdempotencyKey, Claim>,
}

impl FakeClaims {
    /// Claims a key.
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

    /// Gives a claim back.
    pub fn release(&mut self, key: &IdempotencyKey) {
        self.claims.remove(key);
    }

    /// Records how the claimed request ended.
    pub fn acknowledge(&mut self, key: &IdempotencyKey, answered: bool) {
        let claim = if answered {
            Claim::Recorded
        } else {
            Claim::Unknown
        };
        self.claims.insert(key.clone(), claim);
    }
}
