//! Simulates calls from entry VMs to backend servers: link delays, connections, timeouts and cancellation.

use std::time::Duration;

use kingcuploft::dispatcher::{Call, Event};
use kingcuploft::world::backend_server::{CallEnd, CallReport, LoadReport};
use kingcuploft::world::ids::{AttemptId, RequestId};

use super::fleet::{Fleet, FleetEvent};
use super::outcome::End;
use super::server::{Health, Job, JobAdmission, JobId};

/// A call to a backend server that is in flight.
#[derive(Clone, Debug)]
pub(super) struct BackendCall {
    pub(super) node: usize,
    pub(super) attempt: AttemptId,
    pub(super) server: usize,
    pub(super) request_index: usize,
    pub(super) sent: Duration,
}

/// The time that a server with [`Health::FailsFast`] takes to answer with an error.
const FAIL_FAST_TIME: Duration = Duration::from_micros(200);

impl Fleet<'_> {
    /// Sends a call; it arrives at the server after the link delay, plus the time to connect if the VM has no idle
    /// connection to that server.
    pub(super) fn send(&mut self, node: usize, call: &Call) {
        let servers = &self.run.deployment.service.backend_servers;
        let server = servers.iter().position(|s| s.name == call.backend_server);
        let server = server.expect("The dispatcher knows only the manifest's backend servers.");
        let request_index = self.nodes[node].requests[&call.request];
        self.last_job += 1;
        let job = self.last_job;
        let backend_call = BackendCall {
            node,
            attempt: call.attempt,
            server,
            request_index,
            sent: self.now,
        };
        self.calls.insert(job, backend_call);
        self.jobs.insert((node, call.attempt), job);
        self.count_call(request_index, server);
        let links = self.run.deployment.links;
        let idle = self.servers[server]
            .idle_connections
            .entry(node)
            .or_default();
        let has_idle = *idle > 0;
        *idle = idle.saturating_sub(1);
        let health = self.servers[server].health;
        let one_way = self.one_way(node, server);
        let connect = if has_idle {
            Duration::ZERO
        } else {
            links.connect
        };
        match health {
            Health::Refuses => {
                let never_sent = report(CallEnd::NeverSent);
                self.schedule(self.now + 2 * one_way, FleetEvent::ReachVm(job, never_sent));
            }
            Health::Gone if !has_idle => {
                let at = self.now + links.connect_timeout;
                self.schedule(at, FleetEvent::ReachVm(job, report(CallEnd::NeverSent)));
            }
            Health::Gone | Health::Working | Health::FailsFast => {
                let at = self.now + connect + one_way;
                self.schedule(at, FleetEvent::ReachServer(job));
            }
        }
        let due = call.deadline.saturating_duration_since(self.started_at);
        self.schedule(due.max(self.now), FleetEvent::Timeout(job));
    }

    /// Counts a call; a call of a request that has another one in flight is a hedge.
    fn count_call(&mut self, request_index: usize, server: usize) {
        let in_flight = self.in_flight.entry(request_index).or_default();
        if *in_flight > 0 {
            self.cost.hedges += 1;
        }
        *in_flight += 1;
        self.records[request_index].call_count += 1;
        self.cost.calls += 1;
        self.cost.sent_calls.push((self.now, server));
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

    /// Handles the arrival of a call at its backend server.
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

    /// Lets the server run, queue or shed the job of a call.
    fn accept_call(&mut self, job: JobId, call: &BackendCall) {
        let request = &self.run.requests[call.request_index];
        let work = request.work;
        let admission = self.servers[call.server].accept(self.now, Job { id: job, work });
        if admission == JobAdmission::Shed {
            return self.reply(job, call, self.now, CallEnd::Refused);
        }
        if let Some(key) = &request.key {
            *self.runs_by_key.entry(key.clone()).or_default() += 1;
        }
        if let JobAdmission::Started(until) = admission {
            self.schedule(until, FleetEvent::Finish(call.server, job));
        }
    }

    /// Finishes a job at its server and sends the reply; a cancelled job gets no reply.
    pub(super) fn finish(&mut self, server: usize, job: JobId) {
        let Some(next) = self.servers[server].finish(self.now, job) else {
            return;
        };
        if let Some((next, at)) = next {
            self.schedule(at, FleetEvent::Finish(server, next));
        }
        if let Some(node) = self.probes.remove(&job) {
            self.end_probe(node, server);
        }
        if let Some(call) = self.calls.get(&job).cloned() {
            self.reply(job, &call, self.now, CallEnd::Answered { status: 200 });
        }
    }

    /// Sends the end of a call back over the link, with the load and drain state that the server reports. A broken
    /// connection carries neither.
    fn reply(&mut self, job: JobId, call: &BackendCall, at: Duration, end: CallEnd) {
        let server = &self.servers[call.server];
        let has_reply = !matches!(end, CallEnd::Broken);
        let load = server.load().filter(|_| has_reply);
        let report = CallReport {
            load: load.map(|in_flight| LoadReport { in_flight }),
            draining: has_reply && server.draining,
            ..report(end)
        };
        let at = at + self.one_way(call.node, call.server);
        self.schedule(at, FleetEvent::ReachVm(job, report));
    }

    /// Hands the end of a call to the dispatcher that sent it; an answered or refused call leaves an idle connection.
    pub(super) fn reach_vm(&mut self, job: JobId, report: CallReport) {
        let Some(call) = self.remove_call(job) else {
            return;
        };
        if let CallEnd::Answered { .. } | CallEnd::Refused = report.end {
            let idle = self.servers[call.server].idle_connections.entry(call.node);
            *idle.or_default() += 1;
        }
        if let CallEnd::Answered { status } = report.end {
            self.answer_status = status;
        }
        let latency = self.now - call.sent;
        let report = CallReport { latency, ..report };
        self.dispatch(call.node, Event::AttemptEnded(call.attempt, report));
    }

    /// Ends a call at its deadline; the server cancels the job too, because the call carries the deadline.
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

    /// Cancels an attempt, at the VM at once and at the server after the link delay.
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

    /// Cancels a job at its server, which starts the next queued one.
    pub(super) fn cancel_at_server(&mut self, server: usize, job: JobId) {
        if let Some((next, at)) = self.servers[server].cancel(self.now, job) {
            self.schedule(at, FleetEvent::Finish(server, next));
        }
    }

    /// Removes a call that has ended.
    fn remove_call(&mut self, job: JobId) -> Option<BackendCall> {
        let call = self.calls.remove(&job)?;
        self.jobs.remove(&(call.node, call.attempt));
        if let Some(in_flight) = self.in_flight.get_mut(&call.request_index) {
            *in_flight -= 1;
        }
        Some(call)
    }

    /// Records the backend server's answer that a dispatcher passes on; `answer_status` holds its status.
    pub(super) fn record_answer(&mut self, node: usize, request: RequestId, _attempt: AttemptId) {
        let end = match self.answer_status {
            500.. => End::Failed,
            _ => End::Answered,
        };
        self.record_end(node, request, end);
    }
}

/// Builds a report with how the call ended, without latency, load or drain state.
fn report(end: CallEnd) -> CallReport {
    CallReport {
        end,
        latency: Duration::ZERO,
        load: None,
        draining: false,
    }
}
