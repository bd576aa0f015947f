//! Opens connections to backend servers, and learns from them whether this VM reaches a service; while it does not, finds
//! another VM that does.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::service_reach::{ReachChange, ServiceReach};
use kingcuploft::planted::{self, PlantedFault};
use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::{BackendServerName, ServiceName};
use tokio::sync::Notify;

use crate::clock;
use crate::context::Context;
use crate::http::client::Connection;
use crate::peers::peer_socket::PeerMessage;
use crate::upstream::{ConnectError, Upstream, probe};

/// The pause after the first failed check whether a service is in reach again; doubled after each further one.
const FIRST_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The longest such pause: while it lasts requests still go through other VMs.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(800);

/// How long replies of other VMs are awaited: several round trips of a region.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);

/// How long a VM that is asked waits for a server's answer before it replies.
const PROBE_WAIT: Duration = Duration::from_millis(20);

/// The most VMs of the own zone, and of the other zones, that are asked at once.
const MAX_ASKED: usize = 8;

/// The reach of all services.
#[derive(Debug, Default)]
pub struct Reach {
    services: RefCell<HashMap<ServiceName, ServiceReach>>,
    /// Wakes tasks that wait for replies of other VMs.
    replied: Notify,
}

impl Reach {
    fn with<T>(&self, service: &ServiceName, operation: impl FnOnce(&mut ServiceReach) -> T) -> T {
        let mut services = self.services.borrow_mut();
        operation(services.entry(service.clone()).or_default())
    }

    /// As [`Self::with`], if this VM has had to do with the service: another VM may name any.
    fn with_known<T>(
        &self,
        service: &ServiceName,
        operation: impl FnOnce(&mut ServiceReach) -> T,
    ) -> Option<T> {
        self.services.borrow_mut().get_mut(service).map(operation)
    }

    /// Returns whether new connections to the servers of a service fail.
    pub fn is_out_of_reach(&self, service: &ServiceName) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(ServiceReach::is_out_of_reach)
    }

    /// Returns how many services are out of reach.
    pub fn out_of_reach_count(&self) -> usize {
        let services = self.services.borrow();
        let lost = services.values().filter(|reach| reach.is_out_of_reach());
        lost.count()
    }

    /// Forgets whether servers have accepted a connection, as they have left or started anew.
    pub fn forget_servers<'a>(&self, servers: impl Iterator<Item = &'a BackendServerName>) {
        let mut services = self.services.borrow_mut();
        for server in servers {
            let all = services.values_mut();
            all.for_each(|reach| reach.forget_server(server));
        }
    }

    /// Records that a server has answered.
    pub fn record_contact(&self, service: &ServiceName) {
        self.with(service, |reach| reach.record_contact(clock::now()));
    }

    /// Records that a VM has not passed a request on: it is asked again before it gets another one.
    pub fn record_relay_failed(&self, service: &ServiceName, address: SocketAddr) {
        let now = clock::now();
        self.with(service, |reach| reach.record_reply(now, address, false));
    }
}

/// Returns a connection to a server from its pool, or a new one.
///
/// # Errors
///
/// Returns [`ConnectError::ShareInUse`] if other calls have taken the last connection since the server was selected, and
/// the system's error, or a timeout, if no connection could be opened.
pub async fn connect(
    context: &Rc<Context>,
    upstream: &Upstream,
) -> Result<Connection, ConnectError> {
    match upstream.take_idle() {
        Some(connection) => Ok(connection),
        None => open(context, upstream).await,
    }
}

async fn open(context: &Rc<Context>, upstream: &Upstream) -> Result<Connection, ConnectError> {
    let service = &upstream.server.service;
    let share = context.connection_share(service);
    let opened = upstream.open(context, share).await;
    let server = &upstream.server.name;
    let is_in_use = context.upstream(server).is_some();
    let now = clock::now();
    let change = context.with_unpaused_upstreams(service, now, |upstreams| {
        let usable = upstreams.map(|u| &u.server.name);
        context.reach.with(service, |reach| match &opened {
            Ok(_) => reach.record_opened(now, server, usable),
            Err(ConnectError::Io(_)) if is_in_use => reach.record_not_opened(server, usable),
            Err(ConnectError::Io(_) | ConnectError::ShareInUse) => ReachChange::None,
        })
    });
    match change {
        ReachChange::None => {}
        ReachChange::Lost => handle_loss(context, service),
        ReachChange::Regained => tracing::info!(event = "service_in_reach", %service),
    }
    opened
}

fn handle_loss(context: &Rc<Context>, service: &ServiceName) {
    tracing::info!(event = "service_out_of_reach", %service);
    for upstream in context.upstreams(service) {
        upstream.forget_load_report();
    }
    if context.reach.with(service, ServiceReach::begin_checking) {
        tokio::task::spawn_local(check_until_in_reach(context.clone(), service.clone()));
    }
}

/// Opens connections to servers chosen at random until the service is in reach.
async fn check_until_in_reach(context: Rc<Context>, service: ServiceName) {
    let mut interval = FIRST_CHECK_INTERVAL;
    while context.reach.is_out_of_reach(&service) {
        if check_one(&context, &service).await {
            continue;
        }
        tokio::time::sleep(interval).await;
        interval = (interval * 2).min(MAX_CHECK_INTERVAL);
    }
    context.reach.with(&service, ServiceReach::end_checking);
}

