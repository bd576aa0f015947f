//! Shares what a VM has just learned of a backend server's load with the other VMs of its zone, and handles the
//! messages that other VMs send.
//!
//! Load pattern: several VMs of a zone probe the same few servers, each for itself, and under overload the probes take
//! slots from work. A load report is worth as much to the other VMs: a datagram within the zone takes a tenth of a
//! millisecond and costs no bytes between zones. A lost one costs a probe.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::placement::LoadReport;
use kingcuploft::world::ids::BackendServerName;

use super::peer_socket::{PeerMessage, PeerSocket};
use super::repeat_replication;
use super::turns;
use crate::clock;
use crate::cold_servers;
use crate::context::Context;
use crate::limits;
use crate::quotas;
use crate::reach;
use crate::upstream::ReportSource;

/// The most VMs of a zone that share all load reports. In a larger zone each VM probes servers of its own, and sharing
/// all reports would cost more than it saves.
const MAX_VMS: usize = 8;

/// The most bytes of a datagram that are read: more than one can hold.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// How old a load report may be when it arrives, counted from the probe of the VM that sent it.
const MAX_REPORT_AGE: Duration = Duration::from_millis(60);

/// The pause after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Sends the other VMs of the zone a load report, and for how long the server is cold, if it said whether it is.
pub fn share_report(
    context: &Context,
    server: &BackendServerName,
    report: LoadReport,
    cold_for: Option<Duration>,
) {
    let message = PeerMessage::LoadReport {
        server: server.clone(),
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        slowness: report.slowness,
        cold_ms: cold_for.map(|cold_for| cold_for.as_millis() as u64),
    };
    broadcast(context, &message);
}

/// Tells the other VMs of the zone that a request is on its way to a server.
pub fn share_sent(context: &Context, server: &BackendServerName) {
    let server = server.clone();
    broadcast(context, &PeerMessage::RequestSent { server });
}

fn broadcast(context: &Context, message: &PeerMessage) {
    let Some(socket) = context.peer_socket.get() else {
        return;
    };
    let peers = context.zone_peers.borrow();
    if !peers.is_empty() && peers.len() < MAX_VMS {
        socket.send(message, &peers);
    }
}

/// Handles messages of other VMs, until the process ends.
pub async fn receive(context: Rc<Context>, socket: Rc<PeerSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.receive(&mut buffer).await {
            Ok(Some((message, from))) => handle_message(&context, &message, from),
            Ok(None) => {}
            Err(_) => tokio::time::sleep(RECEIVE_RETRY_DELAY).await,
        }
    }
}

/// Handles a message of another VM.
pub fn handle_message(context: &Rc<Context>, message: &PeerMessage, from: SocketAddr) {
    let now = clock::now();
    match *message {
        PeerMessage::LoadReport {
            ref server,
            running,
            waiting,
            slots,
            slowness,
            cold_ms,
        } => {
            let report = LoadReport {
                running,
                waiting,
                slots,
                slowness,
            };
            if let Some(upstream) = context.upstream(server) {
                if let Some(cold_for) = cold_ms.map(Duration::from_millis) {
                    let asked_at = now.checked_sub(MAX_REPORT_AGE).unwrap_or(now);
                    cold_servers::apply_probe_answer(context, &upstream, cold_for, asked_at);
                }
                if !context.reach.is_out_of_reach(&upstream.server.service) {
                    upstream.record_load_report(now, report, ReportSource::OtherVm);
                }
                context.load_report_received.notify_waiters();
            }
        }
        PeerMessage::RequestSent { ref server } => {
            if let Some(upstream) = context.upstream(server) {
                upstream.record_peer_send(now);
            }
        }
        PeerMessage::TurnRequest {
            ref server,
            max_wait_ms,
            request_id,
        } => turns::handle_request(
            context,
            server,
            Duration::from_millis(max_wait_ms),
            request_id,
            from,
        ),
        PeerMessage::TurnReply {
            request_id,
            after_ms,
            granted,
        } => turns::handle_reply(
            context,
            request_id,
            Duration::from_millis(after_ms),
            granted,
        ),
        PeerMessage::LimitChanged { ref server, per_s } => {
            limits::apply_peer_change(context, server, per_s)
        }
        PeerMessage::ReachRequest {
            ref service,
            configuration,
        } => reach::handle_request(context, service, configuration, from),
        PeerMessage::ReachReply {
            ref service,
            reaches,
        } => reach::handle_reply(context, service, reaches, from),
        PeerMessage::QuotaDeposit(ref deposit) => quotas::handle_deposit(context, deposit, from),
        PeerMessage::QuotaConfirmation(ref reply) => quotas::handle_confirmation(context, reply),
        PeerMessage::RepeatsUsed { ref vm, ref used } => {
            repeat_replication::store_copy(context, vm, used)
        }
        PeerMessage::RepeatsRequest { ref vm } => {
            repeat_replication::send_copies(context, vm, from)
        }
        PeerMessage::RepeatsReply { ref used } => {
            repeat_replication::restore_used(context, used, from)
        }
    }
}
