//! The object API over HTTP.

use std::time::Duration;

use ureq::Agent;
use ureq::http::StatusCode;

use crate::{Changes, Expect, ListedVm, Object, ObjectStore, StoreError, Version};

/// How long one call may take, a watch's wait apart.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the object API.
#[derive(Debug)]
pub struct Client {
    agent: Agent,
    base: String,
}

impl Client {
    /// Builds a client of the API at `address`, as `host:port`.
    pub fn new(address: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            base: format!("http://{address}/v1"),
        }
    }

    fn read<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, StoreError> {
        let request = self.agent.get(format!("{}/{path}", self.base)).config();
        let request = request.timeout_global(Some(timeout)).build();
        let mut response = request.call().map_err(silent)?;
        match response.status() {
            StatusCode::OK => response.body_mut().read_json().map_err(silent),
            StatusCode::GONE => Err(StoreError::Lapsed),
            status => Err(StoreError::Refused(status.as_u16())),
        }
    }
}

impl ObjectStore for Client {
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        match self.read(&format!("objects/{key}"), CALL_TIMEOUT) {
            Ok(object) => Ok(Some(object)),
            Err(StoreError::Refused(404)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn put(&self, key: &str, value: &str, expect: Expect) -> Result<Version, StoreError> {
        let request = self.agent.put(format!("{}/objects/{key}", self.base));
        let request = match expect {
            Expect::Absent => request.header("if-none-match", "*"),
            Expect::Version(version) => request.header("if-match", version.to_string()),
        };
        let response = request.send(value).map_err(silent)?;
        written(response)
    }

    fn delete(&self, key: &str, version: Version) -> Result<(), StoreError> {
        let request = self.agent.delete(format!("{}/objects/{key}", self.base));
        let request = request.header("if-match", version.to_string());
        let response = request.call().map_err(silent)?;
        written(response).map(|_| ())
    }

    fn list(&self, prefix: &str) -> Result<Changes, StoreError> {
        self.read(&format!("objects?prefix={prefix}"), CALL_TIMEOUT)
    }

    fn watch(&self, prefix: &str, after: Version, wait: Duration) -> Result<Changes, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        self.read(&path, wait + CALL_TIMEOUT)
    }

    fn vms(&self) -> Result<Vec<ListedVm>, StoreError> {
        self.read("vms", CALL_TIMEOUT)
    }
}

/// The answer to a write: the version written, or the version that stood in the way.
#[derive(serde::Deserialize)]
struct Written {
    version: Option<Version>,
}

fn written(mut response: ureq::http::Response<ureq::Body>) -> Result<Version, StoreError> {
    let status = response.status();
    match status {
        StatusCode::OK | StatusCode::PRECONDITION_FAILED => {}
        _ => return Err(StoreError::Refused(status.as_u16())),
    }
    let written: Written = response.body_mut().read_json().map_err(silent)?;
    match (status, written.version) {
        (StatusCode::OK, Some(version)) => Ok(version),
        (StatusCode::OK, None) => Err(StoreError::Silent("no version in the answer".into())),
        (_, found) => Err(StoreError::Conflict { found }),
    }
}

fn silent(error: ureq::Error) -> StoreError {
    StoreError::Silent(error.to_string())
}
