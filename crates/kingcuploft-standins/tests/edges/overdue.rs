//! Calls whose deadline passes before a worker starts them.

use std::time::{Duration, Instant};

use crossbeam_channel::bounded;
use kingcuploft::dispatcher::Call;
use kingcuploft::manifest::routing::route;
use kingcuploft_standins::backend_server::{BackendServer, Work};
use kingcuploftd::backend_edge;
use kingcuploftd::message::{CallTask, RequestParts};

use crate::harness::{Bench, bench};

/// Guards against a call that is sent after its caller was answered with an unknown outcome.
#[test]
fn a_call_that_is_overdue_when_the_worker_takes_it_is_not_sent() {
    let runtime = Bench::runtime();
    let server = BackendServer::start(&runtime, Work::default()).unwrap();
    let bench = bench(&[server.address()], "{workers: 1}");
    let (tasks, task_receiver) = bounded(2);
    let due = Instant::now() + Duration::from_secs(5);
    tasks
        .send(call_task(&bench, &server, 1, Instant::now()))
        .unwrap();
    tasks.send(call_task(&bench, &server, 2, due)).unwrap();
    drop(tasks);
    backend_edge::run(
        bench.daemon.shared(),
        &task_receiver,
        &backend_edge::agent(),
    );
    assert_eq!(server.call_runs("1"), 0);
    assert_eq!(server.call_runs("2"), 1);
    drop(bench.with_runtime(runtime));
}

fn call_task(bench: &Bench, server: &BackendServer, number: u64, deadline: Instant) -> CallTask {
    let mut headers = http::HeaderMap::new();
    headers.insert("x-call-id", number.to_string().parse().unwrap());
    let parts = RequestParts {
        method: http::Method::POST,
        uri: "/holds".parse().unwrap(),
        headers,
        body: "beds".into(),
    };
    let manifest = bench.daemon.shared().accepted.load().manifest.clone();
    let call = Call {
        request: number,
        attempt: 1_000_000 + number,
        route: route(&manifest, "trip.example", "POST", "/holds").unwrap(),
        backend_server: "trip-0".into(),
        address: server.address(),
        deadline,
        waited: Duration::ZERO,
    };
    CallTask { call, parts }
}
