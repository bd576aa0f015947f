//! The client of one VM's admin port.

use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::Agent;

/// How long a VM may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 32 * 1024 * 1024;

/// Why a VM did not answer a request as expected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AdminError {
    /// There was no complete answer.
    #[error("no answer: {0}")]
    Unreachable(String),
    /// The VM refused the request, or its answer is not readable.
    #[error("refused with status {status}: {why}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The VM's message.
        why: String,
    },
}

/// The client of one VM's admin port.
#[derive(Clone, Debug)]
pub struct AdminClient {
    address: String,
    token: Option<String>,
    agent: Agent,
}

impl AdminClient {
    /// Builds the client of the admin port at `address`.
    pub fn new(address: &str, token: Option<String>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(ANSWER_TIMEOUT))
            .build();
        Self {
            address: address.into(),
            token,
            agent: config.into(),
        }
    }

    /// Returns the address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// Returns [`AdminError`] if the VM does not answer or refuses.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminError> {
        let request = self.agent.get(format!("http://{}{path}", self.address));
        let request = match &self.token {
            Some(token) => request.header("authorization", format!("Bearer {token}")),
            None => request,
        };
        read(request.call())
    }

    /// Posts a body to a page.
    ///
    /// # Errors
    ///
    /// Returns [`AdminError`] if the VM does not answer or refuses.
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &str) -> Result<T, AdminError> {
        let request = self.agent.post(format!("http://{}{path}", self.address));
        let request = match &self.token {
            Some(token) => request.header("authorization", format!("Bearer {token}")),
            None => request,
        };
        read(request.send(body))
    }
}

fn read<T: DeserializeOwned>(
    answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<T, AdminError> {
    let unreachable = |error: ureq::Error| AdminError::Unreachable(error.to_string());
    let mut answer = answer.map_err(unreachable)?;
    let status = answer.status().as_u16();
    let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    let body = body.read_to_string().map_err(unreachable)?;
    if status != 200 {
        let why = body.trim().to_owned();
        return Err(AdminError::Refused { status, why });
    }
    serde_json::from_str(&body).map_err(|error| AdminError::Refused {
        status,
        why: format!("the answer is not understood: {error}"),
    })
}
