//! What a backend server says of itself in its answers: that it leaves, and that it wants no requests for a while.
//!
//! Failure: a server that leaves or is in distress while the platform's store is away can tell the VMs in no other way.

use std::time::Duration;

use super::Upstream;
use crate::clock;
use crate::context::Context;
use crate::http::client::Response;
use crate::pauses;
use crate::server_updates;
use crate::settings::WireNames;

/// The status by which a server refuses a request that is meant for another server.
pub(super) const MISDIRECTED_STATUS: u16 = 421;

/// The statuses with which a server refuses a request and may ask for a pause.
const REFUSAL_STATUSES: [u16; 2] = [429, 503];

/// The value of the header of a leaving server.
const LEAVING_VALUE: &str = "1";

/// The longest pause that is counted; a longer one is no sensible request, and its end may not be representable.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 3600);

/// What a server says of itself in one answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerSignals {
    /// Whether it leaves, and finishes only what it has.
    pub is_leaving: bool,
    /// For how long it wants no requests from this VM.
    pub pause: Option<Duration>,
}

impl ServerSignals {
    /// Returns what the answer of a server says. The answer of a server that the request was not meant for says nothing
    /// of the one that it was meant for.
    pub fn of_answer(wire_names: &WireNames, response: &Response) -> Self {
        let headers = &response.head.headers;
        if response.head.status == MISDIRECTED_STATUS {
            return Self::default();
        }
        let pause = requested_pause(wire_names, response);
        Self {
            is_leaving: headers.get(wire_names.leaving).map(str::trim) == Some(LEAVING_VALUE),
            pause: pause.and_then(parse_seconds),
        }
    }
}

/// Applies what the answer to a request says of its server.
pub(crate) fn apply_answer(context: &Context, upstream: &Upstream, response: &Response) {
    let signals = ServerSignals::of_answer(&context.wire_names, response);
    apply(context, upstream, signals);
    let pause = requested_pause(&context.wire_names, response);
    if let Some(value) = pause.filter(|value| parse_seconds(value).is_none()) {
        log_unreadable_pause(context, upstream, value);
    }
}

fn log_unreadable_pause(context: &Context, upstream: &Upstream, value: &str) {
    if context.writes_ordinary_line(clock::now()) {
        let server = &upstream.server.name;
        tracing::info!(event = "pause_unreadable", %server, value);
    }
}

/// Applies what the answer to a probe says of its server, unless another server has answered.
pub(super) fn apply_probe_answer(context: &Context, upstream: &Upstream, response: &Response) {
    let answering = response.head.headers.get(context.wire_names.instance);
    if answering.is_none_or(|name| *name == *upstream.server.name) {
        apply_answer(context, upstream, response);
    }
}

fn apply(context: &Context, upstream: &Upstream, signals: ServerSignals) {
    let now = clock::now();
    if signals.is_leaving {
        server_updates::apply_leaving(context, now, &upstream.server);
    }
    if let Some(pause) = signals.pause {
        pauses::apply(context, now, &upstream.server.name, pause);
    }
}

/// Returns the pause that a refusal asks for, as the server wrote it.
fn requested_pause<'a>(wire_names: &WireNames, response: &'a Response) -> Option<&'a str> {
    let is_refusal = REFUSAL_STATUSES.contains(&response.head.status);
    let pause = response.head.headers.get(wire_names.pause_s);
    pause.filter(|_| is_refusal)
}

fn parse_seconds(value: &str) -> Option<Duration> {
    let seconds: f64 = value.trim().parse().ok()?;
    (seconds > 0.0).then(|| {
        Duration::try_from_secs_f64(seconds).map_or(MAX_PAUSE, |pause| pause.min(MAX_PAUSE))
    })
}
