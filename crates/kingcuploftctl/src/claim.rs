//! `claim show`: the ledger's entry of a protected action.

use kingcuploft::decisions::claim::ledger::EntryState;
use kingcuploft_platform::claim_lookup;

use crate::context::Context;
use crate::exit::{Code, Outcome};

/// Prints the ledger's entry of an idempotency key.
///
/// # Errors
///
/// Returns an outcome with code 1 if the store does not answer or the ledger has no such key.
pub fn show(context: &Context<'_>, service: &str, key: &str) -> Result<Outcome, Outcome> {
    let store = context.store()?;
    let found = claim_lookup::look_up(&store, &service.into(), key)
        .map_err(|error| Outcome::failure(Code::Failed, error.to_string()))?;
    let partition = found.partition;
    let Some(entry) = found.entry else {
        let why = format!(
            "no claim of this key of {service}: it never ran, or its window is over (partition \
             {partition})"
        );
        return Err(Outcome::failure(Code::Failed, why));
    };
    let (state, means) = match &entry.state {
        EntryState::Claimed => ("claimed", "it may be running, have run, or never run"),
        EntryState::EndUnknown => ("end_unknown", "it was sent, and how it ended is not known"),
        EntryState::Ran => ("ran", "it ran, and its answer was not kept"),
        EntryState::Answered(_) => ("answered", "it ran, and its answer is given again"),
    };
    let status = match &entry.state {
        EntryState::Answered(record) => Some(record.status),
        _ => None,
    };
    let claimant = &entry.claimant;
    if context.json() {
        let out = serde_json::json!({
            "service": service, "partition": partition, "state": state, "status": status,
            "claimed_ms": entry.claimed_ms, "expires_ms": entry.expires_ms,
            "vm": claimant.vm, "incarnation": claimant.incarnation,
        });
        return Ok(Outcome::success(format!("{out}\n")));
    }
    let status = status.map_or(String::new(), |status| format!(", status {status}"));
    Ok(Outcome::success(format!(
        "{state}{status}: {means}\nclaimed by {} (life {}) at {} s, remembered until {} s, \
         partition {partition}\n",
        claimant.vm,
        claimant.incarnation,
        entry.claimed_ms / 1000,
        entry.expires_ms / 1000,
    )))
}
