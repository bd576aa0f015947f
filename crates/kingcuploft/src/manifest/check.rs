//! Validates a manifest: finds invalid numbers, names, addresses and rules, and valid ones that look like mistakes.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::{BackendServer, Manifest, Rule, Service};
use crate::utils::{HashMap, HashSet};
use crate::world::contract::Contract;

/// The most services of a manifest.
pub const MAX_SERVICES: usize = 2_000;

/// The most hosts of a service.
pub const MAX_HOSTS: usize = 64;

/// The most backend servers of a service.
pub const MAX_BACKEND_SERVERS: usize = 2_000;

/// The most rules of a service.
pub const MAX_RULES: usize = 128;

/// The longest name, in bytes; names are used in keys of the store, labels and log lines.
pub const MAX_NAME_BYTES: usize = 64;

/// The allowed deadlines, in ms: at most ten minutes, because a longer one does not bound a request in practice.
pub const ALLOWED_DEADLINES_MS: RangeInclusive<u64> = 1..=600_000;

/// The allowed numbers of slots of a backend server.
pub const ALLOWED_SLOTS: RangeInclusive<u32> = 1..=10_000;

/// The allowed numbers of connections of a backend server.
pub const ALLOWED_CONNECTIONS: RangeInclusive<u32> = 1..=1_000_000;

/// The allowed queue limits.
pub const ALLOWED_QUEUE_LIMITS: RangeInclusive<u32> = 1..=100_000;

/// The allowed body and whole-answer limits, in bytes: they are held in the memory of a small VM.
pub const ALLOWED_LIMITS_BYTES: RangeInclusive<u64> = 0..=64 * 1024 * 1024;

/// The allowed times for which an idempotency key is kept, in s: at most a week.
pub const ALLOWED_WINDOWS_S: RangeInclusive<u64> = 1..=604_800;

/// The allowed size limits of a recorded answer, in bytes: a ledger object of at most 1 MB holds many answers.
pub const ALLOWED_RECORD_BYTES: RangeInclusive<u64> = 0..=256 * 1024;

/// The HTTP methods that a rule may name.
pub const METHODS: [&str; 8] = [
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE",
];

/// A fault in a field, without its line in the text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The path of the field.
    pub field: String,
    /// What was found and what was expected.
    pub expected: String,
}

/// Returns all faults of a parsed manifest.
pub fn faults(manifest: &Manifest) -> Vec<Fault> {
    let mut check = Check::default();
    check.count("services", manifest.services.len(), MAX_SERVICES);
    let mut names = HashSet::default();
    let mut hosts = HashMap::default();
    for (i, service) in manifest.services.iter().enumerate() {
        let path = format!("services[{i}]");
        check.name(&path, &service.name);
        check.unique(&path, &service.name, &mut names);
        check.hosts(&path, service, &mut hosts);
        check.backend_servers(&path, service);
        check.rules(&path, service);
        check.policy(&path, service);
    }
    check.faults
}

/// Returns what is allowed but probably a mistake.
pub fn warnings(manifest: &Manifest) -> Vec<Fault> {
    let mut check = Check::default();
    for (i, service) in manifest.services.iter().enumerate() {
        let path = format!("services[{i}]");
        if service.backend_servers.is_empty() {
            let expected = "no backend servers: every request is refused";
            check.add(format!("{path}.backend_servers"), expected);
        }
        let protects = |rule: &Rule| rule.contract == Contract::AtMostOnce;
        let protects = service.rules.iter().any(protects);
        for (j, rule) in service.rules.iter().enumerate() {
            if protects && rule.contract == Contract::RetryFreely && rule.methods.is_empty() {
                let expected = "retry_freely for all methods beside an at_most_once rule: a request \
                     that the other does not match is retried; name the methods, such as GET";
                check.add(format!("{path}.rules[{j}].methods"), expected);
            }
        }
        for (j, server) in service.backend_servers.iter().enumerate() {
            if server.connections < server.slots {
                let expected = "fewer connections than slots: some slots can never be filled";
                let field = format!("{path}.backend_servers[{j}].connections");
                check.add(field, expected);
            }
        }
    }
    check.faults
}

