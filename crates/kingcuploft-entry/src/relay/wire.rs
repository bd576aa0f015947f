//! What two VMs tell each other of a relayed request, in one header each way. Neither header reaches a caller or a server.

use kingcuploft::world::ids::{BackendServerName, ServiceName, WorkspaceName};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::ascii_json::to_ascii;
use crate::http::headers::Headers;

/// The name of the header, both of the request and of the answer.
pub const RELAY_HEADER: &str = "Kingcuploft-Relay";

/// What the first VM tells of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedRequest {
    /// The service that the first VM has chosen for it.
    pub service: ServiceName,
    /// The version of the configuration by which it was chosen.
    pub configuration: u64,
    /// How long the caller has waited since its first attempt, in milliseconds.
    pub waited_ms: u64,
    /// Whether the caller made an earlier attempt.
    pub is_caller_retry: bool,
    /// How many attempts may still run.
    pub attempts: u32,
    /// The workspace by which it comes, judged by the first VM; its key is not told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
}

/// What the other VM tells of its answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedAnswer {
    /// The server whose answer it is; `None` for an answer of the VM itself.
    pub server: Option<BackendServerName>,
    /// How many attempts have reached a server, refused ones included.
    pub arrived: u32,
    /// How many attempts may have run.
    pub ran: u32,
}

/// Encodes the value of the header, in visible ASCII: JSON may hold characters that a header can't.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    // Structs of names and numbers always have a JSON form.
    let json = serde_json::to_string(value).unwrap_or_default();
    to_ascii(&json).into_owned().into_bytes()
}

/// Decodes the value of the header; returns `None` if it is missing or can't be decoded.
pub fn decode<T: DeserializeOwned>(headers: &Headers) -> Option<T> {
    serde_json::from_str(headers.get(RELAY_HEADER)?).ok()
}
