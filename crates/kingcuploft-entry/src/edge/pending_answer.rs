//! The answer that is due to one request of a connection, from the reading of the request until the answer is written.

use std::rc::Rc;

use kingcuploft::entry::shutdown::ShutdownPhase;
use tokio::sync::oneshot;

use super::answer::Answer;
use super::request::Request;
use crate::context::Context;

/// What an answer must know of its request.
#[derive(Debug, Default)]
pub(super) struct AnsweredRequest {
    id_bytes: Option<Vec<u8>>,
    id: Option<String>,
    is_head: bool,
}

impl AnsweredRequest {
    pub(super) fn of(request: &Request) -> Self {
        Self {
            id_bytes: request.id_bytes.clone(),
            id: request.id.clone(),
            is_head: request.head.method == "HEAD",
        }
    }
}

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
    request: AnsweredRequest,
    receiver: oneshot::Receiver<Answer>,
    progress: Progress,
}

impl PendingAnswer {
    /// Returns the answer that will be sent through `receiver`, to this request.
    pub(super) fn new(
        context: &Rc<Context>,
        request: AnsweredRequest,
        receiver: oneshot::Receiver<Answer>,
    ) -> Self {
        Self {
            context: context.clone(),
            request,
            receiver,
            progress: Progress::Awaited,
        }
    }

    /// Waits for the answer, which is written next; `None` if the task that serves the request ended without one. At the exit
    /// of the process this VM answers itself, so that the answers behind this one are written.
    pub(super) async fn receive(&mut self) -> Option<Answer> {
        let context = self.context.clone();
        let served = tokio::select! {
            biased;
            answer = &mut self.receiver => Some(answer.ok()),
            () = context.shutdown.exiting() => None,
        };
        let answer = served.unwrap_or_else(|| Some(self.answer_at_exit()));
        self.progress = Progress::BeingWritten;
        answer
    }

    fn answer_at_exit(&mut self) -> Answer {
        self.receiver.close();
        let names = &self.context.wire_names;
        Answer::of_exiting_vm(
            names,
            self.request.id_bytes.as_deref(),
            self.request.is_head,
        )
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
                request = self.request.id,
                is_begun
            );
        }
    }
}
