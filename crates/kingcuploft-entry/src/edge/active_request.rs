//! The state of one request from its arrival to its answer, and how it starts: route, destination, deadline.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::entry::attempts::Attempts;
use kingcuploft::entry::configuration::{Configuration, Route};
use kingcuploft::entry::key_digest::KeyDigest;
use kingcuploft::entry::workspaces::Workspace;
use kingcuploft::world::ids::{BackendServerName, ServiceName};

use super::answer::Answer;
use super::caller_key::{KeyCheck, check_key};
use super::request::{CallerIdentity, Request};
use crate::clock;
use crate::context::Context;
use crate::http::client::Response;
use crate::relay::wire::RelayedRequest;
use crate::upstream::Upstream;

/// The `Retry-After` of a refused request where no better estimate exists: the speed of a server has changed several
/// times by then.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The `Retry-After` of a VM that knows no configuration yet, or not the newest one.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The result of routing a request.
pub(super) enum Routed<'a> {
    Refused(Answer),
    Active(Box<ActiveRequest<'a>>),
}

/// A request that has been routed and is not answered yet.
pub(super) struct ActiveRequest<'a> {
    pub(super) context: &'a Rc<Context>,
    pub(super) request: &'a Request,
    pub(super) configuration: Arc<Configuration>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    /// When the caller stops waiting.
    pub(super) deadline: Instant,
    /// When the route's target latency is exceeded, counted from the caller's first attempt.
    pub(super) target_at: Instant,
    /// Whether the caller made an earlier attempt at the same request.
    pub(super) is_returning: bool,
    /// Whether this VM holds the one trial of a quarantined request.
    pub(super) is_trial: bool,
    /// The rate-limited server at which the request holds a turn (a reserved send slot).
    pub(super) turn_at: Option<Rc<Upstream>>,
    pub(super) attempts: Attempts,
    pub(super) tried_upstreams: Vec<Rc<Upstream>>,
    /// The VMs to which it was passed.
    pub(super) tried_relays: Vec<SocketAddr>,
    pub(super) last_failure: Option<Response>,
    /// The server whose answer the caller gets.
    pub(super) answered_by: Option<BackendServerName>,
    /// The `Retry-After` that the caller gets if the request is refused.
    pub(super) retry_after: Duration,
    /// The workspace by which it comes.
    pub(super) workspace: Option<Arc<Workspace>>,
    /// The digest of the key by which it comes, if this VM has checked it.
    pub(super) key: Option<KeyDigest>,
    /// Whether it has taken a request from its workspace's quota.
    pub(super) has_taken_quota: bool,
}

impl<'a> ActiveRequest<'a> {
    /// Returns whether a request can be routed or refused for good: its host and path have a route and its key a workspace,
    /// or this VM has the newest configuration.
    pub(super) fn can_begin(context: &Context, request: &Request) -> bool {
        let Some(configuration) = context.configuration() else {
            return false;
        };
        let host = request.head.headers.get("host").unwrap_or_default();
        if context.active_configuration.stale_for().is_none() {
            return true;
        }
        let route = configuration.route(host, &request.head.target);
        let headers = &request.head.headers;
        route.is_some_and(|route| match check_key(&configuration, route, headers) {
            KeyCheck::Unknown(_) => request.relayed.is_some(),
            _ => true,
        })
    }

