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
const COME_BACK: Duration = Duration::from_millis(250);

/// When a caller is told to come back to a VM that knows no configuration yet, or not the newest.
const COME_BACK_UNREADY: Duration = Duration::from_millis(500);

/// What a request begins with.
pub(super) enum Begun<'a> {
    Refused(Answer),
    Flight(Flight<'a>),
}

/// One request under way.
pub(super) struct Flight<'a> {
    pub(super) context: &'a Rc<Context>,
    pub(super) request: &'a Request,
    pub(super) configuration: Arc<Configuration>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) deadline: Instant,
    pub(super) target: Instant,
    /// Whether the caller comes back after an earlier attempt.
    pub(super) returns: bool,
    /// Whether this VM may try the request though servers ended under it.
    pub(super) is_trial: bool,
    /// The server that names a limit at which it is this request's turn.
    pub(super) turn_at: Option<Rc<Upstream>>,
    pub(super) attempts: Attempts,
    pub(super) tried: Vec<Rc<Upstream>>,
    pub(super) last_failure: Option<Response>,
    /// When the caller may come back, should the request be refused.
    pub(super) come_back: Duration,
}

impl<'a> Flight<'a> {
    /// Returns whether it is known what becomes of a request: whether its host and path have a route, or will have none.
    pub(super) fn may_begin(context: &Context, request: &Request) -> bool {
        let Some(configuration) = context.configuration() else {
            return false;
        };
        let host = request.head.headers.get("host").unwrap_or_default();
        let has_route = configuration.route(host, &request.head.target).is_some();
        has_route || context.in_force.behind_for().is_none()
    }

    /// Finds the route and the destination of a request, or refuses it.
    pub(super) fn begin(context: &'a Rc<Context>, request: &'a Request) -> Begun<'a> {
        let refuse = |status, reason: &'static str, after| {
            context.metrics.failure(reason);
            tracing::info!(event = "refused", request = request.id, status, reason);
            let words = &context.vocabulary;
            Begun::Refused(Answer::own(request, words, status, reason, after))
        };
        let Some(configuration) = context.configuration() else {
            return refuse(503, "no configuration yet", Some(COME_BACK_UNREADY));
        };
        let host = request.head.headers.get("host").unwrap_or_default();
        let Some(route) = configuration.route(host, &request.head.target).cloned() else {
            return match context.in_force.behind_for() {
                None => refuse(404, "no such route", None),
                Some(_) => refuse(503, "the route may be new", Some(COME_BACK_UNREADY)),
            };
        };
        let Some(destination) = context.deal(&route) else {
            return refuse(503, "the route has no destination", Some(COME_BACK));
        };
        let patience = request.patience(&context.vocabulary);
        let before = patience.map_or(Duration::ZERO, |patience| {
            context.waited_before(&route, patience)
        });
        let allowed = patience.map_or(route.timeout, |patience| patience.min(route.timeout));
        context.arrived(request.arrived, &destination.service);
        Begun::Flight(Self {
            deadline: request.arrived + allowed,
            target: (request.arrived + route.target)
                .checked_sub(before)
                .unwrap_or(request.arrived),
            returns: before > Duration::ZERO,
            is_trial: false,
            turn_at: None,
            attempts: Attempts::new(route.contract, route.most_attempts),
            context,
            request,
            configuration,
            route,
            service: destination.service,
            tried: Vec::new(),
            last_failure: None,
            come_back: COME_BACK,
        })
    }
}
