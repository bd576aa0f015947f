//! Requests that the exit of a stopping VM cuts, or whose callers can't know what became of them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft_entry::edge::connection;
use kingcuploft_entry::network::{Connecting, Network, Tcp};
use kingcuploft_entry::run;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::server::Behavior;
use crate::testbed::{
    Answer, Caller, HEADER_NAMES, Testbed, assume_large_fleet, booking, entry, lookup,
    run_in_virtual_time, settings, start_servers, wait_until,
};

/// How long a lookup takes at the servers of these tests.
const WORK_TIME: Duration = Duration::from_millis(400);

/// How long a booking takes at a server that is quick.
const SHORT_WORK_TIME: Duration = Duration::from_millis(4);

/// After how many requests the VM knows how long they usually take.
const USUAL_REQUESTS: usize = 200;

/// How many bytes a caller's connection holds that its caller has not read.
const BUFFER_BYTES: usize = 4096;

/// Returns a booking whose caller waits so long that the exit of the VM comes first.
fn long_booking(id: &str) -> String {
    booking(id).replace("x-deadline-ms: 4000", "x-deadline-ms: 5000")
}

/// Collects the answers that a caller gets.
fn collect_answers(
    mut caller: Caller<impl tokio::io::AsyncRead + Unpin + 'static>,
) -> Rc<RefCell<Vec<Answer>>> {
    let answers = Rc::new(RefCell::new(Vec::new()));
    let collected = answers.clone();
    tokio::task::spawn_local(async move {
        while let Some(answer) = caller.answer().await {
            collected.borrow_mut().push(answer);
        }
    });
    answers
}

/// Guards against an exit that cuts an answer that is ready, as it waits for the one ahead of it.
#[test]
fn an_answer_that_is_ready_behind_one_at_work_is_written_before_the_exit() {
    run_in_virtual_time(async {
        let testbed = Testbed::with(&[Behavior::Hang]).await;
        let server = testbed.servers[0].clone();
        let (answers, mut requests) = testbed.caller().await.split();
        let answers = collect_answers(answers);
        let stopping = tokio::task::spawn_local(testbed.vm.stop());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let at_work = long_booking("at-work");
        requests.write_all(at_work.as_bytes()).await.unwrap();
        wait_until(|| server.runs.get() == 1).await;
        server.behavior.set(Behavior::Answer);
        let ready = long_booking("ready");
        requests.write_all(ready.as_bytes()).await.unwrap();
        wait_until(|| server.runs.get() == 2).await;
        stopping.await.unwrap();
        let answers = answers.borrow();
        let own = answers.iter().find(|answer| answer.has("x-id: ready"));
        assert_eq!(own.map(|answer| answer.status), Some(200), "{answers:?}");
    });
}

/// Guards against an exit that cuts a request whose last bytes have come so late that no server had time for it.
#[test]
fn a_request_whose_body_comes_late_is_not_cut_by_the_exit() {
    run_in_virtual_time(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(4 * WORK_TIME)]).await;
        let context = testbed.vm.context.clone();
        let (answers, mut requests) = testbed.caller().await.split();
        let answers = collect_answers(answers);
        let stopping = tokio::task::spawn_local(testbed.vm.stop());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let booking = long_booking("late");
        let (head, body) = booking.split_at(booking.len() - 3);
        requests.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        requests.write_all(body.as_bytes()).await.unwrap();
        stopping.await.unwrap();
        assert_eq!(context.unanswered_requests.get(), 0, "cut by the exit");
        assert_eq!(answers.borrow().len(), 1);
    });
}

/// Guards against a booking whose caller can't know that it was not read, as the answer ahead of it does not announce the close.
#[test]
fn an_answer_ahead_of_a_booking_that_expects_to_continue_announces_the_close() {
    run_in_virtual_time(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(WORK_TIME)]).await;
        let context = testbed.vm.context.clone();
        let (mut caller, end) = tokio::io::duplex(BUFFER_BYTES);
        tokio::task::spawn_local(connection::serve(context.clone(), end));
        caller.write_all(lookup("ahead").as_bytes()).await.unwrap();
        wait_until(|| testbed.run_count() == 1).await;
        let booking = booking("behind").replace("x-id", "Expect: 100-continue\r\nx-id");
        let (head, body) = booking.split_at(booking.len() - 3);
        caller.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep(WORK_TIME / 4).await;
        context.begin_shutdown(std::time::Instant::now() + Duration::from_secs(5));
        context.shutdown.close_connections();
        caller.write_all(body.as_bytes()).await.unwrap();
        let mut read = String::new();
        caller.read_to_string(&mut read).await.unwrap();
        assert_eq!(testbed.run_count(), 1, "{read}");
        assert!(read.contains("Connection: close"), "{read}");
    });
}

/// A network on which connections take their time to open.
#[derive(Debug)]
struct SlowToConnect(Duration);

impl Network for SlowToConnect {
    fn connect(&self, address: SocketAddr) -> Connecting<'_> {
        let delay = self.0;
        Box::pin(async move {
            tokio::time::sleep(delay).await;
            Tcp.connect(address).await
        })
    }
}

/// Guards against a request that is sent to a server after the VM itself has answered it, and runs unseen.
#[test]
fn a_request_that_a_stopping_vm_has_answered_itself_is_not_sent() {
    run_in_virtual_time(async {
        let (store, servers) = start_servers(&[Behavior::Answer]).await;
        let network = Rc::new(SlowToConnect(Duration::from_millis(250)));
        let settings = settings("vm");
        let vm = run::start_with_network(network, settings, HEADER_NAMES, store.clone());
        assume_large_fleet(&vm);
        wait_until(|| vm.context.is_ready()).await;
        let mut caller = Caller::connect(vm.caller_address).await;
        for at in 0..USUAL_REQUESTS {
            caller.send(&long_booking(&format!("usual-{at}"))).await;
            assert_eq!(caller.answer().await.unwrap().status, 200);
        }
        let context = vm.context.clone();
        store.0.remove_backend_server("s0");
        wait_until(|| context.upstream("s0").is_none()).await;
        let stopping = tokio::task::spawn_local(vm.stop());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (answers, mut requests) = caller.split();
        let answers = collect_answers(answers);
        let waits = long_booking("waits");
        requests.write_all(waits.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(3_490)).await;
        store.0.write_backend_server(entry(0, &servers[0]));
        stopping.await.unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(
            servers[0].runs.get() as usize,
            USUAL_REQUESTS,
            "{answers:?}"
        );
    });
}

/// Guards against a request that the exit cuts between two of its searches for a server, where work usually takes less time than
/// lies between these.
#[test]
fn a_request_of_short_work_that_waits_for_a_server_is_refused_before_the_exit() {
    run_in_virtual_time(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(SHORT_WORK_TIME)]).await;
        for at in 0..USUAL_REQUESTS {
            testbed.ask(&long_booking(&format!("usual-{at}"))).await;
        }
        let context = testbed.vm.context.clone();
        testbed.store.remove_backend_server("s0");
        wait_until(|| context.upstream("s0").is_none()).await;
        let (answers, mut requests) = testbed.caller().await.split();
        let answers = collect_answers(answers);
        let stopping = tokio::task::spawn_local(testbed.vm.stop());
        // The searches are repeated at times of which none is the exit's.
        tokio::time::sleep(Duration::from_millis(2_010)).await;
        let waits = long_booking("waits");
        requests.write_all(waits.as_bytes()).await.unwrap();
        stopping.await.unwrap();
        assert_eq!(context.unanswered_requests.get(), 0, "cut by the exit");
        assert_eq!(answers.borrow()[0].status, 503);
    });
}
