//! One request under way, and how it begins: route, destination, deadline.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::entry::attempts::Attempts;
use kingcuploft::entry::configuration::{Configuration, Route};
use kingcuploft::world::ids::ServiceName;

use super::answer::Answer;
use super::request::Request;
use crate::context::Context;
use crate::http::client::Response;
use crate::upstream::Upstream;

/// When a refused caller is told to come back, where nothing better is known: several draws of the
/// servers' speeds later.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// When a caller is told to come back to a VM that knows no configuration yet, or not the newest.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What a request begins with.
pub(super) enum Routed<'a> {
    Refused(Answer),
    Active(ActiveRequest<'a>),
}

/// One request under way.
pub(super) struct ActiveRequest<'a> {
    pub(super) context: &'a Rc<Context>,
    pub(super) request: &'a Request,
    pub(super) configuration: Arc<Configuration>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) deadline: Instant,
    pub(super) target: Instant,
    /// Whether the caller comes back after an earlier attempt.
    pub(super) is_returning: bool,
    /// Whether this VM may try the request though servers ended under it.
    pub(super) is_trial: bool,
    /// The server that names a limit at which it is this request's turn.
    pub(super) turn_at: Option<Rc<Upstream>>,
    pub(super) attempts: Attempts,
    pub(super) tried_upstreams: Vec<Rc<Upstream>>,
    pub(super) last_failure: Option<Response>,
    /// When the caller may come back, should the request be refused.
    pub(super) retry_after: Duration,
}

impl<'a> ActiveRequest<'a> {
    /// Returns whether it is known what becomes of a request: whether its host and path have a route, or will have none.
    pub(super) fn can_begin(context: &Context, request: &Request) -> bool {
        let Some(configuration) = context.configuration() else {
            return false;
        };
        let host = request.head.headers.get("host").unwrap_or_default();
        let has_route = configuration.route(host, &request.head.target).is_some();
        has_route || context.active_configuration.stale_for().is_none()
    }

    /// Finds the route and the destination of a request, or refuses it.
    pub(super) fn begin(context: &'a Rc<Context>, request: &'a Request) -> Routed<'a> {
        let refuse = |status, reason: &'static str, after| {
            context.metrics.count_failure(reason);
            tracing::info!(event = "refused", request = request.id, status, reason);
            let words = &context.wire_names;
            Routed::Refused(Answer::generated(request, words, status, reason, after))
        };
        let Some(configuration) = context.configuration() else {
            return refuse(503, "no configuration yet", Some(UNREADY_RETRY_AFTER));
        };
        let host = request.head.headers.get("host").unwrap_or_default();
        let Some(route) = configuration.route(host, &request.head.target).cloned() else {
            return match context.active_configuration.stale_for() {
                None => refuse(404, "no such route", None),
                Some(_) => refuse(503, "the route may be new", Some(UNREADY_RETRY_AFTER)),
            };
        };
        let Some(destination) = context.next_destination(&route) else {
            return refuse(
                503,
                "the route has no destination",
                Some(DEFAULT_RETRY_AFTER),
            );
        };
        let patience = request.patience(&context.wire_names);
        let before = patience.map_or(Duration::ZERO, |patience| {
            context.waited_before(&route, patience)
        });
        let allowed = patience.map_or(route.timeout, |patience| patience.min(route.timeout));
        context.count_request(request.arrived, &destination.service);
        Routed::Active(Self {
            deadline: request.arrived + allowed,
            target: (request.arrived + route.target)
                .checked_sub(before)
                .unwrap_or(request.arrived),
            is_returning: before > Duration::ZERO,
            is_trial: false,
            turn_at: None,
            attempts: Attempts::new(route.contract, route.most_attempts),
            context,
            request,
            configuration,
            route,
            service: destination.service,
            tried_upstreams: Vec::new(),
            last_failure: None,
            retry_after: DEFAULT_RETRY_AFTER,
        })
    }
}
