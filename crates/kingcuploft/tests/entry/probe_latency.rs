use std::time::Duration;

use kingcuploft::entry::probe_latency::ProbeLatency;

fn usual_after(answers_ms: impl Iterator<Item = u64>) -> Duration {
    let mut latency = ProbeLatency::default();
    answers_ms.for_each(|ms| latency.record(Duration::from_millis(ms)));
    latency.usual()
}

/// Guards against a small VM that takes servers for silent while it has not yet read their answers.
#[test]
fn a_slow_vm_waits_as_long_as_answers_take_it() {
    assert_eq!(ProbeLatency::default().usual(), Duration::ZERO);
    let usual = usual_after([8, 12].into_iter().cycle().take(200));
    assert!((12..=16).contains(&usual.as_millis()), "{usual:?}");
}

/// Guards against requests that wait for answers that take longer than any other way.
#[test]
fn no_vm_waits_long_for_servers_that_answer_late() {
    assert!(usual_after([1_500; 50].into_iter()) <= Duration::from_millis(25));
}
