//! The queue of notices that wait to be written to the platform's store.

use std::cell::OnceCell;
use std::time::Duration;

use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::notice_id::NoticeId;
use tokio::sync::{mpsc, oneshot};

/// The most writes that may wait in the queue; what is beyond stays known to this VM alone.
const MAX_QUEUED_WRITES: usize = 256;

/// How long a quarantined request waits for the claim on its trial.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);

/// A write to the store.
#[derive(Debug)]
pub enum NoticeWrite {
    /// Creates a notice.
    Create(Notice),
    /// Creates a notice; the sender gets `true` if this VM created it first, and so may act on it.
    Claim(Notice, oneshot::Sender<bool>),
    /// Deletes a notice that no longer holds.
    Withdraw(NoticeId),
}

/// The sending side of the queue, once it is open.
#[derive(Debug, Default)]
pub struct NoticeWriteQueue(OnceCell<mpsc::Sender<NoticeWrite>>);

impl NoticeWriteQueue {
    /// Opens the queue; returns the receiving side for the writer.
    pub fn open_queue(&self) -> mpsc::Receiver<NoticeWrite> {
        let (writes, waiting) = mpsc::channel(MAX_QUEUED_WRITES);
        let _ = self.0.set(writes);
        waiting
    }

    /// Queues a write, or drops and logs it if the queue is full.
    pub fn send(&self, write: NoticeWrite) {
        let Some(writes) = self.0.get() else {
            return;
        };
        if writes.try_send(write).is_err() {
            tracing::warn!(event = "notice_left_out");
        }
    }

    /// Claims the trial of a request by creating its notice; returns whether this VM was the first.
    pub async fn claim(&self, notice: Notice) -> bool {
        let (claimed, answer) = oneshot::channel();
        self.send(NoticeWrite::Claim(notice, claimed));
        let answer = tokio::time::timeout(CLAIM_TIMEOUT, answer).await;
        answer.is_ok_and(|claimed| claimed.unwrap_or(false))
    }
}
