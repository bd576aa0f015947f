//! Writes the answers of one caller's connection.

use std::rc::Rc;

use tokio::io::{AsyncWrite, AsyncWriteExt, WriteHalf};
use tokio::sync::mpsc;

use super::connection_state::ConnectionState;
use super::pending_answer::PendingAnswer;
use crate::context::Context;

/// Writes answers in the order of their requests.
pub(super) async fn write_answers<S: AsyncWrite>(
    context: Rc<Context>,
    mut writer: WriteHalf<S>,
    mut queue: mpsc::Receiver<PendingAnswer>,
    state: Rc<ConnectionState>,
) {
    while let Some(mut pending) = queue.recv().await {
        let Some(answer) = pending.receive().await else {
            break;
        };
        if answer.is_interim() {
            if answer.write_to(&mut writer, false).await.is_err() {
                return;
            }
            pending.written();
            continue;
        }
        let is_last = state.unanswered() == 1;
        let must_close =
            answer.close || (is_last && (state.closing.get() || context.shutdown.is_stopping()));
        if must_close {
            state.closing.set(true);
        }
        if answer.write_to(&mut writer, must_close).await.is_err() {
            return;
        }
        pending.written();
        state.request_finished();
        if must_close {
            break;
        }
    }
    let _ = writer.shutdown().await;
    state.close();
}
