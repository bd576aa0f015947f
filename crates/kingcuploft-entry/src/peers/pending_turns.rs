//! The turns that this VM has asked others for and that are not answered.

use std::cell::{Cell, RefCell};

use kingcuploft::entry::server_limit::Turn;
use kingcuploft::utils::HashMap;
use tokio::sync::oneshot;

/// Tells an answer from others.
pub type TurnRequestId = u64;

/// The turns that have been asked for.
#[derive(Debug, Default)]
pub struct PendingTurns {
    last_id: Cell<TurnRequestId>,
    waiting: RefCell<HashMap<TurnRequestId, oneshot::Sender<Turn>>>,
}

impl PendingTurns {
    /// Begins to wait for an answer.
    pub fn register(&self) -> (TurnRequestId, oneshot::Receiver<Turn>) {
        let (sender, answer) = oneshot::channel();
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.waiting.borrow_mut().insert(id, sender);
        (id, answer)
    }

    /// Takes an answer in.
    pub fn complete(&self, id: TurnRequestId, turn: Turn) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
            let _ = sender.send(turn);
        }
    }

    /// Waits no longer for an answer.
    pub fn cancel(&self, id: TurnRequestId) {
        self.waiting.borrow_mut().remove(&id);
    }
}
