//! Accepts connections up to the limit, and closes the port while the faults refuse connections.

use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};

use super::connection;
use super::state::State;

/// Accepts connections until the server stops.
pub(super) async fn accept(state: Arc<State>, listener: TcpListener) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut faults = state.faults.subscribe();
    let mut open = Some(listener);
    loop {
        let refuse = faults.borrow_and_update().refuse_connections;
        match (&open, refuse) {
            (Some(_), true) => open = None,
            (None, false) => open = TcpListener::bind(address).await.ok(),
            _ => {}
        }
        let accepted = async {
            match &open {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accepted => {
                if let Ok((stream, _)) = accepted {
                    serve_connection(&state, stream);
                }
            }
            changed = faults.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Serves a connection in a task of its own; beyond the limit of open connections, closes it at once.
fn serve_connection(state: &Arc<State>, stream: TcpStream) {
    let limit = state.work.connections as u64;
    let full = state.counts().open_connections >= limit;
    state.count(|counts| {
        counts.connections += 1;
        counts.refused_connections += u64::from(full);
        counts.open_connections += u64::from(!full);
        counts.peak_connections = counts.peak_connections.max(counts.open_connections);
    });
    if full {
        return;
    }
    drop(stream.set_nodelay(true));
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let mut closing = state.closing.subscribe();
        tokio::select! {
            () = connection::serve(&state, stream) => {}
            _ = closing.changed() => {}
        }
        state.count(|counts| counts.open_connections -= 1);
    });
}
