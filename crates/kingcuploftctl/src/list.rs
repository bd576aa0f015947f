//! `service list` and `backend-server list`: the services and backend servers of the accepted manifest.

use kingcuploft::manifest::{Manifest, Service};
use kingcuploft_platform::{ObjectStore, manifest_root};
use serde_json::Value;

use crate::context::Context;
use crate::exit::{Code, Outcome};
use crate::manifest;

/// Prints the services of the accepted manifest.
///
/// # Errors
///
/// Returns an outcome with code 1 if the store does not answer.
pub fn services(context: &Context<'_>) -> Result<Outcome, Outcome> {
    let accepted = accepted(context)?;
    if context.json() {
        let lines = accepted.services.iter().map(|service| {
            serde_json::json!({
                "name": service.name, "hosts": service.hosts,
                "backend_servers": service.backend_servers.len(), "slots": slots(service),
                "rules": service.rules.iter().map(|rule| &rule.name).collect::<Vec<_>>(),
            })
        });
        return Ok(Outcome::success(format!(
            "{}\n",
            Value::Array(lines.collect())
        )));
    }
    let mut out = format!(
        "{:<24} {:>7} {:>5}  HOSTS; RULES\n",
        "SERVICE", "SERVERS", "SLOTS"
    );
    for service in &accepted.services {
        let rules: Vec<&str> = service.rules.iter().map(|rule| &*rule.name).collect();
        out += &format!(
            "{:<24} {:>7} {:>5}  {}; {}\n",
            service.name,
            service.backend_servers.len(),
            slots(service),
            service.hosts.join(" "),
            rules.join(" "),
        );
    }
    Ok(Outcome::success(out))
}

fn slots(service: &Service) -> u64 {
    let servers = service.backend_servers.iter();
    servers.map(|server| u64::from(server.slots)).sum()
}

/// Prints the backend servers of one service or all, with the drains in the store.
///
/// # Errors
///
/// Returns an outcome with code 1 if the store does not answer or the manifest has no such service.
pub fn backend_servers(context: &Context<'_>, wanted: Option<&str>) -> Result<Outcome, Outcome> {
    let accepted = accepted(context)?;
    let drains = drains(context)?;
    let fits = |service: &&std::sync::Arc<Service>| wanted.is_none_or(|w| *service.name == *w);
    let services: Vec<_> = accepted.services.iter().filter(fits).collect();
    if let (Some(wanted), true) = (wanted, services.is_empty()) {
        let why = format!("the accepted manifest has no service {wanted}");
        return Err(Outcome::failure(Code::Failed, why));
    }
    let mut out = format!(
        "{:<16} {:<20} {:<22} {:<12} {:>5} {:>11} DRAINS\n",
        "SERVICE", "BACKEND SERVER", "ADDRESS", "ZONE", "SLOTS", "CONNECTIONS"
    );
    let mut lines = Vec::new();
    for service in services {
        for server in &service.backend_servers {
            let key = format!("{}/{}/{}", service.name, server.name, server.address);
            let draining = server.draining || drains.contains(&key);
            out += &format!(
                "{:<16} {:<20} {:<22} {:<12} {:>5} {:>11} {}\n",
                service.name,
                server.name,
                server.address.to_string(),
                server.availability_zone,
                server.slots,
                server.connections,
                if draining { "yes" } else { "no" },
            );
            lines.push(serde_json::json!({
                "service": service.name, "name": server.name, "address": server.address,
                "availability_zone": server.availability_zone, "slots": server.slots,
                "connections": server.connections, "draining": draining,
            }));
        }
    }
    Ok(Outcome::success(match context.json() {
        true => format!("{}\n", Value::Array(lines)),
        false => out,
    }))
}

/// Returns the drains in the store, each as `SERVICE/NAME/ADDRESS`.
fn drains(context: &Context<'_>) -> Result<Vec<String>, Outcome> {
    let listed = context.store()?.list("drains/");
    let listed = listed.map_err(|error| Outcome::failure(Code::Failed, error.to_string()))?;
    let values = listed
        .changes
        .iter()
        .filter_map(|change| change.value.as_ref());
    let values = values.filter_map(|value| serde_json::from_str::<Value>(value).ok());
    let key = |value: Value| {
        let text = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
        format!(
            "{}/{}/{}",
            text("service"),
            text("backend_server"),
            text("address")
        )
    };
    Ok(values.map(key).collect())
}

fn accepted(context: &Context<'_>) -> Result<Manifest, Outcome> {
    let store = context.store()?;
    let root = manifest::root(&store, None)?;
    manifest_root::read_manifest(&store, &root).map_err(manifest::failed)
}
