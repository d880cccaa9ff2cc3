//! Open-loop load: arrivals at a rate whatever the answers do, seeded, skewed, with a burst.

use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::client::{Caller, ChatCall, Transcript};
use crate::error::{Error, Kind};
use crate::ids::RequestKey;
use crate::standin::batch::{expected_token, natural_length};

/// One organisation's part in a load.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its caller.
    pub caller: Caller,
    /// Its name, for the records.
    pub organisation: String,
    /// Its share of the arrivals, relative to the others'.
    pub share: f64,
}

/// The shape of a load.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Arrivals a second.
    pub rate: f64,
    /// Requests in all.
    pub requests: usize,
    /// Part of the arrivals, in the middle, that come at `burst` times the rate.
    pub burst: f64,
    /// The model service.
    pub model: String,
    /// Answer tokens at most.
    pub max_tokens: u64,
    /// Bytes of prompt.
    pub prompt_bytes: usize,
    /// Prompts share this many different beginnings; 0: none.
    pub prefixes: usize,
    /// How long each caller goes on trying.
    pub patience: Duration,
    /// Makes the load repeatable.
    pub seed: u64,
    /// Added to keys, so that several loads do not meet.
    pub label: String,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Who sent it.
    pub organisation: String,
    /// Its key.
    pub key: RequestKey,
    /// The answer, or why there is none.
    pub outcome: Result<Transcript, Error>,
    /// Whether the answer was the right one, token by token.
    pub right: bool,
    /// When it was sent, from the start of the load.
    pub at: Duration,
}

/// Sums over a load.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Summary {
    /// Requests sent.
    pub requests: usize,
    /// Whole, right answers.
    pub answered: usize,
    /// Answers with other text than the engine gives for the prompt.
    pub wrong: usize,
    /// Refused for lack of budget.
    pub refused_budget: usize,
    /// Refused or failed for other reasons.
    pub failed: usize,
    /// Requests that needed more than one router.
    pub resumed: usize,
    /// Time to the first token, in milliseconds.
    pub first_p50_ms: f64,
    /// Time to the first token, in milliseconds.
    pub first_p95_ms: f64,
    /// Time to the first token, in milliseconds.
    pub first_p99_ms: f64,
    /// Mean time between tokens of a request, at the 95th percentile over requests.
    pub between_p95_ms: f64,
    /// Answer tokens a second, over the whole load.
    pub tokens_per_s: f64,
}

/// A prompt of the load, different for each request.
fn prompt(shape: &Shape, n: usize, rng: &mut fastrand::Rng) -> String {
    let mut text = match shape.prefixes {
        0 => String::new(),
        many => format!("shared beginning {} ", rng.usize(..many)).repeat(48),
    };
    text += &format!("request {n} of {} ", shape.label);
    while text.len() < shape.prompt_bytes {
        text.push(char::from(rng.u8(b'a'..=b'z')));
    }
    text
}

/// Whether a text is the stand-in engine's answer to a prompt.
fn is_right(content: &str, max_tokens: u64, text: &str) -> bool {
    let prompt = format!("user: {content}\n");
    let n = natural_length(&prompt, max_tokens);
    let expected: String = (0..n).map(|i| expected_token(&prompt, i).to_string()).collect();
    expected == text
}

fn choose<'a>(members: &'a [Member], rng: &mut fastrand::Rng) -> &'a Member {
    let total: f64 = members.iter().map(|m| m.share).sum();
    let mut at = rng.f64() * total;
    for m in members {
        at -= m.share;
        if at < 0.0 {
            return m;
        }
    }
    &members[members.len() - 1]
}

/// Sends a load and waits for every answer.
pub async fn run(members: &[Member], shape: &Shape) -> Vec<Record> {
    let mut rng = fastrand::Rng::with_seed(shape.seed);
    let shape = Arc::new(shape.clone());
    let began = Instant::now();
    let mut due = began;
    let mut sent = JoinSet::new();
    for n in 0..shape.requests {
        let middle = n * 3 / shape.requests.max(1) == 1;
        let rate = if middle { shape.rate * shape.burst } else { shape.rate };
        // Exponential gaps: callers do not know of each other.
        due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        let member = choose(members, &mut rng).clone();
        let content = prompt(&shape, n, &mut rng);
        let key = format!("{}-{n}", shape.label).parse().expect("labels are names");
        let shape = shape.clone();
        sleep_until(due).await;
        sent.spawn(send(member, shape, content, key, began));
    }
    let mut out = Vec::with_capacity(shape.requests);
    while let Some(record) = sent.join_next().await {
        out.extend(record.ok());
    }
    out
}

async fn send(
    member: Member,
    shape: Arc<Shape>,
    content: String,
    key: RequestKey,
    began: Instant,
) -> Record {
    let call = ChatCall {
        model: shape.model.clone(),
        content: content.clone(),
        max_tokens: shape.max_tokens,
        key: key.clone(),
        priority: crate::api::DEFAULT_PRIORITY,
        patience: shape.patience,
    };
    let at = began.elapsed();
    let outcome = member.caller.chat(&call, |_| {}).await;
    let right = outcome.as_ref().is_ok_and(|t| is_right(&content, shape.max_tokens, &t.text));
    Record { organisation: member.organisation, key, outcome, right, at }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are in range")
}

/// Sums records up.
pub fn summarize(records: &[Record], took: Duration) -> Summary {
    let mut s = Summary { requests: records.len(), ..Summary::default() };
    let (mut first, mut between) = (histogram(), histogram());
    let mut tokens = 0;
    for r in records {
        match &r.outcome {
            Ok(t) => {
                s.answered += usize::from(r.right);
                s.wrong += usize::from(!r.right);
                s.resumed += usize::from(t.attempts > 1);
                tokens += t.tokens;
                // Histograms resize by themselves; a record cannot fail.
                let _ = first.record(t.first.as_micros() as u64);
                if t.tokens > 1 {
                    let gaps = t.total.saturating_sub(t.first).as_micros() as u64 / (t.tokens - 1);
                    let _ = between.record(gaps);
                }
            }
            Err(e) if e.kind == Kind::BudgetExhausted => s.refused_budget += 1,
            Err(_) => s.failed += 1,
        }
    }
    let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
    s.first_p50_ms = ms(&first, 0.50);
    s.first_p95_ms = ms(&first, 0.95);
    s.first_p99_ms = ms(&first, 0.99);
    s.between_p95_ms = ms(&between, 0.95);
    s.tokens_per_s = tokens as f64 / took.as_secs_f64();
    s
}
