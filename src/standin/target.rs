//! The target stand-in: a model engine and plain services over HTTP.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::stream;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use super::batch::{Batch, BatchSize};
use crate::engine::{LoadReport, Order, Piece, RunPiece, ServiceAnswer, ServiceCall, StartRun};
use crate::ids::{RequestKey, RunId};

/// How the stand-in misbehaves; the body of `POST /admin/faults`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// New runs are answered 503.
    pub refuse: bool,
    /// Runs are taken, and nothing more is said.
    pub silent: bool,
    /// Streams are cut after this many tokens.
    pub cut_after: Option<u64>,
    /// Every token is sent twice.
    pub repeat_tokens: bool,
    /// Every third token is preceded by one of another run.
    pub cross_runs: bool,
    /// Resumed streams start one token late.
    pub skip_on_resume: bool,
    /// The answer of a plain call is lost after it ran.
    pub lose_call_answers: bool,
    /// It says that it leaves.
    pub leaving: bool,
    /// Old fencing numbers are taken all the same.
    pub ignore_fence: bool,
    /// Added to each step, in milliseconds.
    pub slow_ms: u64,
}

/// What a stand-in is.
#[derive(Clone, Debug)]
pub struct TargetSetup {
    /// Models and plain services at the start.
    pub serves: Vec<CompactString>,
    /// Engine size.
    pub size: BatchSize,
    /// Time of one step, which gives each run in the batch a token.
    pub pace: Duration,
    /// Age of load reports.
    pub report_lag: Duration,
    /// Time to load a model.
    pub load_time: Duration,
}

impl Default for TargetSetup {
    fn default() -> TargetSetup {
        TargetSetup {
            serves: Vec::new(),
            size: BatchSize { slots: 16, cache_blocks: 4_096 },
            pace: Duration::from_millis(5),
            report_lag: Duration::from_millis(200),
            load_time: Duration::from_millis(500),
        }
    }
}

#[derive(Debug)]
struct Inside {
    batch: Batch,
    faults: TargetFaults,
    serves: Vec<CompactString>,
    fence: u64,
    reports: VecDeque<(Instant, LoadReport)>,
    calls: Vec<(RequestKey, u64)>,
    run_starts: Vec<RunId>,
    late_starts: u64,
    left_at: Option<Instant>,
}

/// A running stand-in, for those who start it in their own process.
#[derive(Clone, Debug)]
pub struct Target {
    setup: Arc<TargetSetup>,
    inside: Arc<Mutex<Inside>>,
    steps: watch::Sender<u64>,
}

impl Target {
    /// A target with its engine stepping.
    pub fn start(setup: TargetSetup) -> Target {
        let inside = Inside {
            batch: Batch::new(setup.size),
            faults: TargetFaults::default(),
            serves: setup.serves.clone(),
            fence: 0,
            reports: VecDeque::new(),
            calls: Vec::new(),
            run_starts: Vec::new(),
            late_starts: 0,
            left_at: None,
        };
        let (steps, _) = watch::channel(0);
        let target = Target { setup: Arc::new(setup), inside: Arc::new(Mutex::new(inside)), steps };
        tokio::spawn(target.clone().run());
        target
    }

    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().expect("no code panics while it holds the target")
    }

    /// Changes how it misbehaves.
    pub fn set_faults(&self, faults: TargetFaults) {
        let mut inside = self.lock();
        if faults.leaving && !inside.faults.leaving {
            inside.left_at = Some(Instant::now());
        }
        inside.faults = faults;
    }

    /// How often each plain call ran, by the caller's key.
    pub fn calls(&self) -> Vec<(RequestKey, u64)> {
        self.lock().calls.clone()
    }

    /// Runs that were started.
    pub fn started(&self) -> u64 {
        self.lock().batch.started
    }

    /// Prompt blocks found in the prefix cache, and looked for.
    pub fn cache_hits(&self) -> (u64, u64) {
        self.lock().batch.hits
    }

    async fn run(self) {
        loop {
            let slow = Duration::from_millis(self.lock().faults.slow_ms);
            tokio::time::sleep(self.setup.pace + slow).await;
            self.lock().batch.step();
            self.steps.send_modify(|n| *n += 1);
        }
    }

    fn report_now(&self, inside: &Inside) -> LoadReport {
        let (active, queued) = inside.batch.load();
        LoadReport {
            active,
            queued,
            slots: self.setup.size.slots as u32,
            age_ms: 0,
            serves: inside.serves.clone(),
            leaving: inside.faults.leaving,
            fence: inside.fence,
        }
    }

    /// The load as it was some time ago; its own leaving is told at once.
    fn report(&self) -> LoadReport {
        let mut inside = self.lock();
        let now = Instant::now();
        let newest = self.report_now(&inside);
        inside.reports.push_back((now, newest.clone()));
        let lag = self.setup.report_lag;
        while inside.reports.len() > 1 && now.duration_since(inside.reports[1].0) >= lag {
            inside.reports.pop_front();
        }
        let (at, old) = &inside.reports[0];
        let age_ms = now.duration_since(*at).as_millis() as u64;
        LoadReport { active: old.active, queued: old.queued, age_ms, ..newest }
    }

    /// The HTTP service.
    pub fn app(&self) -> axum::Router {
        axum::Router::new()
            .route("/v1/runs", post(start_run))
            .route("/v1/runs/{run}", get(resume_run))
            .route("/v1/cancel", post(cancel_run))
            .route("/v1/load", get(load))
            .route("/v1/orders", post(take_order))
            .route("/v1/call", post(call))
            .route("/admin/faults", post(set_faults))
            .route("/admin/counts", get(counts))
            .with_state(self.clone())
    }

    /// The pieces of a run from a token on, as lines.
    fn lines(&self, run: RunId, from: u64) -> Body {
        let state = (self.clone(), self.steps.subscribe(), run, from, false);
        let lines = stream::unfold(state, |(target, mut steps, run, at, over)| async move {
            if over {
                return None;
            }
            loop {
                steps.borrow_and_update();
                if let Some((text, next, over)) = target.next_lines(&run, at)? {
                    return Some((
                        Ok::<_, std::io::Error>(Bytes::from(text)),
                        (target, steps, run, next, over),
                    ));
                }
                steps.changed().await.ok()?;
            }
        });
        Body::from_stream(lines)
    }

    /// New lines from `at` on, the next place, and whether the run is over. `None` outside: the
    /// stream is cut. `None` inside: nothing new yet.
    #[allow(clippy::type_complexity)]
    fn next_lines(&self, run: &RunId, at: u64) -> Option<Option<(String, u64, bool)>> {
        let inside = self.lock();
        if inside.faults.silent {
            return Some(None);
        }
        let r = inside.batch.run(run)?;
        let mut out = String::new();
        let mut next = at;
        for text in r.tokens.iter().skip(at as usize) {
            if inside.faults.cut_after.is_some_and(|n| next >= n) {
                return (!out.is_empty()).then_some(Some((out, next, true)));
            }
            if inside.faults.cross_runs && next.is_multiple_of(3) {
                out += &line("other".parse().expect("a valid name"), next, text);
            }
            out += &line(run.clone(), next, text);
            if inside.faults.repeat_tokens {
                out += &line(run.clone(), next, text);
            }
            next += 1;
        }
        if r.is_whole() {
            let end = RunPiece { run: run.clone(), piece: Piece::End(r.usage()) };
            out += &serde_json::to_string(&end).expect("pieces serialize");
            out.push('\n');
        }
        if out.is_empty() && !r.is_over() {
            return Some(None);
        }
        Some(Some((out, next, r.is_over())))
    }
}

