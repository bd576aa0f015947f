//! Chooses the service and the rule of a request.

use std::sync::Arc;

use super::{Manifest, Rule, Service};
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

/// Finds the route of a request; among matching rules the longest path prefix wins.
///
/// # Errors
///
/// The reason to refuse with where no service has the host or no rule matches.
pub fn route(
    manifest: &Manifest,
    host: &str,
    method: &str,
    path: &str,
) -> Result<Route, RefusalReason> {
    let service = manifest
        .services
        .iter()
        .find(|service| service.hosts.iter().any(|h| h.eq_ignore_ascii_case(host)))
        .ok_or(RefusalReason::NoSuchService)?;
    let rule = (0..service.rules.len())
        .filter(|&i| matches(&service.rules[i], method, path))
        .max_by_key(|&i| service.rules[i].path_prefix.len())
        .ok_or(RefusalReason::NoSuchRule)?;
    Ok(Route {
        service: Arc::clone(service),
        rule,
    })
}

fn matches(rule: &Rule, method: &str, path: &str) -> bool {
    let method_fits = rule.methods.is_empty() || rule.methods.iter().any(|m| m == method);
    method_fits && path.starts_with(&rule.path_prefix)
}
