//! Waits for answers that may take long to arrive.

use std::future::Future;
use std::time::{Duration, Instant};

use crate::clock;

/// Waits for an answer until `timeout` is over, and beyond it as long as bytes of the answer keep arriving with pauses of
/// `max_pause` at most. Returns `None` if the answer did not arrive.
pub async fn receive_while_arriving<T>(
    answer: impl Future<Output = T>,
    timeout: Duration,
    max_pause: Duration,
    last_arrival: impl Fn() -> Option<Instant>,
) -> Option<T> {
    let mut answer = std::pin::pin!(answer);
    let mut until = clock::after(clock::now(), timeout);
    loop {
        if let Ok(answer) = tokio::time::timeout_at(until.into(), &mut answer).await {
            return Some(answer);
        }
        let limit = last_arrival().map(|at| clock::after(at, max_pause));
        until = limit.filter(|limit| *limit > clock::now())?;
    }
}
