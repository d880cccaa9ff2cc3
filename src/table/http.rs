//! HTTP client of the platform. The users' real protocol will replace this file.

use std::time::Duration;

use compact_str::CompactString;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Instance, InstanceList, ObjectStore, Outcome, Row, RowKey, Table, Txn};
use crate::error::{Error, Kind, Result};

/// How long a response may make no progress before the call's outcome counts as unknown. This is
/// not a limit on the whole call, whose time grows with the size of the response: a router with a
/// slow link would never receive a large snapshot.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// A client of the platform: table, object store and instance list.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    base: CompactString,
    client: reqwest::Client,
}

impl HttpPlatform {
    /// A client of the platform at `addr` (`ip:port`).
    ///
    /// # Errors
    /// `Io` when the HTTP client cannot be set up.
    pub fn new(addr: &str) -> Result<HttpPlatform> {
        let client = reqwest::Client::builder().read_timeout(READ_TIMEOUT).no_proxy().build()?;
        Ok(HttpPlatform { base: CompactString::from(format!("http://{addr}")), client })
    }

    async fn post_json<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T> {
        let req = self.client.post(format!("{}{path}", self.base)).json(body);
        let resp = req.send().await.map_err(platform_error)?;
        if !resp.status().is_success() {
            return Err(Error::new(
                Kind::PlatformAway,
                format!("platform returned HTTP status {}", resp.status()),
            ));
        }
        resp.json().await.map_err(platform_error)
    }
}

fn platform_error(e: reqwest::Error) -> Error {
    Error::new(Kind::PlatformAway, format!("platform: {}", e.without_url()))
}

impl Table for HttpPlatform {
    async fn read(&self, keys: Vec<RowKey>) -> Result<Vec<Row>> {
        self.post_json("/table/read", &keys).await
    }

    async fn scan(&self, prefix: RowKey, after: RowKey, limit: usize) -> Result<Vec<Row>> {
        self.post_json("/table/scan", &(prefix, after, limit)).await
    }

    async fn write(&self, txn: Txn) -> Result<Outcome> {
        self.post_json("/table/write", &txn).await
    }
}

impl ObjectStore for HttpPlatform {
    async fn put(&self, name: RowKey, data: Vec<u8>) -> Result<()> {
        let resp = self
            .client
            .put(format!("{}/objects/{name}", self.base))
            .body(data)
            .send()
            .await
            .map_err(platform_error)?;
        resp.error_for_status().map(drop).map_err(platform_error)
    }

    async fn get(&self, name: RowKey) -> Result<Vec<u8>> {
        let resp = self
            .client
            .get(format!("{}/objects/{name}", self.base))
            .send()
            .await
            .map_err(platform_error)?;
        if resp.status() == reqwest::StatusCode::NOT_FOUND {
            return Err(Error::new(Kind::NotFound, format!("object {name} does not exist")));
        }
        let resp = resp.error_for_status().map_err(platform_error)?;
        Ok(resp.bytes().await.map_err(platform_error)?.to_vec())
    }
}

impl InstanceList for HttpPlatform {
    async fn list(&self) -> Result<Vec<Instance>> {
        self.post_json("/instances/list", &()).await
    }
}