#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
}

impl Check {
    fn add(&mut self, field: String, expected: impl Into<String>) {
        self.faults.push(Fault {
            field,
            expected: expected.into(),
        });
    }

    fn range<T: Display + PartialOrd>(
        &mut self,
        field: String,
        found: T,
        allowed: &RangeInclusive<T>,
    ) {
        if !allowed.contains(&found) {
            let (from, to) = (allowed.start(), allowed.end());
            self.add(field, format!("{found} found, expected {from} to {to}"));
        }
    }

    fn share(&mut self, field: String, found: f64) {
        if !(0.0..=1.0).contains(&found) {
            self.add(field, format!("{found} found, expected a share, 0 to 1"));
        }
    }

    fn count(&mut self, field: &str, found: usize, max: usize) {
        if found > max {
            self.add(
                field.into(),
                format!("{found} found, expected at most {max}"),
            );
        }
    }

    fn name(&mut self, path: &str, name: &str) {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        let dots = name.chars().all(|c| c == '.');
        if name.len() > MAX_NAME_BYTES || dots || !name.chars().all(is_allowed) {
            let expected = format!(
                "`{}` found, expected 1 to {MAX_NAME_BYTES} letters, digits, `.`, `_` or `-`",
                name.escape_debug()
            );
            self.add(format!("{path}.name"), expected);
        }
    }