    /// Finds the route and the destination of a request, or refuses it.
    pub(super) fn begin(context: &'a Rc<Context>, request: &'a Request) -> Routed<'a> {
        let refuse = |status, reason: &'static str, after| {
            context.metrics.count_failure(reason);
            tracing::info!(event = "refused", request = request.id, status, reason);
            let wire_names = &context.wire_names;
            Routed::Refused(Answer::generated(
                request, wire_names, status, reason, after,
            ))
        };
        let Some(configuration) = context.configuration() else {
            return refuse(503, "no configuration yet", Some(UNREADY_RETRY_AFTER));
        };
        let host = request.head.headers.get("host").unwrap_or_default();
        let Some(route) = configuration.route(host, &request.head.target).cloned() else {
            return match context.active_configuration.stale_for() {
                None if request.relayed.is_none() => refuse(404, "no such route", None),
                _ => refuse(503, "the route may be new", Some(UNREADY_RETRY_AFTER)),
            };
        };
        let key = match &request.relayed {
            Some(relayed) => Self::check_relayed(&configuration, &route, relayed),
            None => check_key(&configuration, &route, &request.head.headers),
        };
        let workspace = match key {
            KeyCheck::NotUsed | KeyCheck::Public => None,
            KeyCheck::Workspace(workspace, key) => Some((workspace, Some(key))),
            KeyCheck::Relayed(workspace) => Some((workspace, None)),
            KeyCheck::Unknown(reason) => {
                let is_stale = context.active_configuration.stale_for().is_some();
                return match is_stale || request.relayed.is_some() {
                    true => refuse(503, "the key may be new", Some(UNREADY_RETRY_AFTER)),
                    false => refuse(401, reason, None),
                };
            }
        };
        let (workspace, key) = workspace.unzip();
        if configuration.workspaces.is_some() {
            let name = workspace.as_ref().map(|known| known.name.clone());
            request.identify(CallerIdentity::Checked(name));
        }
        let Some(service) = Self::choose_service(context, request, &configuration, &route) else {
            return refuse(
                503,
                "the route has no destination",
                Some(DEFAULT_RETRY_AFTER),
            );
        };
        let caller_timeout = request.caller_timeout(&context.wire_names);
        let waited_before = Self::waited_before(context, request, &route);
        let allowed = caller_timeout.map_or(route.timeout, |caller_timeout| {
            caller_timeout.min(route.timeout)
        });
        let mut most_attempts = route.most_attempts;
        match &request.relayed {
            // The VM that passed it here has counted it.
            Some(relayed) => most_attempts = most_attempts.min(relayed.attempts),
            None => context.count_request(request.arrived, &service),
        }
        Routed::Active(Box::new(Self {
            deadline: clock::after(request.arrived, allowed),
            target_at: clock::after(request.arrived, route.target)
                .checked_sub(waited_before)
                .unwrap_or(request.arrived),
            is_returning: match &request.relayed {
                Some(relayed) => relayed.is_caller_retry,
                None => waited_before > Duration::ZERO,
            },
            is_trial: false,
            turn_at: None,
            attempts: Attempts::new(route.contract, most_attempts),
            context,
            request,
            configuration,
            route,
            service,
            tried_upstreams: Vec::new(),
            tried_relays: Vec::new(),
            last_failure: None,
            answered_by: None,
            retry_after: DEFAULT_RETRY_AFTER,
            workspace,
            key: key.flatten(),
            has_taken_quota: false,
        }))
    }

    /// Returns the workspace that the VM has found that passed the request here.
    fn check_relayed(
        configuration: &Configuration,
        route: &Route,
        relayed: &RelayedRequest,
    ) -> KeyCheck {
        let Some(workspaces) = &configuration.workspaces else {
            return KeyCheck::NotUsed;
        };
        let known = relayed.workspace.as_ref();
        match known.map(|name| workspaces.by_name(name)) {
            Some(Some(workspace)) => KeyCheck::Relayed(workspace.clone()),
            None if route.is_public => KeyCheck::Public,
            Some(None) | None => KeyCheck::Unknown("the workspace is not known here"),
        }
    }

    /// Returns the service for a request: the next destination of its route, or the one that the VM has chosen that passed
    /// it here, if this VM's configuration is as new and allows it.
    fn choose_service(
        context: &Context,
        request: &Request,
        configuration: &Configuration,
        route: &Route,
    ) -> Option<ServiceName> {
        let Some(relayed) = &request.relayed else {
            let destination = context.next_destination(route)?;
            return Some(destination.service);
        };
        let mut destinations = route.destinations.iter();
        let is_allowed = configuration.version >= relayed.configuration
            && destinations.any(|d| d.weight > 0 && d.service == relayed.service);
        is_allowed.then(|| relayed.service.clone())
    }

    /// Returns the request's priority, 0 being the highest: that of its workspace goes before that of its route.
    pub(super) fn priority(&self) -> u32 {
        let of_workspace = self.workspace.as_ref().and_then(|known| known.priority);
        of_workspace.unwrap_or(self.route.priority)
    }

    /// Returns how long the caller has waited at earlier attempts, or at the VM that passed the request here.
    fn waited_before(context: &Context, request: &Request, route: &Route) -> Duration {
        if let Some(relayed) = &request.relayed {
            return Duration::from_millis(relayed.waited_ms);
        }
        let caller_timeout = request.caller_timeout(&context.wire_names);
        caller_timeout.map_or(Duration::ZERO, |caller_timeout| {
            context.waited_before(route, caller_timeout)
        })
    }
}