/// Opens a connection to a server chosen at random, one that has not just accepted one if there is such a server;
/// returns whether it was accepted.
async fn check_one(context: &Rc<Context>, service: &ServiceName) -> bool {
    let (opened, others) = context.with_unpaused_upstreams(service, clock::now(), |usable| {
        context.reach.with(service, |reach| {
            let usable = usable.cloned();
            usable.partition::<Vec<_>, _>(|u| reach.has_opened(&u.server.name))
        })
    });
    let Some(upstream) = fastrand::choice(others).or_else(|| fastrand::choice(opened)) else {
        return false;
    };
    match open(context, &upstream).await {
        Ok(connection) => {
            upstream.release(connection);
            true
        }
        Err(_) => false,
    }
}

/// Returns a VM to which a request for a service can be passed, or `None` if the service is in reach or no VM has replied
/// that it reaches it. `tried` holds the VMs that it was passed to already.
pub async fn find_relay(
    context: &Context,
    service: &ServiceName,
    tried: &[SocketAddr],
) -> Option<SocketAddr> {
    if !context.reach.is_out_of_reach(service) || planted::is_on(PlantedFault::NeverRelays) {
        return None;
    }
    let now = clock::now();
    if context.reach.with(service, |reach| reach.begin_asking(now)) {
        ask(context, service);
    }
    loop {
        let replied = context.reach.replied.notified();
        let now = clock::now();
        let (relay, asked_for) = context.reach.with(service, |reach| {
            let relay = reach.pick_relay(now, tried, fastrand::f64);
            (relay, reach.asked_for(now).unwrap_or_default())
        });
        let wait = REPLY_TIMEOUT.saturating_sub(asked_for);
        if relay.is_some() || wait.is_zero() {
            return relay;
        }
        let _ = tokio::time::timeout(wait, replied).await;
    }
}

/// Asks other VMs, of the own zone and of others, whether they reach a service.
fn ask(context: &Context, service: &ServiceName) {
    let Some(socket) = context.peer_socket.get() else {
        return;
    };
    let records = context.readers.borrow().records();
    let (own, others): (Vec<_>, Vec<_>) = records
        .iter()
        .flat_map(|record| &record.vms)
        .filter(|vm| vm.name != context.settings.vm)
        .partition(|vm| vm.zone == context.settings.zone);
    let sampled = [own, others].into_iter().flat_map(|vms| {
        let count = vms.len().min(MAX_ASKED);
        fastrand::choose_multiple(vms, count)
    });
    let addresses: Vec<_> = sampled.map(|vm| vm.address).collect();
    let message = PeerMessage::ReachRequest {
        service: service.clone(),
        configuration: context.configuration().map_or(0, |c| c.version),
    };
    socket.send(&message, &addresses);
}

/// Replies to a VM that asks whether this one reaches a service, by the configuration of at least that version.
pub fn handle_request(
    context: &Rc<Context>,
    service: &ServiceName,
    version: u64,
    from: SocketAddr,
) {
    let known = context.configuration().map_or(0, |c| c.version);
    if known < version || context.shutdown.is_stopping() {
        return reply(context, service, from, false);
    }
    if may_relay(context, service) {
        return reply(context, service, from, true);
    }
    let (context, service) = (context.clone(), service.clone());
    tokio::task::spawn_local(async move {
        probe_one(&context, &service).await;
        let reaches = may_relay(&context, &service);
        reply(&context, &service, from, reaches);
    });
}

fn may_relay(context: &Context, service: &ServiceName) -> bool {
    let now = clock::now();
    let may_relay = context
        .reach
        .with_known(service, |reach| reach.may_relay(now));
    may_relay.unwrap_or(false)
}

/// Probes the first server of a service that answers probes, and waits for its answer for a moment.
async fn probe_one(context: &Rc<Context>, service: &ServiceName) {
    let now = clock::now();
    let responsive = context.with_unpaused_upstreams(service, now, |upstreams| {
        let mut responsive = upstreams.filter(|u| !u.is_unresponsive(now));
        responsive.next().cloned()
    });
    let configuration = context.configuration();
    let health_path = configuration.and_then(|c| {
        let service = c.services.get(service)?;
        service.health_path.clone()
    });
    let (Some(upstream), Some(health_path)) = (responsive, health_path) else {
        return;
    };
    probe::start(context, &upstream, &health_path);
    let until = now + PROBE_WAIT;
    while clock::now() < until && !may_relay(context, service) {
        let reported = context.load_report_received.notified();
        let left = until.saturating_duration_since(clock::now());
        let _ = tokio::time::timeout(left, reported).await;
    }
}

fn reply(context: &Context, service: &ServiceName, to: SocketAddr, reaches: bool) {
    if let Some(socket) = context.peer_socket.get() {
        let service = service.clone();
        socket.send(&PeerMessage::ReachReply { service, reaches }, &[to]);
    }
}

/// Handles another VM's reply.
pub fn handle_reply(context: &Context, service: &ServiceName, reaches: bool, from: SocketAddr) {
    let now = clock::now();
    context
        .reach
        .with_known(service, |reach| reach.record_reply(now, from, reaches));
    context.reach.replied.notify_waiters();
}

/// A request that is in flight at another VM, until it is dropped.
pub struct RelayGuard<'a> {
    context: &'a Context,
    service: &'a ServiceName,
    address: SocketAddr,
}

impl<'a> RelayGuard<'a> {
    /// Counts a request that is passed to a VM.
    pub fn begin(context: &'a Context, service: &'a ServiceName, address: SocketAddr) -> Self {
        let reach = &context.reach;
        reach.with(service, |reach| reach.record_relay_started(address));
        Self {
            context,
            service,
            address,
        }
    }
}

impl Drop for RelayGuard<'_> {
    fn drop(&mut self) {
        let reach = &self.context.reach;
        reach.with(self.service, |reach| {
            reach.record_relay_ended(self.address);
        });
    }
}
