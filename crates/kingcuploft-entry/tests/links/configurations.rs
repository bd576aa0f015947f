//! Configurations of many routes.

use std::time::Duration;

use fastrand::Rng;
use kingcuploft::entry::configuration::{Configuration, Destination, Limits, Route, Service};
use kingcuploft::world::contract::Contract;
use kingcuploft::world::wire_text::RequestPath;

const SERVICES: [&str; 4] = ["lists", "adoptions", "catalogue", "stock"];

/// Builds a route with random names, which no other route has.
fn route(rng: &mut Rng) -> Route {
    let mut word = |length: usize| -> String { (0..length).map(|_| rng.lowercase()).collect() };
    let (name, prefix, host) = (word(7), word(8), word(1));
    let service = rng.usize(0..SERVICES.len());
    Route {
        name: format!("r-{name}").into(),
        host: format!("{host}.example"),
        path_prefix: format!("/{prefix}/"),
        contract: match service {
            1 => Contract::AtMostOnce,
            _ => Contract::RetryFreely,
        },
        target: Duration::from_millis(600),
        timeout: Duration::from_millis(1200),
        most_attempts: 2,
        is_public: false,
        priority: 1,
        destinations: vec![Destination {
            service: SERVICES[service].into(),
            weight: 1,
        }],
    }
}

/// Builds so many routes.
pub(crate) fn routes(rng: &mut Rng, count: usize) -> Vec<Route> {
    (0..count).map(|_| route(rng)).collect()
}

/// Builds the configuration of these routes.
pub(crate) fn configuration(version: u64, routes: &[Route]) -> Configuration {
    let services = SERVICES.iter().map(|name| {
        let service = Service {
            health_path: RequestPath::parse("/health").ok(),
            most_connections: 980,
            cold_start: None,
        };
        ((*name).into(), service)
    });
    Configuration::new(
        version,
        routes.to_vec(),
        services.collect(),
        Limits::default(),
    )
}
