//! A client of the operators' API.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::client::refusal;
use crate::config::store::Submission;
use crate::error::{Error, Kind, Result};
use crate::ids::Revision;

/// Attempts of a submission whose answer was lost.
const SUBMIT_ATTEMPTS: u32 = 20;
/// Pause between them.
const SUBMIT_PAUSE: Duration = Duration::from_millis(300);

/// An operator at one router.
#[derive(Clone, Debug)]
pub struct Operator {
    http: reqwest::Client,
    addr: String,
    key: String,
}

impl Operator {
    /// An operator who asks the router at `addr` (`ip:port`).
    ///
    /// # Errors
    /// `Io` when the HTTP client cannot be set up.
    pub fn new(addr: &str, key: &str) -> Result<Operator> {
        let http =
            reqwest::Client::builder().timeout(Duration::from_secs(60)).no_proxy().build()?;
        Ok(Operator { http, addr: addr.into(), key: key.into() })
    }

    /// Reads `/operator/PATH`.
    ///
    /// # Errors
    /// The refusal, or `Io`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let req =
            self.http.get(format!("http://{}/operator/{path}", self.addr)).bearer_auth(&self.key);
        Ok(refusal(req.send().await?).await?.json().await?)
    }

    async fn post<B: Serialize>(&self, path: &str, body: &B) -> Result<Value> {
        let req =
            self.http.post(format!("http://{}/operator/{path}", self.addr)).bearer_auth(&self.key);
        Ok(refusal(req.json(body).send().await?).await?.json().await?)
    }

    /// Hands in a submission. Repeated under the same id while the answer is lost, so that it
    /// takes effect once.
    ///
    /// # Errors
    /// `BadConfig`, `Conflict`, or what the last attempt met.
    pub async fn submit(&self, submission: &Submission) -> Result<Revision> {
        let mut last = Error::new(Kind::Io, "not sent");
        for _ in 0..SUBMIT_ATTEMPTS {
            match self.post("submit", submission).await {
                Ok(v) => return Ok(Revision(v["revision"].as_u64().unwrap_or(0))),
                Err(e) if matches!(e.kind, Kind::PlatformAway | Kind::Timeout | Kind::Io) => {
                    last = e
                }
                Err(e) => return Err(e),
            }
            tokio::time::sleep(SUBMIT_PAUSE).await;
        }
        Err(last)
    }
}
