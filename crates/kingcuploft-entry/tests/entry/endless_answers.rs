//! Answers of servers that have no end: they take bounded memory and time, and no other request suffers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kingcuploft::entry::vm_count::VmCount;
use kingcuploft_entry::reach;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::cut_fleet::Fleet;
use crate::endless::{self, Pace, Part};
use crate::server::{Behavior, TestServer};
use crate::testbed::{
    Answer, MEMORY_BYTES, Testbed, booking, lookup, run_test, wait_until, with_most_attempts,
};

/// How many requests are sent at the same time.
const REQUESTS: usize = 24;

/// How many servers send answers without end: together they have slots for all requests.
const ENDLESS_SERVERS: usize = 6;

/// How many attempts a lookup has: enough to meet all of these servers.
const MOST_ATTEMPTS: u32 = 8;

/// How many lookups are served before a server begins to send answers without end, so that the VM knows their usual time.
const SERVED_BEFORE: usize = 20;

/// The memory of the VM.
const VM_MEMORY_BYTES: usize = 64 << 20;

/// The most memory that answers may take together: a quarter of the VM's.
const MAX_ANSWER_BYTES: usize = VM_MEMORY_BYTES / 4;

/// The most that a lookup may take that a good server answers at once: far less than its caller waits.
const MAX_LOOKUP_TIME: Duration = Duration::from_millis(1_500);

/// The most that a lookup may take that meets several slow servers: less than its caller waits.
const MAX_SLOW_LOOKUP_TIME: Duration = Duration::from_millis(3_000);

/// How long a request takes at a server.
const WORK_TIME: Duration = Duration::from_millis(20);

/// How often each of eight callers sends a lookup.
const OVERTAKEN_ROUNDS: usize = 25;

/// The most of these lookups that may reach a server whose answers have no end: half of its share.
const MAX_OVERTAKEN_RUNS: u32 = 12;

/// The most that a booking may take: the time that its caller waits, with a margin.
const MAX_BOOKING_TIME: Duration = Duration::from_millis(4_500);

/// How many lookups are passed to another VM.
const RELAYED: usize = 12;

/// The length of a long answer, in bytes.
const LONG_ANSWER_BYTES: usize = 4 << 20;

/// Starts a VM in front of servers that send answers without end, and servers with other behaviors.
async fn testbed(part: Part, pace: Pace, others: &[Behavior]) -> Testbed {
    let endless = [Behavior::AnswerWithoutEnd(part, pace); ENDLESS_SERVERS];
    let behaviors = [&endless[..], others].concat();
    let testbed = Testbed::with_memory(&behaviors, VM_MEMORY_BYTES).await;
    let context = &testbed.vm.context;
    context.vm_count.set(VmCount::Counted(1));
    let attempts = with_most_attempts(2, MOST_ATTEMPTS);
    testbed.store.write_configuration(attempts);
    wait_until(|| context.configuration().is_some_and(|c| c.version == 2)).await;
    testbed
}

/// Sends requests at the same time; returns the answers, and how long the last of them took.
async fn ask_at_once(
    testbed: &Testbed,
    request: fn(&str) -> String,
    count: usize,
) -> (Vec<Answer>, Duration) {
    let started_at = Instant::now();
    let mut callers = Vec::new();
    for at in 0..count {
        let mut caller = testbed.caller().await;
        caller.send(&request(&format!("r{at}"))).await;
        callers.push(caller);
    }
    let mut answers = Vec::new();
    for caller in &mut callers {
        answers.push(caller.answer().await.expect("an answer"));
    }
    (answers, started_at.elapsed())
}

/// Checks that answers took no more memory than they may, give all of it back, and that each server has seen its
/// connections close.
async fn assert_bounded(testbed: &Testbed, case: &str) {
    let memory = &testbed.vm.context.answer_memory;
    assert!(memory.peak_bytes() <= MAX_ANSWER_BYTES, "{case}");
    wait_until(|| memory.reserved_bytes() == 0).await;
    let is_closed = |server: &TestServer| {
        !matches!(server.behavior.get(), Behavior::AnswerWithoutEnd(..))
            || server.cancelled.get() == server.runs.get()
    };
    wait_until(|| testbed.servers.iter().all(is_closed)).await;
}

/// Guards against a VM that runs out of memory or holds lookups since many answers come without end.
#[test]
fn lookups_that_meet_answers_without_end_are_served_by_another_server() {
    for part in Part::ALL {
        run_test(async move {
            let case = format!("{part:?}");
            let testbed = testbed(part, Pace::Fast, &[Behavior::Answer; 2]).await;
            let (answers, took) = ask_at_once(&testbed, lookup, REQUESTS).await;
            for answer in &answers {
                assert_eq!((answer.status, &*answer.body), (200, "hello"), "{case}");
            }
            assert!(took < MAX_LOOKUP_TIME, "{case}: {took:?}");
            assert_bounded(&testbed, &case).await;
        });
    }
}

