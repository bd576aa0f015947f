//! `drain`: a backend server gets no new work, also while the store is down.

use kingcuploft_platform::{ObjectStore, StoreError, WriteCondition, manifest_root};
use serde_json::Value;

use crate::admin_client::AdminClient;
use crate::context::Context;
use crate::exit::{Code, Outcome};
use crate::manifest;

/// How many VMs are told; they tell the others.
const MAX_TOLD_VMS: usize = 2;

/// How often a write without an answer is sent again.
const MAX_RETRIES: usize = 2;

/// Drains a backend server: through the store, so that it lasts, and through VMs, so that it does
/// not wait for the store. Either is enough.
///
/// # Errors
///
/// An ending with code 1 where neither took it.
pub fn drain(context: &Context<'_>, service: &str, server: &str) -> Result<Outcome, Outcome> {
    let mut told = Vec::new();
    let mut errors = Vec::new();
    if context.has_vms() {
        match context.vms() {
            Ok(vms) => drain_through_vms(&vms, service, server, &mut told, &mut errors),
            Err(ending) => errors.push(ending.err),
        }
    }
    let stored = match context.store() {
        Ok(store) => match write(&store, service, server) {
            Ok(()) => true,
            Err(ending) => {
                errors.push(ending.err);
                false
            }
        },
        Err(ending) if !context.has_vms() => return Err(ending),
        Err(_) => false,
    };
    if told.is_empty() && !stored {
        return Err(Outcome::failure(Code::Failed, errors.join("\n")));
    }
    let mut ending = Outcome::success(match context.json() {
        true => format!(
            "{}\n",
            serde_json::json!({ "told": told, "stored": stored })
        ),
        false => format!("{server} of {service} gets no new work\n"),
    });
    if !stored {
        ending.err =
            "not written to the store: VMs that all start anew at once will not know it".to_owned();
    }
    Ok(ending)
}

fn drain_through_vms(
    vms: &[AdminClient],
    service: &str,
    server: &str,
    told: &mut Vec<String>,
    errors: &mut Vec<String>,
) {
    for vm in vms {
        let path = format!("/fleet/drain/{service}/{server}");
        match vm.post::<Value>(&path, "") {
            Ok(_) => told.push(vm.address().to_owned()),
            Err(error) => errors.push(format!("{}: {error}", vm.address())),
        }
        if told.len() == MAX_TOLD_VMS {
            return;
        }
    }
}

/// Writes the drain's object, at the place where the accepted manifest has the backend server.
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

/// Writes an object whatever is there: of two drains of one backend server either may stand.
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
