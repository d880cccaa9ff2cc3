//! HTTP client of the operator API.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::client::check_status;
use crate::config::store::Submission;
use crate::error::{Error, Kind, Result};
use crate::ids::Revision;

/// Maximum attempts to send a submission if the platform or the router does not answer.
const SUBMIT_ATTEMPTS: u32 = 20;
/// Delay before a submission is retried.
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// A client of the operator API of one router.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: reqwest::Client,
    addr: String,
    key: String,
}

impl OperatorClient {
    /// Creates a client for the router at `addr` (`ip:port`). `key` is the operator key.
    ///
    /// # Errors
    /// `Io` if the HTTP client cannot be created.
    pub fn new(addr: &str, key: &str) -> Result<OperatorClient> {
        let http =
            reqwest::Client::builder().timeout(Duration::from_secs(60)).no_proxy().build()?;
        Ok(OperatorClient { http, addr: addr.into(), key: key.into() })
    }

    /// Sends `GET /operator/PATH` and decodes the JSON body.
    ///
    /// # Errors
    /// The error that the router returned, or `Io` if it cannot be reached.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let req =
            self.http.get(format!("http://{}/operator/{path}", self.addr)).bearer_auth(&self.key);
        Ok(check_status(req.send().await?).await?.json().await?)
    }

    async fn post<B: Serialize>(&self, path: &str, body: &B) -> Result<Value> {
        let req =
            self.http.post(format!("http://{}/operator/{path}", self.addr)).bearer_auth(&self.key);
        Ok(check_status(req.json(body).send().await?).await?.json().await?)
    }

    /// Submits a change of the configuration and returns the new revision. If no answer arrives, the
    /// submission is retried with the same id, so that it takes effect only once.
    ///
    /// # Errors
    /// `BadConfig`, `Conflict`, or the error of the last attempt.
    pub async fn submit(&self, submission: &Submission) -> Result<Revision> {
        let mut last = Error::new(Kind::Io, "the submission was not sent");
        for _ in 0..SUBMIT_ATTEMPTS {
            match self.post("submit", submission).await {
                Ok(v) => return Ok(Revision(v["revision"].as_u64().unwrap_or(0))),
                Err(e) if matches!(e.kind, Kind::PlatformAway | Kind::Timeout | Kind::Io) => {
                    last = e
                }
                Err(e) => return Err(e),
            }
            tokio::time::sleep(SUBMIT_RETRY_DELAY).await;
        }
        Err(last)
    }
}
