//! A caller: asks which routers to use, sends requests with a key, resumes elsewhere when a
//! router dies, and checks that its answer is whole.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::api::entry::EntryAnswer;
use crate::api::{IDEMPOTENCY_KEY, LAST_EVENT_ID, PRIORITY};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, RequestKey, ZoneId};

/// Pause before another router is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Silence in a stream after which the caller comes back elsewhere.
const SILENCE: Duration = Duration::from_secs(6);

/// A caller of one organisation.
#[derive(Clone, Debug)]
pub struct Caller {
    http: reqwest::Client,
    first: Vec<String>,
    api_key: String,
    zone: Option<ZoneId>,
    known: Arc<Mutex<Option<Known>>>,
}

/// Addresses and the time until which they hold.
type Known = (Instant, Vec<String>);

/// A chat request.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// The service.
    pub model: String,
    /// What the user says.
    pub content: String,
    /// Answer tokens at most.
    pub max_tokens: u64,
    /// The key under which it may be retried.
    pub key: RequestKey,
    /// 0 to 9.
    pub priority: u8,
    /// How long to go on trying.
    pub patience: Duration,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Transcript {
    /// The answer's text.
    pub text: String,
    /// What the router says it cost.
    pub total_tokens: u64,
    /// Routers asked.
    pub attempts: u32,
    /// Time to the first token.
    pub first: Duration,
    /// Time of the whole.
    pub total: Duration,
    /// Answer tokens.
    pub tokens: u64,
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

/// An answer as it comes together over one or more streams.
#[derive(Debug, Default)]
struct Growing {
    text: String,
    last_id: Option<String>,
    tokens: u64,
    first: Option<Duration>,
    whole: Option<u64>,
}

impl Caller {
    /// A caller that first asks one of `first` (`ip:port`).
    ///
    /// # Errors
    /// `Io` when the HTTP client cannot be set up.
    pub fn new(first: Vec<String>, api_key: &str, zone: Option<ZoneId>) -> Result<Caller> {
        let builder = reqwest::Client::builder()
            .connect_timeout(Duration::from_millis(500))
            .read_timeout(SILENCE);
        let http = builder.no_proxy().tcp_nodelay(true).build()?;
        Ok(Caller { http, first, api_key: api_key.into(), zone, known: Arc::default() })
    }

    /// The addresses to use now, best first.
    ///
    /// # Errors
    /// `Unauthorized` for a wrong API key, `Io` when no router can be reached.
    pub async fn addresses(&self) -> Result<Vec<String>> {
        if let Some((until, list)) = self.known.lock().expect("never poisoned").clone()
            && Instant::now() < until
        {
            return Ok(list);
        }
        let mut last = Error::new(Kind::Io, "no router can be reached");
        let kept =
            self.known.lock().expect("never poisoned").clone().map_or(Vec::new(), |(_, l)| l);
        for addr in kept.iter().chain(&self.first) {
            match self.ask(addr).await {
                Ok(a) if !a.addresses.is_empty() => {
                    let until = Instant::now() + Duration::from_millis(a.lifetime_ms);
                    *self.known.lock().expect("never poisoned") =
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

    /// Asks one router for addresses.
    ///
    /// # Errors
    /// `Unauthorized`, or `Io`.
    pub async fn ask(&self, addr: &str) -> Result<EntryAnswer> {
        let zone = self.zone.as_ref().map_or(String::new(), |z| format!("?zone={z}"));
        let req = self.http.get(format!("http://{addr}/v1/entry{zone}")).bearer_auth(&self.api_key);
        let resp = req.timeout(Duration::from_secs(2)).send().await?;
        Ok(refusal(resp).await?.json().await?)
    }

    fn forget_addresses(&self) {
        if let Some((until, _)) = self.known.lock().expect("never poisoned").as_mut() {
            *until = Instant::now();
        }
    }

    /// Sends a chat request and stays with it until the answer is whole, or it is refused for
    /// good, or patience ends. `seen` gets the text as it comes.
    ///
    /// # Errors
    /// The refusal, or `Timeout`.
    pub async fn chat<F: FnMut(&str) + Send>(
        &self,
        call: &ChatCall,
        mut seen: F,
    ) -> Result<Transcript> {
        let began = Instant::now();
        let mut g = Growing::default();
        let mut attempts = 0;
        let mut last = Error::new(Kind::Timeout, "patience ended before the first attempt");
        while began.elapsed() < call.patience {
            let addresses = self.addresses().await?;
            let addr = &addresses[attempts as usize % addresses.len()];
            attempts += 1;
            let rest = call.patience.saturating_sub(began.elapsed());
            let read = self.read(addr, call, &mut g, began, &mut seen);
            match tokio::time::timeout(rest, read).await {
                Ok(Ok(total_tokens)) => {
                    let first = g.first.unwrap_or_else(|| began.elapsed());
                    let (text, tokens) = (g.text, g.tokens);
                    return Ok(Transcript {
                        text,
                        total_tokens,
                        attempts,
                        first,
                        total: began.elapsed(),
                        tokens,
                    });
                }
                Ok(Err(e)) if e.kind == Kind::RunLost => {
                    g = Growing { first: g.first, ..Growing::default() }
                }
                Ok(Err(e)) if !e.kind.properties().retryable || e.kind == Kind::BudgetExhausted => {
                    return Err(e);
                }
                Ok(Err(e)) => last = e,
                Err(_) => break,
            }
            self.forget_addresses();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(Error::new(Kind::Timeout, format!("patience ended after {attempts} attempts: {last}")))
    }

    async fn read<F: FnMut(&str) + Send>(
        &self,
        addr: &str,
        call: &ChatCall,
        g: &mut Growing,
        began: Instant,
        seen: &mut F,
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
        if let Some(id) = &g.last_id {
            req = req.header(LAST_EVENT_ID, id);
        }
        let mut resp = refusal(req.json(&body).send().await?).await?;
        let mut buf = String::new();
        while let Some(chunk) = resp.chunk().await? {
            buf += std::str::from_utf8(&chunk)
                .map_err(|_| Error::new(Kind::BadFormat, "a stream must be UTF-8"))?;
            while let Some(end) = buf.find("\n\n") {
                let event: String = buf.drain(..end + 2).collect();
                g.take(&event, began, seen)?;
            }
            if let Some(total) = g.whole {
                return Ok(total);
            }
        }
        Err(Error::new(Kind::Io, "the stream was cut"))
    }

    /// Calls a plain service at the routers in turn until there is a final answer.
    ///
    /// # Errors
    /// The refusal, or `Timeout`.
    pub async fn service(
        &self,
        path: &str,
        body: &str,
        key: &RequestKey,
        patience: Duration,
    ) -> Result<(u16, String)> {
        let began = Instant::now();
        let mut attempts = 0;
        let mut last = Error::new(Kind::Timeout, "patience ended");
        while began.elapsed() < patience {
            let addresses = self.addresses().await?;
            let addr = &addresses[attempts % addresses.len()];
            attempts += 1;
            let req = self
                .http
                .post(format!("http://{addr}/v1/services/{path}"))
                .bearer_auth(&self.api_key);
            let sent =
                req.header(IDEMPOTENCY_KEY, key.as_str()).body(body.to_string()).send().await;
            let answered = match sent {
                Ok(resp) => refusal(resp).await,
                Err(e) => Err(e.into()),
            };
            match answered {
                Ok(resp) => return Ok((resp.status().as_u16(), resp.text().await?)),
                Err(e) if !e.kind.properties().retryable => return Err(e),
                Err(e) => last = e,
            }
            self.forget_addresses();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(last)
    }
}

impl Growing {
    fn take<F: FnMut(&str)>(&mut self, event: &str, began: Instant, seen: &mut F) -> Result<()> {
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
            self.first.get_or_insert_with(|| began.elapsed());
            self.text += text;
            seen(text);
        }
        if id.is_some() {
            self.last_id = id;
        }
        if let Some(digest) = v["answer_digest"].as_str() {
            return self.finish(digest, &v["usage"]);
        }
        Ok(())
    }

    /// The end of the stream tells the digest of the whole text: a hole would show here.
    fn finish(&mut self, digest: &str, usage: &Value) -> Result<()> {
        if Digest::of(self.text.as_bytes()).to_string() != digest {
            return Err(Error::new(Kind::RunLost, "the answer does not match its digest"));
        }
        self.tokens = usage["completion_tokens"].as_u64().unwrap_or(0);
        self.whole = usage["total_tokens"].as_u64();
        Ok(())
    }
}

/// Turns a refusal into its error.
///
/// # Errors
/// The refusal; `Io` for an answer that is none of ours.
pub async fn refusal(resp: reqwest::Response) -> Result<reqwest::Response> {
    if resp.status().is_success() {
        return Ok(resp);
    }
    let status = resp.status();
    match resp.json::<ErrorBody>().await {
        Ok(e) => Err(Error::new(e.error.kind, e.error.message)),
        Err(_) => Err(Error::new(Kind::Io, format!("answer {status}"))),
    }
}
