//! The cost of one offer, dequeue or removal with 10 to 100,000 requests and callers waiting.

use std::time::{Duration, Instant};

use divan::{Bencher, black_box};
use kingcuploft::decisions::admission::{Admission, QueuedRequest};
use kingcuploft::manifest::Service;
use kingcuploft::world::contract::Priority;

const QUEUE_LENGTHS: [u64; 3] = [10, 1_000, 100_000];

fn main() {
    divan::main();
}

fn waiting(request: u64, now: Instant) -> QueuedRequest {
    QueuedRequest {
        request,
        rule: "lookup".into(),
        priority: Priority::Interactive,
        queue_limit: u32::MAX,
        caller_share: 1.0,
        caller: format!("caller-{request}").into(),
        key: None,
        arrived: now,
        deadline: now + Duration::from_secs(3_600),
    }
}

fn filled(len: u64, now: Instant) -> Admission {
    let service = serde_json::json!({
        "name": "trip", "hosts": [], "backend_servers": [], "rules": [],
        "policy": {"admission": {"callers_remembered": 200_000}},
    });
    let service: Service = serde_json::from_value(service).expect("a service");
    let mut admission = Admission::new(&service);
    for request in 0..len {
        admission.offer(now, waiting(request, now));
    }
    admission
}

#[divan::bench(args = QUEUE_LENGTHS)]
fn offer_and_next(bencher: Bencher<'_, '_>, len: u64) {
    let now = Instant::now();
    let mut admission = filled(len, now);
    let mut request = len;
    bencher.bench_local(|| {
        request += 1;
        admission.offer(now, waiting(request, now));
        black_box(admission.next(now))
    });
}

#[divan::bench(args = QUEUE_LENGTHS)]
fn offer_and_remove(bencher: Bencher<'_, '_>, len: u64) {
    let now = Instant::now();
    let mut admission = filled(len, now);
    let mut request = len;
    bencher.bench_local(|| {
        request += 1;
        admission.offer(now, waiting(request, now));
        black_box(admission.remove(request - len / 2))
    });
}

#[divan::bench(args = QUEUE_LENGTHS)]
fn find_request_to_shed(bencher: Bencher<'_, '_>, len: u64) {
    let now = Instant::now();
    let mut admission = filled(len, now);
    bencher.bench_local(|| {
        black_box(admission.next_shed_at());
        black_box(admission.shed_one(now))
    });
}

#[divan::bench(args = QUEUE_LENGTHS)]
fn refuse_on_arrival(bencher: Bencher<'_, '_>, len: u64) {
    let now = Instant::now();
    let admission = filled(len, now);
    let mut late = waiting(len + 1, now);
    late.queue_limit = 1;
    bencher.bench_local(|| black_box(admission.check(now, &late)));
}
