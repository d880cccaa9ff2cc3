//! Client of the caller API. It asks which routers to use, sends requests with an idempotency key,
//! resumes an interrupted stream at another router, and verifies that the answer is complete.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::api::entry::EntryAnswer;
use crate::api::{IDEMPOTENCY_KEY, LAST_EVENT_ID, PRIORITY};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, RequestKey, ZoneId};

/// Delay before a request is retried at another router.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without data after which a stream is abandoned and resumed at another router.
const READ_TIMEOUT: Duration = Duration::from_secs(6);

/// A client with the API key of one organisation. Clones share the cached router addresses.
#[derive(Clone, Debug)]
pub struct Caller {
    http: reqwest::Client,
    initial_routers: Vec<String>,
    api_key: String,
    zone: Option<ZoneId>,
    cached_addresses: Arc<Mutex<Option<CachedAddresses>>>,
}

/// Expiry time and addresses of routers.
type CachedAddresses = (Instant, Vec<String>);

/// A chat request.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Name of the model service.
    pub model: String,
    /// Content of the user's message.
    pub content: String,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// Idempotency key. Retries use the same key.
    pub key: RequestKey,
    /// Priority from 0 to 9.
    pub priority: u8,
    /// Total time for the request and its retries.
    pub retry_timeout: Duration,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct ChatAnswer {
    /// Text of the answer.
    pub text: String,
    /// Cost in tokens, of prompt and output, as reported by the router.
    pub total_tokens: u64,
    /// Number of attempts, including the successful one.
    pub attempts: u32,
    /// Time from the start of the call to the first token.
    pub time_to_first_token: Duration,
    /// Time from the start of the call to the end of the answer.
    pub total_time: Duration,
    /// Number of output tokens.
    pub output_tokens: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ErrorFields {
    kind: Kind,
    message: String,
}

/// An answer that is being received, over one stream or several.
#[derive(Debug, Default)]
struct PartialAnswer {
    text: String,
    /// Id of the last event, with which the stream can be resumed.
    last_id: Option<String>,
    output_tokens: u64,
    time_to_first_token: Option<Duration>,
    /// Total token count, which is reported at the end of the stream.
    usage_total: Option<u64>,
}

impl Caller {
    /// Creates a client that asks `initial_routers` (`ip:port`) for the addresses to use. Routers in
    /// `zone` are preferred.
    ///
    /// # Errors
    /// `Io` if the HTTP client cannot be created.
    pub fn new(
        initial_routers: Vec<String>,
        api_key: &str,
        zone: Option<ZoneId>,
    ) -> Result<Caller> {
        let builder = reqwest::Client::builder()
            .connect_timeout(Duration::from_millis(500))
            .read_timeout(READ_TIMEOUT);
        let http = builder.no_proxy().tcp_nodelay(true).build()?;
        Ok(Caller {
            http,
            initial_routers,
            api_key: api_key.into(),
            zone,
            cached_addresses: Arc::default(),
        })
    }

    /// Returns the addresses of routers to use, in order of preference. They are cached for the
    /// lifetime that the router gave.
    ///
    /// # Errors
    /// `Unauthorized` if the API key is wrong, `Io` if no router can be reached.
    pub async fn addresses(&self) -> Result<Vec<String>> {
        if let Some((until, list)) = self.cached_addresses.lock().expect("never poisoned").clone()
            && Instant::now() < until
        {
            return Ok(list);
        }
        let mut last = Error::new(Kind::Io, "no router can be reached");
        let cached = self
            .cached_addresses
            .lock()
            .expect("never poisoned")
            .clone()
            .map_or(Vec::new(), |(_, l)| l);
        for addr in cached.iter().chain(&self.initial_routers) {
            match self.fetch_addresses(addr).await {
                Ok(a) if !a.addresses.is_empty() => {
                    let until = Instant::now() + Duration::from_millis(a.lifetime_ms);
                    *self.cached_addresses.lock().expect("never poisoned") =
                        Some((until, a.addresses.clone()));
                    return Ok(a.addresses);
                }
                Ok(_) => {}
                Err(e) if e.kind == Kind::Unauthorized => return Err(e),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    /// Asks the router at `addr` which routers to use.
    ///
    /// # Errors
    /// `Unauthorized` if the API key is wrong, `Io` if the router cannot be reached.
    pub async fn fetch_addresses(&self, addr: &str) -> Result<EntryAnswer> {
        let zone = self.zone.as_ref().map_or(String::new(), |z| format!("?zone={z}"));
        let req = self.http.get(format!("http://{addr}/v1/entry{zone}")).bearer_auth(&self.api_key);
        let resp = req.timeout(Duration::from_secs(2)).send().await?;
        Ok(check_status(resp).await?.json().await?)
    }

    fn expire_cached_addresses(&self) {
        if let Some((until, _)) = self.cached_addresses.lock().expect("never poisoned").as_mut() {
            *until = Instant::now();
        }
    }

    /// Sends a chat request and retries it until the answer is complete, a final error is returned,
    /// or `call.retry_timeout` has passed. `on_text` is called with each piece of text as it
    /// arrives.
    ///
    /// # Errors
    /// The final error of a router, or `Timeout` with the error of the last attempt.
    pub async fn chat<F: FnMut(&str) + Send>(
        &self,
        call: &ChatCall,
        mut on_text: F,
    ) -> Result<ChatAnswer> {
        let started_at = Instant::now();
        let mut partial = PartialAnswer::default();
        let mut attempts = 0;
        let mut last = Error::new(Kind::Timeout, "the request timed out before the first attempt");
        while started_at.elapsed() < call.retry_timeout {
            let addresses = self.addresses().await?;
            let addr = &addresses[attempts as usize % addresses.len()];
            attempts += 1;
            let remaining = call.retry_timeout.saturating_sub(started_at.elapsed());
            let read_stream = self.read_stream(addr, call, &mut partial, started_at, &mut on_text);
            match tokio::time::timeout(remaining, read_stream).await {
                Ok(Ok(total_tokens)) => {
                    let time_to_first_token =
                        partial.time_to_first_token.unwrap_or_else(|| started_at.elapsed());
                    let (text, output_tokens) = (partial.text, partial.output_tokens);
                    return Ok(ChatAnswer {
                        text,
                        total_tokens,
                        attempts,
                        time_to_first_token,
                        total_time: started_at.elapsed(),
                        output_tokens,
                    });
                }
                Ok(Err(e)) if e.kind == Kind::RunLost => {
                    partial = PartialAnswer {
                        time_to_first_token: partial.time_to_first_token,
                        ..PartialAnswer::default()
                    }
                }
                Ok(Err(e)) if !e.kind.attrs().retryable || e.kind == Kind::BudgetExhausted => {
                    return Err(e);
                }
                Ok(Err(e)) => last = e,
                Err(_) => break,
            }
            self.expire_cached_addresses();
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(Error::new(
            Kind::Timeout,
            format!("the request timed out after {attempts} attempts; last error: {last}"),
        ))
    }

    /// Makes one attempt, and resumes the stream after the last received event. Returns the total
    /// token count.
    async fn read_stream<F: FnMut(&str) + Send>(
        &self,
        addr: &str,
        call: &ChatCall,
        partial: &mut PartialAnswer,
        started_at: Instant,
        on_text: &mut F,
    ) -> Result<u64> {
        let body = json!({
            "model": call.model,
            "messages": [{ "role": "user", "content": call.content }],
            "max_tokens": call.max_tokens,
            "stream": true,
        });
        let mut req =
            self.http.post(format!("http://{addr}/v1/chat/completions")).bearer_auth(&self.api_key);
        req = req
            .header(IDEMPOTENCY_KEY, call.key.as_str())
            .header(PRIORITY, call.priority.to_string());
        if let Some(id) = &partial.last_id {
            req = req.header(LAST_EVENT_ID, id);
        }
        let mut resp = check_status(req.json(&body).send().await?).await?;
        let mut buffer = String::new();
        while let Some(chunk) = resp.chunk().await? {
            buffer += std::str::from_utf8(&chunk)
                .map_err(|_| Error::new(Kind::BadFormat, "the stream is not valid UTF-8"))?;
            while let Some(end) = buffer.find("\n\n") {
                let event: String = buffer.drain(..end + 2).collect();
                partial.apply_event(&event, started_at, on_text)?;
            }
            if let Some(total) = partial.usage_total {
                return Ok(total);
            }
        }
        Err(Error::new(Kind::Io, "the stream ended before the answer was complete"))
    }

    /// Calls a plain service and returns status and body. The routers are tried in turn until one
    /// returns a result or a final error.
    ///
    /// # Errors
    /// The final error of a router, or that of the last attempt if `retry_timeout` has passed.
    pub async fn service(
        &self,
        path: &str,
        body: &str,
        key: &RequestKey,
        retry_timeout: Duration,
    ) -> Result<(u16, String)> {
        let started_at = Instant::now();
        let mut attempts = 0;
        let mut last = Error::new(Kind::Timeout, "the request timed out before the first attempt");
        while started_at.elapsed() < retry_timeout {
            let addresses = self.addresses().await?;
            let addr = &addresses[attempts % addresses.len()];
            attempts += 1;
            let req = self
                .http
                .post(format!("http://{addr}/v1/services/{path}"))
                .bearer_auth(&self.api_key);
            let sent =
                req.header(IDEMPOTENCY_KEY, key.as_str()).body(body.to_string()).send().await;
            let outcome = match sent {
                Ok(resp) => check_status(resp).await,
                Err(e) => Err(e.into()),
            };
            match outcome {
                Ok(resp) => return Ok((resp.status().as_u16(), resp.text().await?)),
                Err(e) if !e.kind.attrs().retryable => return Err(e),
                Err(e) => last = e,
            }
            self.expire_cached_addresses();
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(last)
    }
}

impl PartialAnswer {
    /// Parses one server-sent event and adds its content.
    fn apply_event<F: FnMut(&str)>(
        &mut self,
        event: &str,
        started_at: Instant,
        on_text: &mut F,
    ) -> Result<()> {
        let mut id = None;
        let mut data = "";
        for line in event.lines() {
            if let Some(v) = line.strip_prefix("id: ") {
                id = Some(v.to_string());
            } else if let Some(v) = line.strip_prefix("data: ") {
                data = v;
            }
        }
        if data == "[DONE]" {
            return Ok(());
        }
        let v: Value = serde_json::from_str(data)?;
        if v.get("error").is_some() {
            let e: ErrorBody = serde_json::from_value(v)?;
            return Err(Error::new(e.error.kind, e.error.message));
        }
        if let Some(text) = v["choices"][0]["delta"]["content"].as_str() {
            self.time_to_first_token.get_or_insert_with(|| started_at.elapsed());
            self.text += text;
            on_text(text);
        }
        if id.is_some() {
            self.last_id = id;
        }
        if let Some(digest) = v["answer_digest"].as_str() {
            return self.finish(digest, &v["usage"]);
        }
        Ok(())
    }

    /// Ends the answer. The digest of the whole text shows whether a part of it was lost when the
    /// stream was resumed.
    fn finish(&mut self, digest: &str, usage: &Value) -> Result<()> {
        if Digest::of(self.text.as_bytes()).to_string() != digest {
            return Err(Error::new(
                Kind::RunLost,
                "the received text does not match the digest of the answer",
            ));
        }
        self.output_tokens = usage["completion_tokens"].as_u64().unwrap_or(0);
        self.usage_total = usage["total_tokens"].as_u64();
        Ok(())
    }
}

/// Returns the response if its status is a success.
///
/// # Errors
/// The error in the body, or `Io` if the body is not an error of the API.
pub async fn check_status(resp: reqwest::Response) -> Result<reqwest::Response> {
    if resp.status().is_success() {
        return Ok(resp);
    }
    let status = resp.status();
    match resp.json::<ErrorBody>().await {
        Ok(e) => Err(Error::new(e.error.kind, e.error.message)),
        Err(_) => {
            Err(Error::new(Kind::Io, format!("HTTP status {status} without an error in the body")))
        }
    }
}
