//! Checks what an operator has written before it is put in force: a configuration is used whole or not at all.

use super::configuration::{Route, Service};
use crate::utils::HashMap;
use crate::world::ids::{RuleName, ServiceName};

/// Why a route can't be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RouteError {
    /// The path prefix does not begin and end with a slash.
    #[error("the path prefix '{0}' does not begin and end with a slash")]
    InvalidPrefix(String),
    /// A destination is a service that the configuration does not define.
    #[error("rule '{0}' goes to unknown service '{1}'")]
    UnknownService(RuleName, ServiceName),
    /// No destination has a weight above 0.
    #[error("rule '{0}' has no destination with a weight")]
    NoDestination(RuleName),
    /// The route allows no attempts.
    #[error("rule '{0}' allows no attempts")]
    NoAttempts(RuleName),
}

/// Checks a route against the services of its configuration.
///
/// # Errors
///
/// Returns the first fault that is found.
pub fn check_route(
    route: &Route,
    services: &HashMap<ServiceName, Service>,
) -> Result<(), RouteError> {
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(RouteError::InvalidPrefix(prefix.clone()));
    }
    if route.most_attempts == 0 {
        return Err(RouteError::NoAttempts(route.name.clone()));
    }
    let mut destinations = route.destinations.iter();
    if destinations.all(|destination| destination.weight == 0) {
        return Err(RouteError::NoDestination(route.name.clone()));
    }
    let mut destinations = route.destinations.iter();
    let unknown = destinations.find(|destination| !services.contains_key(&destination.service));
    match unknown {
        Some(destination) => Err(RouteError::UnknownService(
            route.name.clone(),
            destination.service.clone(),
        )),
        None => Ok(()),
    }
}
