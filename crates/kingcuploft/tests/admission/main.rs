//! Admission on its own: fairness, priorities, deadlines, bounds, and a comparison with a naive version that scans a
//! vector.

mod differential;
mod naive;
mod refusals;
mod shares;

use std::time::{Duration, Instant};

use kingcuploft::decisions::admission::QueuedRequest;
use kingcuploft::manifest::Service;
use kingcuploft::settings::admission::AdmissionSettings;
use kingcuploft::world::contract::Priority;
use kingcuploft::world::ids::RequestId;

fn service(settings: AdmissionSettings) -> Service {
    let service = serde_json::json!({
        "name": "trip", "hosts": ["trip.example"], "backend_servers": [], "rules": [],
    });
    let mut service: Service = serde_json::from_value(service).unwrap();
    service.policy.admission = settings;
    service
}

fn waiting(request: RequestId, caller: &str, priority: Priority, now: Instant) -> QueuedRequest {
    QueuedRequest {
        request,
        rule: format!("{priority:?}").into(),
        priority,
        queue_limit: 64,
        caller_share: 0.25,
        caller: caller.into(),
        key: None,
        arrived: now,
        deadline: now + Duration::from_secs(1),
    }
}
