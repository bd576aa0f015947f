//! Routes a request: finds its service by host, and its rule by method and path.
//!
//! The path selects the contract, so it must mean the same here and at the backend server.
//!
//! Failure: a backend server reads a path differently and runs a protected action under a lookup's contract, which
//! allows retries. Ambiguous paths are therefore refused: dot segments (`/lookup/../holds`), empty segments
//! (`//holds`), encoded separators (`%2f`), broken or doubled escapes and control characters. Escapes of plain
//! characters (`/%68olds`) are decoded, as every backend server does.

use std::sync::Arc;

use super::{Manifest, Rule, Service};
use crate::utils::HashMap;
use crate::world::refusal::RefusalReason;

/// The service and rule of a request.
#[derive(Clone, Debug)]
pub struct Route {
    /// The service.
    pub service: Arc<Service>,
    /// The index of the rule within the service.
    pub rule: usize,
}

impl Route {
    /// Returns the rule.
    pub fn rule(&self) -> &Rule {
        &self.service.rules[self.rule]
    }
}

/// An index of a manifest's hosts, so that finding a service costs the same with 1 and with 740 services.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    by_host: HashMap<String, Arc<Service>>,
}

impl Routes {
    /// Indexes the hosts of a manifest.
    pub fn new(manifest: &Manifest) -> Self {
        let mut by_host = HashMap::default();
        for service in &manifest.services {
            for host in &service.hosts {
                by_host.insert(host.to_ascii_lowercase(), Arc::clone(service));
            }
        }
        Self { by_host }
    }

    /// Finds the service of a host; a port is ignored.
    pub fn service(&self, host: &str) -> Option<&Arc<Service>> {
        let name = host.split(':').next().unwrap_or_default();
        let name = name.strip_suffix('.').unwrap_or(name);
        self.by_host.get(&name.to_ascii_lowercase())
    }

    /// Finds the route of a request; among matching rules the longest path prefix wins, then a rule that names the
    /// method.
    ///
    /// # Errors
    ///
    /// The refusal's reason if no service has the host, no rule matches or the path is ambiguous.
    pub fn route(&self, host: &str, method: &str, path: &str) -> Result<Route, RefusalReason> {
        let service = self.service(host).ok_or(RefusalReason::NoSuchService)?;
        let path = decode_path(path).ok_or(RefusalReason::BadRequest)?;
        let rule = (0..service.rules.len())
            .filter(|&i| matches(&service.rules[i], method, &path))
            .max_by_key(|&i| {
                let rule = &service.rules[i];
                (rule.path_prefix.len(), !rule.methods.is_empty())
            })
            .ok_or(RefusalReason::NoSuchRule)?;
        Ok(Route {
            service: Arc::clone(service),
            rule,
        })
    }
}

/// Finds the route of a single request without an index that is kept.
///
/// # Errors
///
/// As [`Routes::route`].
pub fn route(
    manifest: &Manifest,
    host: &str,
    method: &str,
    path: &str,
) -> Result<Route, RefusalReason> {
    Routes::new(manifest).route(host, method, path)
}

/// Tells whether a rule's method and path prefix match. Methods are compared without regard to case: a backend server
/// that treats `post` as `POST` must not run a hold under a lookup's contract.
fn matches(rule: &Rule, method: &str, path: &str) -> bool {
    let mut methods = rule.methods.iter();
    let method_fits = rule.methods.is_empty() || methods.any(|m| m.eq_ignore_ascii_case(method));
    method_fits && matches_prefix(&rule.path_prefix, path)
}

/// Tells whether a prefix matches whole segments of a path: `/holds` matches `/holds`, `/holds/7` and `/holds;v=1`, but
/// not `/holdsx`.
fn matches_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with(['/', ';'])
}

/// Returns the path with the escapes of plain characters decoded; `None` if a backend server might read it as another
/// path.
fn decode_path(path: &str) -> Option<String> {
    let mut plain = String::with_capacity(path.len());
    let mut bytes = path.bytes();
    while let Some(byte) = bytes.next() {
        let (byte, escaped) = match byte {
            b'%' => (unescape(bytes.next()?, bytes.next()?)?, true),
            byte => (byte, false),
        };
        match byte {
            // Control characters and backslashes: some backend servers end the path there, or take them as separators.
            0..=0x1f | 0x7f | b'\\' => return None,
            b'/' if escaped => return None,
            0x80.. => plain.push('\u{fffd}'),
            byte => plain.push(char::from(byte)),
        }
    }
    if has_escape(&plain) {
        return None;
    }
    let mut segments = plain.strip_prefix('/')?.split('/').rev();
    let last = segments.next()?;
    let dots = |segment: &str| {
        let name = segment.split(';').next().unwrap_or_default();
        matches!(name, "." | "..")
    };
    let ambiguous = segments.any(|segment| segment.is_empty() || dots(segment));
    (!ambiguous && !dots(last)).then_some(plain)
}

/// Tells whether an escape is left after decoding once: a backend server that decodes `%2568olds` twice reads `holds`.
fn has_escape(plain: &str) -> bool {
    let triples = plain.as_bytes().windows(3);
    let mut escapes = triples.filter(|t| t[0] == b'%' && unescape(t[1], t[2]).is_some());
    escapes.next().is_some()
}

fn unescape(high: u8, low: u8) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    u8::try_from(digit(high)? * 16 + digit(low)?).ok()
}
