//! The manifests of the experiment, of any number of services and backend servers.

use std::fmt::Write;

use crate::backend_server::BackendServer;

const RULES: &str = "    rules:
      - {name: lookup, methods: [GET], path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 2000}
      - {name: hold, methods: [POST], path_prefix: /holds, contract: at_most_once, priority: protected, deadline_ms: 2000}
";

/// Returns a manifest whose backend servers do not listen. A `change` above 0 alters the slots of one service.
pub(super) fn manifest_of_size(services: usize, servers: usize, change: usize) -> String {
    let mut text = String::from("services:\n");
    for service in 0..services {
        let changed = change > 0 && service == change % services;
        write_service_head(&mut text, service);
        let own_servers = (service * servers / services)..((service + 1) * servers / services);
        for server in own_servers {
            let (high, low) = (server / 250, server % 250 + 1);
            let slots = if changed { 2 + change } else { 2 };
            write_backend_server(&mut text, server, &format!("127.9.{high}.{low}:9"), slots);
        }
        text.push_str(RULES);
    }
    text
}

/// Returns a manifest of one service whose backend servers listen.
pub(super) fn manifest_of_servers(servers: &[BackendServer]) -> String {
    let mut text = String::from("services:\n");
    write_service_head(&mut text, 0);
    for (i, server) in servers.iter().enumerate() {
        write_backend_server(&mut text, i, &server.address().to_string(), 64);
    }
    text.push_str(RULES);
    text
}

fn write_service_head(text: &mut String, service: usize) {
    write!(
        text,
        "  - name: service-{service}\n    hosts: [service-{service}.example]\n    caller_header: x-caller\n    backend_servers:\n"
    )
    .expect("a string takes all");
}

fn write_backend_server(text: &mut String, number: usize, address: &str, slots: usize) {
    let zone = number % 18;
    writeln!(
        text,
        "      - {{name: server-{number}, address: '{address}', availability_zone: zone-{zone}, slots: {slots}, connections: 220}}"
    )
    .expect("a string takes all");
}
