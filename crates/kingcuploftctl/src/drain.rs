//! `drain`: stops new requests to a backend server, also while the store is down.

use kingcuploft_platform::{ObjectStore, StoreError, WriteCondition, manifest_root};
use serde_json::Value;

use crate::admin_client::AdminClient;
use crate::context::Context;
use crate::exit::{Code, Outcome};
use crate::manifest;

/// How many VMs receive the drain directly; they pass it on to the others.
const MAX_NOTIFIED_VMS: usize = 2;

/// How often a conflicting or unanswered write is retried.
const MAX_RETRIES: usize = 2;

/// Drains a backend server: through the store, so that the drain persists, and through VMs, so that it does not depend
/// on the store. Either suffices.
///
/// # Errors
///
/// Returns an outcome with code 1 if neither accepted the drain.
pub fn drain(context: &Context<'_>, service: &str, server: &str) -> Result<Outcome, Outcome> {
    let mut notified = Vec::new();
    let mut errors = Vec::new();
    if context.has_vms() {
        match context.vms() {
            Ok(vms) => drain_through_vms(&vms, service, server, &mut notified, &mut errors),
            Err(outcome) => errors.push(outcome.err),
        }
    }
    let stored = match context.store() {
        Ok(store) => match write(&store, service, server) {
            Ok(()) => true,
            Err(outcome) => {
                errors.push(outcome.err);
                false
            }
        },
        Err(outcome) if !context.has_vms() => return Err(outcome),
        Err(_) => false,
    };
    if notified.is_empty() && !stored {
        return Err(Outcome::failure(Code::Failed, errors.join("\n")));
    }
    let mut outcome = Outcome::success(match context.json() {
        true => format!(
            "{}\n",
            serde_json::json!({ "told": notified, "stored": stored })
        ),
        false => format!("{server} of {service} gets no new work\n"),
    });
    if !stored {
        outcome.err =
            "not written to the store: VMs that all start anew at once will not know it".to_owned();
    }
    Ok(outcome)
}

fn drain_through_vms(
    vms: &[AdminClient],
    service: &str,
    server: &str,
    notified: &mut Vec<String>,
    errors: &mut Vec<String>,
) {
    for vm in vms {
        let path = format!("/fleet/drain/{service}/{server}");
        match vm.post::<Value>(&path, "") {
            Ok(_) => notified.push(vm.address().to_owned()),
            Err(error) => errors.push(format!("{}: {error}", vm.address())),
        }
        if notified.len() == MAX_NOTIFIED_VMS {
            return;
        }
    }
}

/// Writes the drain object, with the backend server's address in the accepted manifest.
fn write(store: &dyn ObjectStore, service: &str, server: &str) -> Result<(), Outcome> {
    let root = manifest::root(store, None)?;
    let accepted = manifest_root::read_manifest(store, &root).map_err(manifest::failed)?;
    let found = accepted.services.iter().find(|s| &*s.name == service);
    let mut servers = found.iter().flat_map(|s| &s.backend_servers);
    let Some(found) = servers.find(|s| &*s.name == server) else {
        let error = format!("the accepted manifest has no backend server {server} of {service}");
        return Err(Outcome::failure(Code::Failed, error));
    };
    let value = serde_json::json!({
        "service": service, "backend_server": server, "address": found.address,
    });
    put(
        store,
        &format!("drains/{service}/{server}"),
        &value.to_string(),
    )
    .map_err(|error| Outcome::failure(Code::Failed, format!("the store: {error}")))
}

/// Writes an object over any existing one: of two concurrent drains of one backend server, either may remain.
fn put(store: &dyn ObjectStore, key: &str, value: &str) -> Result<(), StoreError> {
    let mut expect = WriteCondition::Absent;
    let mut tries = 0;
    loop {
        tries += 1;
        match store.put(key, value, expect) {
            Ok(_) => return Ok(()),
            Err(StoreError::Conflict { found: Some(found) }) if tries <= MAX_RETRIES => {
                expect = WriteCondition::Version(found);
            }
            Err(StoreError::NoAnswer(_)) if tries <= MAX_RETRIES => {}
            Err(error) => return Err(error),
        }
    }
}