    fn unique<'a>(&mut self, path: &str, name: &'a str, names: &mut HashSet<&'a str>) {
        if !names.insert(name) {
            let expected = format!("`{name}` found, expected a unique name");
            self.add(format!("{path}.name"), expected);
        }
    }

    fn hosts(&mut self, path: &str, service: &Service, host_owners: &mut HashMap<String, String>) {
        if service.hosts.is_empty() {
            self.add(format!("{path}.hosts"), "none found, expected at least one");
        }
        self.count(&format!("{path}.hosts"), service.hosts.len(), MAX_HOSTS);
        for (i, host) in service.hosts.iter().enumerate() {
            let field = format!("{path}.hosts[{i}]");
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || ".-_".contains(c);
            if host.is_empty() || !host.chars().all(is_allowed) {
                let expected = "expected a host name or IPv4 address without a port";
                self.add(
                    field,
                    format!("`{}` found, {expected}", host.escape_debug()),
                );
            } else if let Some(by) =
                host_owners.insert(host.to_ascii_lowercase(), service.name.to_string())
            {
                self.add(
                    field,
                    format!("`{host}` found, but service `{by}` has it already"),
                );
            }
        }
    }

    fn backend_servers(&mut self, path: &str, service: &Service) {
        let list = format!("{path}.backend_servers");
        self.count(&list, service.backend_servers.len(), MAX_BACKEND_SERVERS);
        let mut names = HashSet::default();
        let mut addresses = HashSet::default();
        for (i, server) in service.backend_servers.iter().enumerate() {
            let path = format!("{list}[{i}]");
            self.name(&path, &server.name);
            self.unique(&path, &server.name, &mut names);
            self.backend_server(&path, server, &mut addresses);
        }
    }

    fn backend_server(
        &mut self,
        path: &str,
        server: &BackendServer,
        addresses: &mut HashSet<SocketAddr>,
    ) {
        let address = server.address;
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            let expected = format!("{address} found, expected a host's IP and a port");
            self.add(format!("{path}.address"), expected);
        } else if !addresses.insert(address) {
            let expected = format!("{address} found, but an earlier backend server has it");
            self.add(format!("{path}.address"), expected);
        }
        if server.availability_zone.is_empty() {
            self.add(
                format!("{path}.availability_zone"),
                "empty, expected the name of an availability zone",
            );
        }
        self.range(format!("{path}.slots"), server.slots, &ALLOWED_SLOTS);
        self.range(
            format!("{path}.connections"),
            server.connections,
            &ALLOWED_CONNECTIONS,
        );
    }

    fn rules(&mut self, path: &str, service: &Service) {
        if service.rules.is_empty() {
            self.add(format!("{path}.rules"), "none found, expected at least one");
        }
        self.count(&format!("{path}.rules"), service.rules.len(), MAX_RULES);
        let mut names = HashSet::default();
        for (i, rule) in service.rules.iter().enumerate() {
            let path = format!("{path}.rules[{i}]");
            self.name(&path, &rule.name);
            self.unique(&path, &rule.name, &mut names);
            self.rule(&path, rule);
            let earlier = &service.rules[..i];
            if let Some(same) = earlier.iter().find(|earlier| is_ambiguous(earlier, rule)) {
                let expected = format!("rule `{}` has the same path and a same method", same.name);
                self.add(format!("{path}.path_prefix"), expected);
            }
        }
    }

    fn rule(&mut self, path: &str, rule: &Rule) {
        let prefix = &rule.path_prefix;
        let plain = |c: char| c.is_ascii_graphic() && !"%?#;\\".contains(c);
        let dots = prefix
            .split('/')
            .any(|segment| matches!(segment, "." | ".."));
        if !prefix.starts_with('/') || prefix.contains("//") || dots || !prefix.chars().all(plain) {
            let expected = "expected it to begin with `/`, without escapes, `//` or dot segments";
            let expected = format!("`{}` found, {expected}", prefix.escape_debug());
            self.add(format!("{path}.path_prefix"), expected);
        }
        for (i, method) in rule.methods.iter().enumerate() {
            if !METHODS.contains(&method.as_str()) {
                let expected = format!(
                    "`{}` found, expected one of {METHODS:?}",
                    method.escape_debug()
                );
                self.add(format!("{path}.methods[{i}]"), expected);
            }
        }
        self.range(
            format!("{path}.deadline_ms"),
            rule.deadline_ms,
            &ALLOWED_DEADLINES_MS,
        );
        self.range(
            format!("{path}.queue_limit"),
            rule.queue_limit,
            &ALLOWED_QUEUE_LIMITS,
        );
        self.share(format!("{path}.caller_share"), rule.caller_share);
        self.range(
            format!("{path}.body_limit_bytes"),
            rule.body_limit_bytes,
            &ALLOWED_LIMITS_BYTES,
        );
        self.range(
            format!("{path}.whole_answer_bytes"),
            rule.whole_answer_bytes,
            &ALLOWED_LIMITS_BYTES,
        );
        let idempotency = format!("{path}.idempotency");
        self.range(
            format!("{idempotency}.window_s"),
            rule.idempotency.window_s,
            &ALLOWED_WINDOWS_S,
        );
        self.range(
            format!("{idempotency}.record_bytes"),
            rule.idempotency.record_bytes,
            &ALLOWED_RECORD_BYTES,
        );
    }

    fn policy(&mut self, path: &str, service: &Service) {
        let policy = &service.policy;
        let path = format!("{path}.policy");
        self.share(
            format!("{path}.measuring.budget_share"),
            policy.measuring.budget_share,
        );
        self.share(
            format!("{path}.retry.budget_share"),
            policy.retry.budget_share,
        );
        self.share(format!("{path}.drain.keep_share"), policy.drain.keep_share);
        let allowed = 1..=10;
        self.range(
            format!("{path}.retry.attempts"),
            policy.retry.attempts,
            &allowed,
        );
    }
}

/// Tells whether some request matches two rules of which neither takes precedence.
fn is_ambiguous(a: &Rule, b: &Rule) -> bool {
    let same_path = a.path_prefix.trim_end_matches('/') == b.path_prefix.trim_end_matches('/');
    let same_method = match (a.methods.is_empty(), b.methods.is_empty()) {
        (true, true) => true,
        (false, false) => a.methods.iter().any(|method| b.methods.contains(method)),
        _ => false,
    };
    same_path && same_method
}
