//! The manifest of a run, with the rule for protected actions either correct or deliberately wrong.

use crate::backend_server::BackendServer;

/// How the rule for protected actions is written. The wrong ones show that the checker finds violations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Protection {
    /// The correct rule: at most once, by idempotency key.
    #[default]
    Full,
    /// The rule names another header for the idempotency key, so the daemons claim nothing.
    NoClaims,
    /// The rule allows retries of requests that have been sent.
    RetrySent,
}

impl Protection {
    fn rule(self) -> &'static str {
        match self {
            Self::Full => {
                "{name: hold, methods: [POST], path_prefix: /holds, contract: at_most_once, priority: protected, deadline_ms: 2000}"
            }
            Self::NoClaims => {
                "{name: hold, methods: [POST], path_prefix: /holds, contract: at_most_once, priority: protected, deadline_ms: 2000, idempotency: {header: x-unused, required: false}}"
            }
            Self::RetrySent => {
                "{name: hold, methods: [POST], path_prefix: /holds, contract: retry_freely, priority: protected, deadline_ms: 2000}"
            }
        }
    }
}

/// Returns the manifest of the run, as YAML.
pub(super) fn manifest(
    servers: &[BackendServer],
    draining: &[bool],
    protection: Protection,
) -> String {
    let mut text = String::from(
        "services:\n  - name: trip\n    hosts: [trip.example]\n    backend_servers:\n",
    );
    for (i, server) in servers.iter().enumerate() {
        text += &format!(
            "      - {{name: trip-{i}, address: '{}', availability_zone: zone-{}, slots: 3, connections: 220, draining: {}}}\n",
            server.address(),
            i % 3,
            draining[i]
        );
    }
    text += "    rules:\n      - {name: lookup, methods: [GET], path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 2000}\n";
    text += &format!("      - {}\n", protection.rule());
    text
}
