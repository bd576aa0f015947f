//! The admin page `/explain`: the dispatcher's recorded decisions about requests, with their inputs.

use std::time::Duration;

use hyper::StatusCode;
use kingcuploft::dispatcher::explain::Query;
use kingcuploft::world::ids::RequestId;
use tokio::sync::oneshot;

use crate::message::Message;
use crate::shared::Shared;

/// How long the page waits for the dispatch thread.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers a query such as `request=ID`, `caller=NAME` or `service=NAME`, or several of them joined by `&`, with the
/// matching decisions, newest first.
pub async fn answer(shared: &Shared, query: &str) -> (StatusCode, String) {
    let query = match parse_query(shared, query) {
        Ok(query) => query,
        Err(why) => return (StatusCode::BAD_REQUEST, why),
    };
    let (sender, receiver) = oneshot::channel();
    let busy = (StatusCode::SERVICE_UNAVAILABLE, "busy\n".into());
    if shared
        .dispatch
        .try_send(Message::Explain(query, sender))
        .is_err()
    {
        return busy;
    }
    match tokio::time::timeout(ANSWER_TIMEOUT, receiver).await {
        Ok(Ok(found)) => match serde_json::to_string(&found) {
            Ok(text) => (StatusCode::OK, text + "\n"),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
        },
        _ => busy,
    }
}

fn parse_query(shared: &Shared, text: &str) -> Result<Query, String> {
    let mut query = Query::default();
    for pair in text.split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=') {
            Some(("request", id)) => query.request = Some(parse_request_id(shared, id)?),
            Some(("caller", caller)) => query.caller = Some(caller.into()),
            Some(("service", service)) => query.service = Some(service.into()),
            _ => return Err(format!("`{pair}` is none of request=, caller=, service=\n")),
        }
    }
    Ok(query)
}

/// Returns the number of a request from the id that this incarnation of this VM sent to its caller.
fn parse_request_id(shared: &Shared, id: &str) -> Result<RequestId, String> {
    let number = id.rsplit('-').next().and_then(|number| number.parse().ok());
    let known = number.filter(|&number| shared.request_name(number) == id);
    known.ok_or_else(|| format!("`{id}` is no request of this VM\n"))
}
