//! The manifest of a run, with its protected actions as they should be, or wrong.

use crate::backend_server::BackendServer;

/// How the rule of the protected actions is written; the checker is proved with a wrong one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Protection {
    /// As it should be.
    #[default]
    Full,
    /// The system does not see the callers' keys, so it claims nothing.
    NoClaims,
    /// Requests that were sent are sent again.
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

/// Writes the manifest of the run.
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