/// Guards against lookups that are held until their deadline by bytes that come slowly and without end.
#[test]
fn lookups_that_meet_a_trickle_without_end_are_served_by_another_server() {
    for part in Part::ALL {
        run_test(async move {
            let case = format!("{part:?}");
            let testbed = Testbed::with(&[Behavior::Answer; 3]).await;
            for _ in 0..SERVED_BEFORE {
                testbed.ask(&lookup("before")).await;
            }
            let server = &testbed.servers[0];
            server.runs.set(0);
            server
                .behavior
                .set(Behavior::AnswerWithoutEnd(part, Pace::Trickle));
            let (answers, took) = ask_at_once(&testbed, lookup, REQUESTS).await;
            assert!(answers.iter().all(|answer| answer.status == 200), "{case}");
            assert!(took < MAX_LOOKUP_TIME, "{case}: {took:?}");
            assert!(server.runs.get() > 0, "{case}");
            assert_bounded(&testbed, &case).await;
        });
    }
}

/// Guards against lookups that are held by slow heads without end at several servers, where one more send does not help.
#[test]
fn lookups_that_meet_slow_heads_at_several_servers_are_served_by_another_server() {
    for part in [
        Part::EmptyLines,
        Part::Header,
        Part::HeaderLines,
        Part::Interim,
    ] {
        run_test(async move {
            let case = format!("{part:?}");
            let testbed = testbed(part, Pace::Trickle, &[Behavior::Answer; 2]).await;
            let (answers, took) = ask_at_once(&testbed, lookup, REQUESTS).await;
            assert!(answers.iter().all(|answer| answer.status == 200), "{case}");
            assert!(took < MAX_SLOW_LOOKUP_TIME, "{case}: {took:?}");
            assert_bounded(&testbed, &case).await;
        });
    }
}

/// Guards against a server whose slow answers without end are always overtaken by another server's, and that is sent
/// lookups as before.
#[test]
fn a_server_whose_answers_without_end_are_overtaken_gets_few_requests() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(WORK_TIME); 8]).await;
        testbed.vm.context.vm_count.set(VmCount::Counted(1));
        for _ in 0..SERVED_BEFORE {
            testbed.ask(&lookup("before")).await;
        }
        let server = &testbed.servers[0];
        server.runs.set(0);
        let behavior = Behavior::AnswerWithoutEnd(Part::Chunks, Pace::Trickle);
        server.behavior.set(behavior);
        for _ in 0..OVERTAKEN_ROUNDS {
            let (answers, _) = ask_at_once(&testbed, lookup, testbed.servers.len()).await;
            assert!(answers.iter().all(|answer| answer.status == 200));
        }
        let runs = server.runs.get();
        assert!((1..=MAX_OVERTAKEN_RUNS).contains(&runs), "{runs}");
    });
}

async fn check_bookings(part: Part, pace: Pace) {
    let case = format!("{part:?} {pace:?}");
    let testbed = testbed(part, pace, &[]).await;
    let (answers, took) = ask_at_once(&testbed, booking, REQUESTS).await;
    for (at, answer) in answers.iter().enumerate() {
        let id = format!("r{at}");
        let has_id = |server: &TestServer| {
            let received = server.received.borrow();
            let mut ids = received.iter().filter_map(|request| request.header("x-id"));
            ids.any(|of| of == id)
        };
        let runs = testbed.servers.iter().filter(|s| has_id(s)).count();
        let expected = match runs {
            0 => &[503][..],
            _ => &[502, 504],
        };
        assert!(runs <= 1, "{case}: {id} ran {runs} times");
        assert!(
            expected.contains(&answer.status),
            "{case}: {}",
            answer.status
        );
    }
    assert!(testbed.run_count() as usize > REQUESTS / 2, "{case}");
    assert!(took < MAX_BOOKING_TIME, "{case}: {took:?}");
    assert_bounded(&testbed, &case).await;
}

/// Guards against a protected request that runs twice, or is called not run, after an answer without end.
#[test]
fn a_booking_that_meets_an_answer_without_end_runs_once_and_is_not_called_unrun() {
    for part in Part::ALL {
        run_test(check_bookings(part, Pace::Fast));
    }
    for part in [Part::Interim, Part::Chunks] {
        run_test(check_bookings(part, Pace::Trickle));
    }
}

/// Guards against probes whose answers have no end: they take memory, or keep lookups from good servers.
#[test]
fn probes_that_meet_answers_without_end_hold_no_lookup() {
    for part in Part::ALL {
        for pace in [Pace::Fast, Pace::Trickle] {
            run_test(async move {
                let case = format!("{part:?} {pace:?}");
                let testbed = Testbed::with(&[Behavior::Answer; ENDLESS_SERVERS + 1]).await;
                testbed.vm.context.vm_count.set(VmCount::Counted(1));
                let endless = &testbed.servers[..ENDLESS_SERVERS];
                for server in endless {
                    server.endless_probes.set(Some((part, pace)));
                }
                let (answers, took) = ask_at_once(&testbed, lookup, REQUESTS).await;
                assert!(answers.iter().all(|answer| answer.status == 200), "{case}");
                assert!(took < MAX_LOOKUP_TIME, "{case}: {took:?}");
                let memory = &testbed.vm.context.answer_memory;
                assert!(memory.peak_bytes() <= MEMORY_BYTES / 4, "{case}");
                let is_closed =
                    |server: &TestServer| server.cancelled.get() >= server.probe_count.get();
                wait_until(|| endless.iter().all(is_closed)).await;
            });
        }
    }
}

