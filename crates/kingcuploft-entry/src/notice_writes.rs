//! What waits to be written to the platform's store, and the way to whoever writes it.

use std::cell::OnceCell;
use std::time::Duration;

use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::notice_id::NoticeId;
use tokio::sync::{mpsc, oneshot};

/// How many writes may wait; what is more is known to this VM alone.
const MAX_QUEUED_WRITES: usize = 256;

/// How long a request waits for leave to be tried.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);

/// What is written to the store.
#[derive(Debug)]
pub enum NoticeWrite {
    /// What was seen.
    Create(Notice),
    /// Whoever writes it first is told so, and may act on it.
    Claim(Notice, oneshot::Sender<bool>),
    /// It holds no longer.
    Withdraw(NoticeId),
}

/// The way to whoever writes notices to the store.
#[derive(Debug, Default)]
pub struct NoticeWriteQueue(OnceCell<mpsc::Sender<NoticeWrite>>);

impl NoticeWriteQueue {
    /// Opens the way; returns what the writer takes from it.
    pub fn open_queue(&self) -> mpsc::Receiver<NoticeWrite> {
        let (writes, waiting) = mpsc::channel(MAX_QUEUED_WRITES);
        let _ = self.0.set(writes);
        waiting
    }

    /// Has something written.
    pub fn send(&self, write: NoticeWrite) {
        let Some(writes) = self.0.get() else {
            return;
        };
        if writes.try_send(write).is_err() {
            tracing::warn!(event = "notice_left_out");
        }
    }

    /// Asks for leave to try a request; returns whether this VM may.
    pub async fn claim(&self, notice: Notice) -> bool {
        let (claimed, answer) = oneshot::channel();
        self.send(NoticeWrite::Claim(notice, claimed));
        let answer = tokio::time::timeout(CLAIM_TIMEOUT, answer).await;
        answer.is_ok_and(|claimed| claimed.unwrap_or(false))
    }
}
