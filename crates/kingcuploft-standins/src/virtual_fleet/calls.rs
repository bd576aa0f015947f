//! Calls between VMs and backend servers: links, connections, timeouts and cancellation.

use std::time::Duration;

use kingcuploft::dispatcher::{Call, Event};
use kingcuploft::world::backend_server::{CallEnd, CallReport, LoadReport};
use kingcuploft::world::ids::{AttemptId, RequestId};

use super::fleet::{Fleet, FleetEvent};
use super::outcome::End;
use super::server::{Health, Job, JobAdmission, JobId};

/// One call to a backend server.
#[derive(Clone, Debug)]
pub(super) struct BackendCall {
    pub(super) node: usize,
    pub(super) attempt: AttemptId,
    pub(super) server: usize,
    pub(super) request_index: usize,
    pub(super) sent: Duration,
}

/// How long a server that fails fast takes.
const FAIL_FAST_TIME: Duration = Duration::from_micros(200);

impl Fleet<'_> {
    /// Sends a call; the server gets it after the link and, without an idle connection, a connect.
    pub(super) fn send(&mut self, node: usize, call: &Call) {
        let servers = &self.run.deployment.service.backend_servers;
        let server = servers.iter().position(|s| s.name == call.backend_server);
        let server = server.expect("The dispatcher knows only the manifest's backend servers.");
        let ask = self.nodes[node].requests[&call.request];
        self.last_job += 1;
        let job = self.last_job;
        let sent = BackendCall {
            node,
            attempt: call.attempt,
            server,
            request_index: ask,
            sent: self.now,
        };
        self.calls.insert(job, sent);
        self.jobs.insert((node, call.attempt), job);
        self.count_call(ask, server);
        let links = self.run.deployment.links;
        let idle = self.servers[server]
            .idle_connections
            .entry(node)
            .or_default();
        let warm = *idle > 0;
        *idle = idle.saturating_sub(1);
        let health = self.servers[server].health;
        let one_way = self.one_way(node, server);
        let connect = if warm { Duration::ZERO } else { links.connect };
        match health {
            Health::Refuses => {
                let never_sent = report(CallEnd::NeverSent);
                self.schedule(self.now + 2 * one_way, FleetEvent::ReachVm(job, never_sent));
            }
            Health::Gone if !warm => {
                let at = self.now + links.connect_timeout;
                self.schedule(at, FleetEvent::ReachVm(job, report(CallEnd::NeverSent)));
            }
            Health::Gone | Health::Working | Health::FailsFast => {
                let at = self.now + connect + one_way;
                self.schedule(at, FleetEvent::ReachServer(job));
            }
        }
        let due = call.deadline.saturating_duration_since(self.base);
        self.schedule(due.max(self.now), FleetEvent::Timeout(job));
    }

    fn count_call(&mut self, ask: usize, server: usize) {
        let flying = self.in_flight.entry(ask).or_default();
        if *flying > 0 {
            self.cost.hedges += 1;
        }
        *flying += 1;
        self.records[ask].sent += 1;
        self.cost.calls += 1;
        self.cost.sent.push((self.now, server));
    }

    /// Returns the delay of the link between a VM and a backend server.
    pub(super) fn one_way(&self, node: usize, server: usize) -> Duration {
        let deployment = &self.run.deployment;
        let zone = &deployment.service.backend_servers[server].availability_zone;
        if self.nodes[node].zone == *zone {
            deployment.links.within_zone
        } else {
            deployment.links.between_zones
        }
    }

    pub(super) fn reach_server(&mut self, job: JobId) {
        let Some(call) = self.calls.get(&job).cloned() else {
            return;
        };
        match self.servers[call.server].health {
            Health::Working => self.accept_call(job, &call),
            Health::FailsFast => {
                let at = self.now + FAIL_FAST_TIME;
                self.reply(job, &call, at, CallEnd::Answered { status: 500 });
            }
            Health::Refuses => self.reply(job, &call, self.now, CallEnd::Broken),
            Health::Gone => {}
        }
    }

    fn accept_call(&mut self, job: JobId, call: &BackendCall) {
        let asked = &self.run.requests[call.request_index];
        let work = asked.work;
        let accepted = self.servers[call.server].accept(self.now, Job { id: job, work });
        if accepted == JobAdmission::Shed {
            return self.reply(job, call, self.now, CallEnd::Refused);
        }
        if let Some(key) = &asked.key {
            *self.runs_by_key.entry(key.clone()).or_default() += 1;
        }
        if let JobAdmission::Started(until) = accepted {
            self.schedule(until, FleetEvent::Finish(call.server, job));
        }
    }

    /// Ends a job at its server and sends the reply; a cancelled one has no reply.
    pub(super) fn finish(&mut self, server: usize, job: JobId) {
        let Some(next) = self.servers[server].finish(self.now, job) else {
            return;
        };
        if let Some((next, at)) = next {
            self.schedule(at, FleetEvent::Finish(server, next));
        }
        if let Some(node) = self.probes.remove(&job) {
            self.probe_ends(node, server);
        }
        if let Some(call) = self.calls.get(&job).cloned() {
            self.reply(job, &call, self.now, CallEnd::Answered { status: 200 });
        }
    }

    fn reply(&mut self, job: JobId, call: &BackendCall, at: Duration, end: CallEnd) {
        let server = &self.servers[call.server];
        let speaks = !matches!(end, CallEnd::Broken);
        let load = server.load().filter(|_| speaks);
        let report = CallReport {
            load: load.map(|in_flight| LoadReport { in_flight }),
            draining: speaks && server.draining,
            ..report(end)
        };
        let at = at + self.one_way(call.node, call.server);
        self.schedule(at, FleetEvent::ReachVm(job, report));
    }

    pub(super) fn reach_vm(&mut self, job: JobId, report: CallReport) {
        let Some(call) = self.remove_call(job) else {
            return;
        };
        if let CallEnd::Answered { .. } | CallEnd::Refused = report.end {
            let idle = self.servers[call.server].idle_connections.entry(call.node);
            *idle.or_default() += 1;
        }
        if let CallEnd::Answered { status } = report.end {
            self.status = status;
        }
        let latency = self.now - call.sent;
        let report = CallReport { latency, ..report };
        self.dispatch(call.node, Event::AttemptEnded(call.attempt, report));
    }

    /// Ends a call at its deadline; the server drops it too, as it knows the deadline.
    pub(super) fn time_out(&mut self, job: JobId) {
        let Some(call) = self.remove_call(job) else {
            return;
        };
        let at = self.now + self.one_way(call.node, call.server);
        self.schedule(at, FleetEvent::CancelAtServer(call.server, job));
        let report = CallReport {
            latency: self.now - call.sent,
            ..report(CallEnd::TimedOut)
        };
        self.dispatch(call.node, Event::AttemptEnded(call.attempt, report));
    }

    pub(super) fn cancel(&mut self, node: usize, attempt: AttemptId) {
        let Some(&job) = self.jobs.get(&(node, attempt)) else {
            return;
        };
        let Some(call) = self.remove_call(job) else {
            return;
        };
        let at = self.now + self.one_way(call.node, call.server);
        self.schedule(at, FleetEvent::CancelAtServer(call.server, job));
        let report = CallReport {
            latency: self.now - call.sent,
            ..report(CallEnd::Cancelled)
        };
        self.schedule(self.now, FleetEvent::AttemptEnded(node, attempt, report));
    }

    pub(super) fn cancel_at_server(&mut self, server: usize, job: JobId) {
        if let Some((next, at)) = self.servers[server].cancel(self.now, job) {
            self.schedule(at, FleetEvent::Finish(server, next));
        }
    }

    fn remove_call(&mut self, job: JobId) -> Option<BackendCall> {
        let call = self.calls.remove(&job)?;
        self.jobs.remove(&(call.node, call.attempt));
        if let Some(flying) = self.in_flight.get_mut(&call.request_index) {
            *flying -= 1;
        }
        Some(call)
    }

    pub(super) fn record_answer(&mut self, node: usize, request: RequestId, _attempt: AttemptId) {
        let end = match self.status {
            500.. => End::Failed,
            _ => End::Answered,
        };
        self.record_end(node, request, end);
    }
}

/// Builds a report that says no more than how the call ended.
fn report(end: CallEnd) -> CallReport {
    CallReport {
        end,
        latency: Duration::ZERO,
        load: None,
        draining: false,
    }
}
