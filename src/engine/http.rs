//! Targets over HTTP, answers as a JSON object a line. The users' real protocol replaces this
//! one file.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{
    Cancelled, Engine, LoadReport, Order, Part, Parts, ServiceAnswer, ServiceCall, StartRun,
};
use crate::error::{Error, Kind, Result};
use crate::ids::RunId;

/// Time to connect; within it no byte of a request can have left.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a short call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Silence in a stream after which the target counts as failed.
const SILENCE: Duration = Duration::from_secs(5);
/// Bytes of one line at most.
const MAX_LINE: usize = 64 * 1024;

/// A client of targets.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: reqwest::Client,
}

impl HttpEngine {
    /// A client.
    ///
    /// # Errors
    /// `Io` when the HTTP client cannot be set up.
    pub fn new() -> Result<HttpEngine> {
        let builder =
            reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).read_timeout(SILENCE);
        Ok(HttpEngine { client: builder.no_proxy().tcp_nodelay(true).build()? })
    }

    async fn post<B: Serialize, T: DeserializeOwned>(&self, url: String, body: &B) -> Result<T> {
        let req = self.client.post(url).timeout(CALL_TIMEOUT).json(body);
        let resp = check(req.send().await.map_err(failed)?)?;
        resp.json().await.map_err(failed)
    }
}

/// Only a failed connect proves that no byte left.
fn failed(e: reqwest::Error) -> Error {
    let kind = if e.is_connect() { Kind::NoTarget } else { Kind::TargetFailed };
    Error::new(kind, format!("target: {}", e.without_url()))
}

fn check(resp: reqwest::Response) -> Result<reqwest::Response> {
    let kind = match resp.status().as_u16() {
        200 => return Ok(resp),
        404 | 410 => Kind::RunLost,
        409 => Kind::Fenced,
        // The target says itself that it did not take the request.
        503 => Kind::NoTarget,
        _ => Kind::TargetFailed,
    };
    Err(Error::new(kind, format!("target answered {}", resp.status())))
}

/// A streaming answer.
#[derive(Debug)]
pub struct Lines {
    resp: reqwest::Response,
    buf: BytesMut,
}

impl Lines {
    fn new(resp: reqwest::Response) -> Lines {
        Lines { resp, buf: BytesMut::new() }
    }

    fn take_line(&mut self) -> Result<Option<Part>> {
        let Some(end) = self.buf.iter().position(|b| *b == b'\n') else { return Ok(None) };
        let line = self.buf.split_to(end);
        self.buf.advance(1);
        let bad =
            |e| Error::new(Kind::TargetFailed, format!("malformed piece from the target: {e}"));
        serde_json::from_slice(&line).map(Some).map_err(bad)
    }
}

impl Parts for Lines {
    async fn next(&mut self) -> Result<Option<Part>> {
        loop {
            if let Some(part) = self.take_line()? {
                return Ok(Some(part));
            }
            if self.buf.len() > MAX_LINE {
                return Err(Error::new(Kind::TargetFailed, "the target sent an overlong line"));
            }
            match self.resp.chunk().await {
                Ok(Some(chunk)) => self.buf.extend_from_slice(&chunk),
                Ok(None) => return Ok(None),
                Err(e) => {
                    return Err(Error::new(
                        Kind::TargetFailed,
                        format!("stream: {}", e.without_url()),
                    ));
                }
            }
        }
    }
}

impl Engine for HttpEngine {
    type Parts = Lines;

    async fn start(&self, addr: &str, run: &StartRun) -> Result<Lines> {
        let req = self.client.post(format!("http://{addr}/v1/runs")).json(run);
        Ok(Lines::new(check(req.send().await.map_err(failed)?)?))
    }

    async fn resume(&self, addr: &str, run: &RunId, from: u64) -> Result<Lines> {
        let req = self.client.get(format!("http://{addr}/v1/runs/{run}?from={from}"));
        Ok(Lines::new(check(req.send().await.map_err(failed)?)?))
    }

    async fn cancel(&self, addr: &str, run: &RunId) -> Result<Cancelled> {
        self.post(format!("http://{addr}/v1/cancel"), run).await
    }

    async fn report(&self, addr: &str) -> Result<LoadReport> {
        let req = self.client.get(format!("http://{addr}/v1/load")).timeout(CALL_TIMEOUT);
        check(req.send().await.map_err(failed)?)?.json().await.map_err(failed)
    }

    async fn order(&self, addr: &str, order: &Order) -> Result<()> {
        self.post(format!("http://{addr}/v1/orders"), order).await
    }

    async fn call(&self, addr: &str, call: &ServiceCall) -> Result<ServiceAnswer> {
        let req = self.client.post(format!("http://{addr}/v1/call")).json(call);
        let resp = check(req.send().await.map_err(failed)?)?;
        resp.json().await.map_err(failed)
    }
}
