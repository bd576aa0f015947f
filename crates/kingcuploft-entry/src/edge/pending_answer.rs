//! The answer that is due to one request of a connection, from the reading of the request until the answer is written.

use std::rc::Rc;

use kingcuploft::entry::shutdown::ShutdownPhase;
use tokio::sync::oneshot;

use super::answer::Answer;
use crate::context::Context;

/// How far an answer has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// The request is being served, or its answer waits for those ahead of it.
    Awaited,
    /// The answer is taken to be written.
    BeingWritten,
    /// The connection has taken all its bytes.
    Written,
}

/// An answer that is due. One that is ready and unwritten at the exit of the process is logged.
pub(super) struct PendingAnswer {
    context: Rc<Context>,
    request: Option<String>,
    receiver: oneshot::Receiver<Answer>,
    progress: Progress,
}

impl PendingAnswer {
    /// Returns the answer that will be sent through `receiver`, to the request with this id.
    pub(super) fn new(
        context: &Rc<Context>,
        request: Option<String>,
        receiver: oneshot::Receiver<Answer>,
    ) -> Self {
        Self {
            context: context.clone(),
            request,
            receiver,
            progress: Progress::Awaited,
        }
    }

    /// Waits for the answer, which is written next; `None` if the task that serves the request ended without one.
    pub(super) async fn receive(&mut self) -> Option<Answer> {
        let answer = (&mut self.receiver).await.ok();
        self.progress = Progress::BeingWritten;
        answer
    }

    /// Records that the answer is written.
    pub(super) fn written(mut self) {
        self.progress = Progress::Written;
    }

    fn is_ready_and_unwritten(&mut self) -> bool {
        match self.progress {
            Progress::Awaited => self.receiver.try_recv().is_ok(),
            Progress::BeingWritten => true,
            Progress::Written => false,
        }
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        let exits = self.context.shutdown.phase() == ShutdownPhase::Ended;
        if exits && self.is_ready_and_unwritten() {
            let is_begun = self.progress == Progress::BeingWritten;
            tracing::warn!(
                event = "answer_cut_by_exit",
                request = self.request,
                is_begun
            );
        }
    }
}