/// Answers each connection without end.
async fn start_endless_vm(part: Part, pace: Pace) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let _ = stream.read(&mut [0; 4096]).await;
                endless::send(&mut stream, "x-signed: s\r\n", part, pace).await;
            });
        }
    });
    address
}

/// Guards against answers without end of another VM, to which requests are passed: they take memory, or hold requests.
#[test]
fn answers_without_end_of_another_vm_are_bounded() {
    for (part, pace) in [
        (Part::Garbage, Pace::Fast),
        (Part::Interim, Pace::Fast),
        (Part::Chunks, Pace::Fast),
        (Part::UntilClose, Pace::Fast),
        (Part::Interim, Pace::Trickle),
        (Part::Chunks, Pace::Trickle),
    ] {
        run_test(async move {
            let case = format!("{part:?} {pace:?}");
            let fleet = Fleet::of(&["thun"; 2], &[Behavior::Answer; 3]).await;
            fleet.cut_and_notice(0).await;
            let (context, service) = (&fleet.vms[0].context, "trip".into());
            let true_vm = fleet.peer_address(1);
            let endless_vm = start_endless_vm(part, pace).await;
            for (request, truthful) in [
                (booking("b"), &[502, 504][..]),
                (lookup("l"), &[200, 502, 504]),
            ] {
                reach::handle_reply(context, &service, false, true_vm);
                reach::handle_reply(context, &service, true, endless_vm);
                let started_at = Instant::now();
                let status = fleet.ask(0, &request).await.status;
                assert!(truthful.contains(&status), "{case}: {status}");
                let took = started_at.elapsed();
                assert!(took < MAX_BOOKING_TIME, "{case}: {took:?}");
            }
            let memory = &context.answer_memory;
            assert!(memory.peak_bytes() <= context.settings.memory_bytes / 4);
            wait_until(|| memory.reserved_bytes() == 0).await;
        });
    }
}

/// Guards against lookups that another VM serves late, and bookings that it runs twice, as servers answer without end.
#[test]
fn requests_served_by_another_vm_are_bounded_as_this_vm_s_own() {
    for part in [Part::Interim, Part::Chunks, Part::Trailer, Part::UntilClose] {
        run_test(async move {
            let fleet = Fleet::of(&["thun"; 2], &[Behavior::Answer; 4]).await;
            fleet.cut_and_notice(0).await;
            let behavior = Behavior::AnswerWithoutEnd(part, Pace::Fast);
            fleet.servers[0].behavior.set(behavior);
            for at in 0..RELAYED {
                let started_at = Instant::now();
                let status = fleet.ask(0, &lookup(&format!("l{at}"))).await.status;
                assert_eq!(status, 200, "{part:?}");
                let took = started_at.elapsed();
                assert!(took < MAX_LOOKUP_TIME, "{part:?}: {took:?}");
            }
            for server in &fleet.servers {
                server.behavior.set(behavior);
            }
            let status = fleet.ask(0, &booking("b")).await.status;
            assert!([502, 504].contains(&status), "{part:?}: {status}");
            assert_eq!(fleet.received("b").len(), 1, "{part:?}");
            for vm in &fleet.vms {
                let peak_bytes = vm.context.answer_memory.peak_bytes();
                assert!(peak_bytes <= vm.context.settings.memory_bytes / 4);
            }
        });
    }
}

/// Guards against a long honest answer that is given up, alone or beside answers without end.
#[test]
fn a_long_answer_on_a_slow_link_arrives_beside_answers_without_end() {
    run_test(async {
        let long = Behavior::AnswerAtLength(LONG_ANSWER_BYTES);
        let alone = Testbed::with_memory(&[long], VM_MEMORY_BYTES).await;
        let answer = alone.ask(&lookup("alone")).await;
        assert_eq!((answer.status, answer.body.len()), (200, LONG_ANSWER_BYTES));
        let testbed = testbed(Part::Chunks, Pace::Fast, &[long]).await;
        let mut bookings = Vec::new();
        for at in 0..REQUESTS {
            let mut caller = testbed.caller().await;
            caller.send(&booking(&format!("r{at}"))).await;
            bookings.push(caller);
        }
        let answer = testbed.ask(&lookup("long")).await;
        assert_eq!((answer.status, answer.body.len()), (200, LONG_ANSWER_BYTES));
        assert_bounded(&testbed, "long").await;
    });
}
