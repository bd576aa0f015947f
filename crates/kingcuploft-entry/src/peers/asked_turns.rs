//! The turns that this VM has asked others for and that are not answered.

use std::cell::{Cell, RefCell};

use kingcuploft::entry::server_limit::Turn;
use kingcuploft::utils::HashMap;
use tokio::sync::oneshot;

/// Tells an answer from others.
pub type AskId = u64;

/// The turns that have been asked for.
#[derive(Debug, Default)]
pub struct AskedTurns {
    last: Cell<AskId>,
    open: RefCell<HashMap<AskId, oneshot::Sender<Turn>>>,
}

impl AskedTurns {
    /// Begins to wait for an answer.
    pub fn open(&self) -> (AskId, oneshot::Receiver<Turn>) {
        let (sender, answer) = oneshot::channel();
        let ask = self.last.get() + 1;
        self.last.set(ask);
        self.open.borrow_mut().insert(ask, sender);
        (ask, answer)
    }

    /// Takes an answer in.
    pub fn answered(&self, ask: AskId, turn: Turn) {
        if let Some(waits) = self.open.borrow_mut().remove(&ask) {
            let _ = waits.send(turn);
        }
    }

    /// Waits no longer for an answer.
    pub fn close(&self, ask: AskId) {
        self.open.borrow_mut().remove(&ask);
    }
}
