//! HTTP client of targets. Response streams are JSON objects, one per line. The users' real
//! protocol will replace this file.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{
    CancelOutcome, Engine, LoadReport, Order, PieceStream, RunPiece, ServiceAnswer, ServiceCall,
    StartRun,
};
use crate::error::{Error, Kind, Result};
use crate::ids::RunId;

/// Connect timeout. When it expires, no byte of the request was sent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for requests with a short response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a response may make no progress before the target counts as failed.
const STREAM_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest line of a response stream, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// The longest accepted answer to other requests, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A client of targets, shared by all requests.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: reqwest::Client,
}

impl HttpEngine {
    /// Creates a client with the timeouts of this module.
    ///
    /// # Errors
    /// `Io` when the HTTP client cannot be set up.
    pub fn new() -> Result<HttpEngine> {
        let builder = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(STREAM_READ_TIMEOUT);
        Ok(HttpEngine { client: builder.no_proxy().tcp_nodelay(true).build()? })
    }

    async fn post<B: Serialize, T: DeserializeOwned>(&self, url: String, body: &B) -> Result<T> {
        let req = self.client.post(url).timeout(CALL_TIMEOUT).json(body);
        read_json(check_status(req.send().await.map_err(request_error)?)?).await
    }
}

/// Reads an answer of at most [`MAX_ANSWER_BYTES`].
async fn read_json<T: DeserializeOwned>(mut resp: reqwest::Response) -> Result<T> {
    let mut body = BytesMut::new();
    while let Some(piece) = resp.chunk().await.map_err(request_error)? {
        if body.len() + piece.len() > MAX_ANSWER_BYTES {
            return Err(Error::new(Kind::TargetFailed, "target's answer exceeds the size limit"));
        }
        body.extend_from_slice(&piece);
    }
    let malformed =
        |e| Error::new(Kind::TargetFailed, format!("malformed answer of the target: {e}"));
    serde_json::from_slice(&body).map_err(malformed)
}

/// `NoTarget` only for a failed connect, since only that proves that no byte of the request was
/// sent; `TargetFailed` otherwise.
fn request_error(e: reqwest::Error) -> Error {
    let kind = if e.is_connect() { Kind::NoTarget } else { Kind::TargetFailed };
    Error::new(kind, format!("target: {}", e.without_url()))
}

fn check_status(resp: reqwest::Response) -> Result<reqwest::Response> {
    let kind = match resp.status().as_u16() {
        200 => return Ok(resp),
        404 | 410 => Kind::RunLost,
        409 => Kind::Fenced,
        // With this status the target states that it did not accept the request.
        503 => Kind::NoTarget,
        _ => Kind::TargetFailed,
    };
    Err(Error::new(kind, format!("target returned HTTP status {}", resp.status())))
}

/// A response stream of one JSON object per line.
#[derive(Debug)]
pub struct LineStream {
    resp: reqwest::Response,
    buf: BytesMut,
}

impl LineStream {
    fn new(resp: reqwest::Response) -> LineStream {
        LineStream { resp, buf: BytesMut::new() }
    }

    fn take_buffered_piece(&mut self) -> Result<Option<RunPiece>> {
        let Some(end) = self.buf.iter().position(|b| *b == b'\n') else { return Ok(None) };
        let line = self.buf.split_to(end);
        self.buf.advance(1);
        let malformed = |e| {
            Error::new(
                Kind::TargetFailed,
                format!("malformed line in the target's response stream: {e}"),
            )
        };
        serde_json::from_slice(&line).map(Some).map_err(malformed)
    }
}

impl PieceStream for LineStream {
    async fn next(&mut self) -> Result<Option<RunPiece>> {
        loop {
            if let Some(piece) = self.take_buffered_piece()? {
                return Ok(Some(piece));
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(Error::new(
                    Kind::TargetFailed,
                    "line in the target's response stream exceeds the size limit",
                ));
            }
            match self.resp.chunk().await {
                Ok(Some(chunk)) => self.buf.extend_from_slice(&chunk),
                Ok(None) => return Ok(None),
                Err(e) => {
                    return Err(Error::new(
                        Kind::TargetFailed,
                        format!("target's response stream: {}", e.without_url()),
                    ));
                }
            }
        }
    }
}

impl Engine for HttpEngine {
    type PieceStream = LineStream;

    async fn start(&self, addr: &str, run: &StartRun) -> Result<LineStream> {
        let req = self.client.post(format!("http://{addr}/v1/runs")).json(run);
        Ok(LineStream::new(check_status(req.send().await.map_err(request_error)?)?))
    }

    async fn resume(&self, addr: &str, run: &RunId, from: u64) -> Result<LineStream> {
        let req = self.client.get(format!("http://{addr}/v1/runs/{run}?from={from}"));
        Ok(LineStream::new(check_status(req.send().await.map_err(request_error)?)?))
    }

    async fn cancel(&self, addr: &str, run: &RunId) -> Result<CancelOutcome> {
        self.post(format!("http://{addr}/v1/cancel"), run).await
    }

    async fn report(&self, addr: &str) -> Result<LoadReport> {
        let req = self.client.get(format!("http://{addr}/v1/load")).timeout(CALL_TIMEOUT);
        read_json(check_status(req.send().await.map_err(request_error)?)?).await
    }

    async fn order(&self, addr: &str, order: &Order) -> Result<()> {
        self.post(format!("http://{addr}/v1/orders"), order).await
    }

    async fn call(&self, addr: &str, call: &ServiceCall) -> Result<ServiceAnswer> {
        let req = self.client.post(format!("http://{addr}/v1/call")).json(call);
        read_json(check_status(req.send().await.map_err(request_error)?)?).await
    }
}
