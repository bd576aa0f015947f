//! Rate limits that backend servers announce in their answers: parsed, published to the other VMs, divided among them,
//! enforced.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::server_limit::{self, LimitShare, PerSecond};
use kingcuploft::entry::server_limits::{LimitChange, LimitNotice};
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::planted::{self, PlantedFault};
use kingcuploft::world::ids::{AvailabilityZone, BackendServerName, ServiceName};

use crate::clock;
use crate::context::Context;
use crate::http::headers::Headers;
use crate::notice_writes::NoticeWrite;
use crate::peers::peer_socket::PeerMessage;
use crate::upstream::Upstream;

/// By how much the planted fault delays limits: longer than VMs may take to learn of one.
const PLANTED_DELAY: Duration = Duration::from_secs(3);

/// The kind of answer that a limit header was or was not found in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// The answer to a request that was executed; without the header the server has no limit any more.
    ExecutedRequest,
    /// Any other answer, which may lack the header although the limit holds.
    Other,
}

/// Applies the limit header of a server's answer.
pub fn apply_header(
    context: &Context,
    server: &BackendServerName,
    headers: &Headers,
    answer: AnswerKind,
) {
    let value = headers.get(context.wire_names.limit);
    let value = value.filter(|_| !planted::is_on(PlantedFault::IgnoresLimits));
    let (fault, now) = (PlantedFault::AppliesLimitsLate, clock::now());
    let value = value.filter(|_| !planted::is_delayed(fault, server, now, PLANTED_DELAY));
    let per_s = value.and_then(parse_limit);
    match (value, per_s, answer) {
        (Some(value), None, _) => {
            if context.writes_ordinary_line(clock::now()) {
                tracing::info!(event = "limit_unreadable", %server, value);
            }
        }
        (None, _, AnswerKind::Other) => {}
        (None, _, AnswerKind::ExecutedRequest) if context.limits.borrow().is_empty() => {}
        _ => apply_limit(context, server, per_s),
    }
}

fn parse_limit(value: &str) -> Option<PerSecond> {
    let per_s: PerSecond = value.parse().ok()?;
    (per_s.is_finite() && per_s >= 0.0).then_some(per_s)
}

fn apply_limit(context: &Context, server: &BackendServerName, per_s: Option<PerSecond>) {
    match update(context, server, per_s) {
        Some(LimitChange::Named(notice)) => publish(context, notice),
        Some(LimitChange::Changed { before }) => {
            let per_s = per_s.unwrap_or_default();
            tracing::info!(event = "limit_changed", %server, per_s, before);
            notify_limit_owners(context, server, per_s, before);
        }
        Some(LimitChange::Ended(id)) => {
            tracing::info!(event = "limit_ended", %server);
            context.rewinds.note_withdrawn(clock::now(), &id);
            context.notice_writes.send(NoticeWrite::Withdraw(id));
        }
        None => {}
    }
}

fn update(
    context: &Context,
    server: &BackendServerName,
    per_s: Option<PerSecond>,
) -> Option<LimitChange> {
    let share = |per_s| own_share(context, server, per_s);
    let mut limits = context.limits.borrow_mut();
    limits.record_named(clock::now(), server, per_s, share, fastrand::f64())
}

fn publish(context: &Context, notice: LimitNotice) {
    log_named(context, &notice);
    let notice = Notice::Limit(notice);
    context.notice_writes.send(NoticeWrite::Create(notice));
}

/// Tells the VMs that own a limit, or owned it before, that it has changed: they grant its turns, and may send no
/// request to the server themselves.
fn notify_limit_owners(
    context: &Context,
    server: &BackendServerName,
    per_s: PerSecond,
    before: PerSecond,
) {
    let Some(socket) = context.peer_socket.get() else {
        return;
    };
    let records = context.readers.borrow().records();
    let zone = zone(context, server);
    let owners = server_limit::limit_owners(server, &zone, per_s.max(before), &records);
    let others = owners
        .into_iter()
        .filter(|vm| vm.name != context.settings.vm);
    let others: Vec<_> = others.map(|vm| vm.address).collect();
    let server = server.clone();
    socket.send(&PeerMessage::LimitChanged { server, per_s }, &others);
}

/// Applies a changed limit that another VM has seen.
pub fn apply_peer_change(context: &Context, server: &BackendServerName, per_s: PerSecond) {
    match update(context, server, Some(per_s)) {
        Some(LimitChange::Named(notice)) => publish(context, notice),
        Some(LimitChange::Changed { before }) => {
            tracing::info!(event = "limit_changed", %server, per_s, before);
        }
        Some(LimitChange::Ended(_)) | None => {}
    }
}

