//! The long-lived tasks of a VM. One that panics is begun anew, so that the VM does not go on serving without it.

use std::future::{Future, poll_fn};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context as TaskContext, Poll};
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::context::Context;

/// The pause before a duty is begun anew for the first time; it doubles with each further time.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause: a duty that meets the same fault each time costs little then.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// A duty has panicked.
struct Panicked;

/// Starts a duty in the current `LocalSet`.
pub(crate) fn start<F: Future<Output = ()> + 'static>(
    context: &Rc<Context>,
    duty: &'static str,
    begin: impl Fn() -> F + 'static,
) -> JoinHandle<()> {
    tokio::task::spawn_local(run(context.clone(), duty, begin))
}

/// Runs a duty until it ends, and begins it anew each time it panics.
pub(crate) async fn run<F: Future<Output = ()>>(
    context: Rc<Context>,
    duty: &'static str,
    begin: impl Fn() -> F,
) {
    let mut pause = FIRST_PAUSE;
    while let Err(Panicked) = run_until_end(begin()).await {
        context.metrics.count_duty_failed(duty);
        let pause_ms = pause.as_millis() as u64;
        tracing::error!(event = "duty_failed", duty, pause_ms);
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

async fn run_until_end(duty: impl Future<Output = ()>) -> Result<(), Panicked> {
    let mut duty = Box::pin(duty);
    poll_fn(|task| poll_caught(duty.as_mut(), task)).await
}

fn poll_caught(
    duty: Pin<&mut impl Future<Output = ()>>,
    task: &mut TaskContext<'_>,
) -> Poll<Result<(), Panicked>> {
    match catch_unwind(AssertUnwindSafe(|| duty.poll(task))) {
        Ok(Poll::Pending) => Poll::Pending,
        Ok(Poll::Ready(())) => Poll::Ready(Ok(())),
        Err(_) => Poll::Ready(Err(Panicked)),
    }
}
