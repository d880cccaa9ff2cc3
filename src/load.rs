//! Open-loop load generator. Requests arrive at a given rate, independently of the answers. The load
//! is seeded, and may be skewed between organisations and have a burst.

use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::client::{Caller, ChatAnswer, ChatCall};
use crate::error::{Error, Kind};
use crate::ids::RequestKey;
use crate::standin::batch::{expected_token, natural_length};

/// One organisation that sends requests.
#[derive(Clone, Debug)]
pub struct LoadSource {
    /// Client with the API key of the organisation.
    pub caller: Caller,
    /// Name of the organisation.
    pub organisation: String,
    /// Weight of the organisation among all sources.
    pub share: f64,
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Mean arrivals per second.
    pub rate: f64,
    /// Total number of requests.
    pub requests: usize,
    /// Factor on the rate for the middle third of the requests.
    pub burst: f64,
    /// Name of the model service.
    pub model: String,
    /// Maximum number of output tokens of a request.
    pub max_tokens: u64,
    /// Minimum length of a prompt, in bytes.
    pub prompt_bytes: usize,
    /// Number of different prefixes that the prompts share. With 0, prompts share none.
    pub prefixes: usize,
    /// Total time for a request and its retries.
    pub retry_timeout: Duration,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Prefix of the idempotency keys. Different for each load, so that loads do not share keys.
    pub label: String,
}

/// The outcome of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Organisation that sent the request.
    pub organisation: String,
    /// Idempotency key.
    pub key: RequestKey,
    /// The answer, or the final error.
    pub outcome: Result<ChatAnswer, Error>,
    /// Whether the text of the answer was the expected one.
    pub is_correct: bool,
    /// When the request was sent, as time since the start of the load.
    pub sent_at: Duration,
}

/// Totals and percentiles of a load.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Summary {
    /// Requests sent.
    pub requests: usize,
    /// Complete answers with the expected text.
    pub answered: usize,
    /// Answers whose text is not the one that the engine generates for the prompt.
    pub wrong: usize,
    /// Requests refused because the budget was exhausted.
    pub refused_budget: usize,
    /// Requests refused or failed for other reasons.
    pub failed: usize,
    /// Requests answered after more than one attempt.
    pub resumed: usize,
    /// Median time to the first token, in milliseconds.
    pub first_p50_ms: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_p95_ms: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_p99_ms: f64,
    /// 95th percentile over all requests of a request's mean time between tokens, in milliseconds.
    pub between_p95_ms: f64,
    /// Output tokens per second over the whole load.
    pub tokens_per_s: f64,
}

/// Generates the prompt of request `n`. Prompts of different requests differ.
fn prompt(profile: &LoadProfile, n: usize, rng: &mut fastrand::Rng) -> String {
    let mut text = match profile.prefixes {
        0 => String::new(),
        prefix_count => format!("shared beginning {} ", rng.usize(..prefix_count)).repeat(48),
    };
    text += &format!("request {n} of {} ", profile.label);
    while text.len() < profile.prompt_bytes {
        text.push(char::from(rng.u8(b'a'..=b'z')));
    }
    text
}

/// Returns whether `text` is the answer of the stand-in engine to `content`.
fn is_expected_answer(content: &str, max_tokens: u64, text: &str) -> bool {
    let prompt = format!("user: {content}\n");
    let n = natural_length(&prompt, max_tokens);
    let expected: String = (0..n).map(|i| expected_token(&prompt, i).to_string()).collect();
    expected == text
}

/// Chooses a source at random, by weight.
fn choose_source<'a>(sources: &'a [LoadSource], rng: &mut fastrand::Rng) -> &'a LoadSource {
    let total: f64 = sources.iter().map(|source| source.share).sum();
    let mut position = rng.f64() * total;
    for source in sources {
        position -= source.share;
        if position < 0.0 {
            return source;
        }
    }
    &sources[sources.len() - 1]
}

/// Sends a load and waits until every request has ended.
pub async fn run(sources: &[LoadSource], profile: &LoadProfile) -> Vec<RequestRecord> {
    let mut rng = fastrand::Rng::with_seed(profile.seed);
    let profile = Arc::new(profile.clone());
    let started_at = Instant::now();
    let mut next_arrival = started_at;
    let mut in_flight = JoinSet::new();
    for n in 0..profile.requests {
        let is_in_burst = n * 3 / profile.requests.max(1) == 1;
        let rate = if is_in_burst { profile.rate * profile.burst } else { profile.rate };
        // Exponential intervals, because callers send independently of each other.
        next_arrival += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        let source = choose_source(sources, &mut rng).clone();
        let content = prompt(&profile, n, &mut rng);
        let key = format!("{}-{n}", profile.label).parse().expect("a label is a valid name");
        let profile = profile.clone();
        sleep_until(next_arrival).await;
        in_flight.spawn(send(source, profile, content, key, started_at));
    }
    let mut records = Vec::with_capacity(profile.requests);
    while let Some(record) = in_flight.join_next().await {
        records.extend(record.ok());
    }
    records
}

async fn send(
    source: LoadSource,
    profile: Arc<LoadProfile>,
    content: String,
    key: RequestKey,
    started_at: Instant,
) -> RequestRecord {
    let call = ChatCall {
        model: profile.model.clone(),
        content: content.clone(),
        max_tokens: profile.max_tokens,
        key: key.clone(),
        priority: crate::api::DEFAULT_PRIORITY,
        retry_timeout: profile.retry_timeout,
    };
    let sent_at = started_at.elapsed();
    let outcome = source.caller.chat(&call, |_| {}).await;
    let is_correct =
        outcome.as_ref().is_ok_and(|t| is_expected_answer(&content, profile.max_tokens, &t.text));
    RequestRecord { organisation: source.organisation, key, outcome, is_correct, sent_at }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are in range")
}

/// Summarizes the records of a load that took `duration`.
pub fn summarize(records: &[RequestRecord], duration: Duration) -> Summary {
    let mut summary = Summary { requests: records.len(), ..Summary::default() };
    let (mut time_to_first_token, mut time_between_tokens) = (histogram(), histogram());
    let mut output_tokens = 0;
    for request in records {
        match &request.outcome {
            Ok(t) => {
                summary.answered += usize::from(request.is_correct);
                summary.wrong += usize::from(!request.is_correct);
                summary.resumed += usize::from(t.attempts > 1);
                output_tokens += t.output_tokens;
                // The histogram resizes automatically, so recording cannot fail.
                let _ = time_to_first_token.record(t.time_to_first_token.as_micros() as u64);
                if t.output_tokens > 1 {
                    let mean_interval =
                        t.total_time.saturating_sub(t.time_to_first_token).as_micros() as u64
                            / (t.output_tokens - 1);
                    let _ = time_between_tokens.record(mean_interval);
                }
            }
            Err(e) if e.kind == Kind::BudgetExhausted => summary.refused_budget += 1,
            Err(_) => summary.failed += 1,
        }
    }
    let ms = |h: &Histogram<u64>, quantile: f64| h.value_at_quantile(quantile) as f64 / 1_000.0;
    summary.first_p50_ms = ms(&time_to_first_token, 0.50);
    summary.first_p95_ms = ms(&time_to_first_token, 0.95);
    summary.first_p99_ms = ms(&time_to_first_token, 0.99);
    summary.between_p95_ms = ms(&time_between_tokens, 0.95);
    summary.tokens_per_s = output_tokens as f64 / duration.as_secs_f64();
    summary
}