/// Applies a limit notice from the store; returns whether it is new.
pub fn apply_notice(context: &Context, notice: &LimitNotice) -> bool {
    let share = own_share(context, &notice.server, notice.per_s);
    let mut limits = context.limits.borrow_mut();
    let is_known = limits.per_s(&notice.server).is_some();
    let is_news = limits.add_notice(clock::now(), notice, share, fastrand::f64());
    drop(limits);
    if !is_known {
        log_named(context, notice);
    }
    is_news
}

/// Applies the withdrawal of a limit notice.
pub fn apply_withdrawal(context: &Context, id: &str) {
    let known = context.limits.borrow_mut().remove_notice(id);
    if let (true, Some(server)) = (known, LimitNotice::parse_id(id)) {
        tracing::info!(event = "limit_ended", server);
    }
}

/// Divides the limits again after the known VMs have changed.
pub fn redistribute(context: &Context) {
    if context.limits.borrow().is_empty() {
        return;
    }
    let share = |server: &BackendServerName, per_s| own_share(context, server, per_s);
    context
        .limits
        .borrow_mut()
        .update_shares(clock::now(), share);
}

/// Returns how long a request must wait before it may be sent to a server; zero if it may be sent at once.
pub fn wait_before_send(context: &Context, upstream: &Upstream, now: Instant) -> Duration {
    let mut limits = context.limits.borrow_mut();
    if limits.is_empty() || planted::is_on(PlantedFault::ForgetsColdServers) {
        return Duration::ZERO;
    }
    limits.wait(now, &upstream.server.name, fastrand::f64())
}

/// Counts a request that is sent to a server against the server's limit.
pub fn count_sent(context: &Context, upstream: &Upstream, now: Instant) {
    let mut limits = context.limits.borrow_mut();
    limits.record_sent(now, &upstream.server.name, fastrand::f64());
}

/// Returns the servers of a service that announce limits.
pub fn limited_upstreams(context: &Context, service: &ServiceName) -> Vec<Rc<Upstream>> {
    let limits = context.limits.borrow();
    let evacuations = context.evacuations.borrow();
    let known = limits
        .servers()
        .filter_map(|server| context.upstream(server));
    let of_service = known.filter(|upstream| upstream.server.service == *service);
    let open = of_service.filter(|upstream| !evacuations.is_evacuated(&upstream.server.zone));
    let mut open: Vec<_> = open.collect();
    open.sort_by_key(|upstream| (!upstream.near, upstream.rank));
    open
}

/// Returns whether this VM owns a server's limit, or a part of it, and so grants turns.
pub fn is_limit_owner(context: &Context, server: &BackendServerName) -> bool {
    let per_s = context.limits.borrow().per_s(server);
    per_s.is_some_and(|per_s| matches!(own_share(context, server, per_s), LimitShare::OneOf(_)))
}

/// Returns a random one of the VMs that own a server's limit.
pub fn pick_limit_owner(context: &Context, server: &BackendServerName) -> Option<VmEntry> {
    let per_s = context.limits.borrow().per_s(server)?;
    let records = context.readers.borrow().records();
    let owners = server_limit::limit_owners(server, &zone(context, server), per_s, &records);
    fastrand::choice(owners).cloned()
}

fn zone(context: &Context, server: &BackendServerName) -> AvailabilityZone {
    let zone = context.with_servers(|servers| servers.get(server).map(|known| known.zone.clone()));
    zone.unwrap_or_else(|| context.settings.zone.clone())
}

/// Returns the part of a server's limit that this VM may use.
pub fn own_share(context: &Context, server: &BackendServerName, per_s: PerSecond) -> LimitShare {
    if context.settings.peer_address.is_none() {
        return LimitShare::OneOf(1);
    }
    let zone = zone(context, server);
    let records = context.readers.borrow().records();
    let (vm, vms) = (&context.settings.vm, context.vm_count.get().divisor());
    server_limit::limit_share(vm, vms, server, &zone, per_s, &records)
}

fn log_named(context: &Context, notice: &LimitNotice) {
    let share = own_share(context, &notice.server, notice.per_s);
    tracing::info!(
        event = "limit_named",
        server = %notice.server,
        per_s = notice.per_s,
        part = ?share,
    );
}
