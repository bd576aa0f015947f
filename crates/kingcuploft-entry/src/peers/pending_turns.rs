//! The turns at limited servers that this VM has requested from others and that are not answered yet.

use std::cell::{Cell, RefCell};

use kingcuploft::entry::server_limit::Turn;
use kingcuploft::utils::HashMap;
use tokio::sync::oneshot;

/// Matches a reply to its request.
pub type TurnRequestId = u64;

/// The requests for turns that wait for a reply.
#[derive(Debug, Default)]
pub struct PendingTurns {
    last_id: Cell<TurnRequestId>,
    waiting: RefCell<HashMap<TurnRequestId, oneshot::Sender<Turn>>>,
}

impl PendingTurns {
    /// Registers a request; returns its id and the receiver of its reply.
    pub fn register(&self) -> (TurnRequestId, oneshot::Receiver<Turn>) {
        let (sender, answer) = oneshot::channel();
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.waiting.borrow_mut().insert(id, sender);
        (id, answer)
    }

    /// Completes a request with its reply.
    pub fn complete(&self, id: TurnRequestId, turn: Turn) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
            let _ = sender.send(turn);
        }
    }

    /// Removes a request that is no longer waited for.
    pub fn cancel(&self, id: TurnRequestId) {
        self.waiting.borrow_mut().remove(&id);
    }
}