fn line(run: RunId, offset: u64, text: &CompactString) -> String {
    let part = RunPiece { run, piece: Piece::Token { offset, text: text.clone() } };
    serde_json::to_string(&part).expect("pieces serialize") + "\n"
}

async fn start_run(State(target): State<Target>, Json(req): Json<StartRun>) -> Response {
    {
        let mut inside = target.lock();
        if inside.faults.refuse {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        if !inside.serves.contains(&req.model) {
            return (StatusCode::SERVICE_UNAVAILABLE, "model is not loaded").into_response();
        }
        if inside.left_at.is_some_and(|at| at.elapsed() > LEAVING_GRACE) {
            inside.late_starts += 1;
        }
        inside.run_starts.push(req.run.clone());
        inside.batch.start(&req);
    }
    target.lines(req.run, req.so_far.len() as u64).into_response()
}

/// After this time a leaving target must get nothing new; what comes all the same is counted.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

#[derive(Debug)]
#[derive(Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

async fn resume_run(
    State(target): State<Target>,
    Path(run): Path<String>,
    Query(at): Query<From>,
) -> Response {
    let Ok(run) = run.parse::<RunId>() else { return StatusCode::BAD_REQUEST.into_response() };
    let skip = {
        let inside = target.lock();
        if inside.batch.run(&run).is_none() {
            return StatusCode::NOT_FOUND.into_response();
        }
        u64::from(inside.faults.skip_on_resume)
    };
    target.lines(run, at.from + skip).into_response()
}

async fn cancel_run(State(target): State<Target>, Json(run): Json<RunId>) -> Response {
    Json(target.lock().batch.cancel(&run)).into_response()
}

async fn load(State(target): State<Target>) -> Response {
    Json(target.report()).into_response()
}

async fn take_order(State(target): State<Target>, Json(order): Json<Order>) -> Response {
    {
        let mut inside = target.lock();
        if order.fence < inside.fence && !inside.faults.ignore_fence {
            return StatusCode::CONFLICT.into_response();
        }
        inside.fence = order.fence;
        inside.serves.retain(|s| order.load.contains(s));
    }
    tokio::spawn(async move {
        tokio::time::sleep(target.setup.load_time).await;
        let mut inside = target.lock();
        if inside.fence == order.fence {
            inside.serves = order.load;
        }
    });
    Json(()).into_response()
}

async fn call(State(target): State<Target>, Json(call): Json<ServiceCall>) -> Response {
    let (lost, nth) = {
        let mut inside = target.lock();
        if inside.faults.refuse || !inside.serves.contains(&call.service) {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let place =
            inside.calls.binary_search_by(|(k, _)| k.cmp(&call.key)).unwrap_or_else(|place| {
                inside.calls.insert(place, (call.key.clone(), 0));
                place
            });
        inside.calls[place].1 += 1;
        (inside.faults.lose_call_answers, inside.calls[place].1)
    };
    if lost {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let body = serde_json::json!({ "service": call.service, "path": call.path, "nth": nth });
    Json(ServiceAnswer { status: 200, body: body.to_string() }).into_response()
}

async fn set_faults(State(target): State<Target>, Json(faults): Json<TargetFaults>) -> Response {
    target.set_faults(faults);
    Json(()).into_response()
}

async fn counts(State(target): State<Target>) -> Response {
    let inside = target.lock();
    let calls: Vec<(&str, u64)> = inside.calls.iter().map(|(k, n)| (k.as_str(), *n)).collect();
    let body = serde_json::json!({
        "started": inside.batch.started,
        "late_starts": inside.late_starts,
        "cache_hits": inside.batch.hits.0,
        "cache_lookups": inside.batch.hits.1,
        "calls": calls,
        "runs": inside.run_starts,
    });
    Json(body).into_response()
}
