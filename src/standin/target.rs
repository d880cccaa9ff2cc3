//! Target stand-in: a model engine and plain services over HTTP.

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

use super::batch::{BatchEngine, EngineSize};
use crate::engine::{LoadReport, Order, Piece, RunPiece, ServiceAnswer, ServiceCall, StartRun};
use crate::ids::{RequestKey, RunId};

/// Faults to inject; the body of `POST /admin/faults`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Rejects new runs and calls with status 503.
    pub refuse: bool,
    /// Accepts runs but sends nothing.
    pub silent: bool,
    /// Ends streams after this many tokens.
    pub cut_after: Option<u64>,
    /// Sends every token twice.
    pub repeat_tokens: bool,
    /// Sends a token of another run before every third token.
    pub cross_runs: bool,
    /// Starts resumed streams one token late.
    pub skip_on_resume: bool,
    /// Runs plain calls but loses their answers.
    pub lose_call_answers: bool,
    /// Announces in load reports that the target is about to stop.
    pub leaving: bool,
    /// Accepts orders with outdated fencing tokens.
    pub ignore_fence: bool,
    /// Added to the duration of each step, in milliseconds.
    pub slow_ms: u64,
}

/// Configuration of a stand-in.
#[derive(Clone, Debug)]
pub struct TargetSetup {
    /// Models and plain services that are loaded at the start.
    pub serves: Vec<CompactString>,
    /// Capacity of the engine.
    pub size: EngineSize,
    /// Duration of one step, which generates one token for each run in the batch.
    pub step_time: Duration,
    /// Age of the load reports.
    pub report_lag: Duration,
    /// Time to load a model.
    pub load_time: Duration,
}

impl Default for TargetSetup {
    fn default() -> TargetSetup {
        TargetSetup {
            serves: Vec::new(),
            size: EngineSize { slots: 16, cache_blocks: 4_096 },
            step_time: Duration::from_millis(5),
            report_lag: Duration::from_millis(200),
            load_time: Duration::from_millis(500),
        }
    }
}

#[derive(Debug)]
struct EngineState {
    batch: BatchEngine,
    faults: TargetFaults,
    serves: Vec<CompactString>,
    fence: u64,
    reports: VecDeque<(Instant, LoadReport)>,
    calls: Vec<(RequestKey, u64)>,
    run_starts: Vec<RunId>,
    late_starts: u64,
    leaving_since: Option<Instant>,
}

/// A running stand-in. Clones share its state.
#[derive(Clone, Debug)]
pub struct Target {
    setup: Arc<TargetSetup>,
    state: Arc<Mutex<EngineState>>,
    steps: watch::Sender<u64>,
}

impl Target {
    /// Starts a target and its engine.
    pub fn start(setup: TargetSetup) -> Target {
        let state = EngineState {
            batch: BatchEngine::new(setup.size),
            faults: TargetFaults::default(),
            serves: setup.serves.clone(),
            fence: 0,
            reports: VecDeque::new(),
            calls: Vec::new(),
            run_starts: Vec::new(),
            late_starts: 0,
            leaving_since: None,
        };
        let (steps, _) = watch::channel(0);
        let target = Target { setup: Arc::new(setup), state: Arc::new(Mutex::new(state)), steps };
        tokio::spawn(target.clone().run_engine());
        target
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no code panics while it holds the target")
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        let mut state = self.lock();
        if faults.leaving && !state.faults.leaving {
            state.leaving_since = Some(Instant::now());
        }
        state.faults = faults;
    }

    /// Number of executions of each plain call, by the caller's key.
    pub fn calls(&self) -> Vec<(RequestKey, u64)> {
        self.lock().calls.clone()
    }

    /// Number of runs started.
    pub fn started(&self) -> u64 {
        self.lock().batch.started
    }

    /// Number of prompt blocks found in the prefix cache, and number of lookups.
    pub fn cache_hits(&self) -> (u64, u64) {
        self.lock().batch.block_hits
    }

    async fn run_engine(self) {
        loop {
            let slow = Duration::from_millis(self.lock().faults.slow_ms);
            tokio::time::sleep(self.setup.step_time + slow).await;
            self.lock().batch.step();
            self.steps.send_modify(|n| *n += 1);
        }
    }

    fn report_now(&self, state: &EngineState) -> LoadReport {
        let (active, queued) = state.batch.load();
        LoadReport {
            active,
            queued,
            slots: self.setup.size.slots as u32,
            age_ms: 0,
            serves: state.serves.clone(),
            leaving: state.faults.leaving,
            fence: state.fence,
        }
    }

    /// The load as of `report_lag` ago. The announcement to leave, the services and the fencing
    /// token are current.
    fn report(&self) -> LoadReport {
        let mut state = self.lock();
        let now = Instant::now();
        let newest = self.report_now(&state);
        state.reports.push_back((now, newest.clone()));
        let lag = self.setup.report_lag;
        while state.reports.len() > 1 && now.duration_since(state.reports[1].0) >= lag {
            state.reports.pop_front();
        }
        let (at, old) = &state.reports[0];
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

    /// The answer of a run from token `from` on, as a stream of JSON lines.
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

    /// Returns the new lines from token `at` on, the next token's index, and whether the run is
    /// over. Returns `None` if the stream is cut or the run is unknown, and `Some(None)` if there
    /// is nothing new yet.
    #[allow(clippy::type_complexity)]
    fn next_lines(&self, run: &RunId, at: u64) -> Option<Option<(String, u64, bool)>> {
        let state = self.lock();
        if state.faults.silent {
            return Some(None);
        }
        let r = state.batch.run(run)?;
        let mut out = String::new();
        let mut next = at;
        for text in r.tokens.iter().skip(at as usize) {
            if state.faults.cut_after.is_some_and(|n| next >= n) {
                return (!out.is_empty()).then_some(Some((out, next, true)));
            }
            if state.faults.cross_runs && next.is_multiple_of(3) {
                out += &line("other".parse().expect("a valid name"), next, text);
            }
            out += &line(run.clone(), next, text);
            if state.faults.repeat_tokens {
                out += &line(run.clone(), next, text);
            }
            next += 1;
        }
        if r.is_complete() {
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
        let mut state = target.lock();
        if state.faults.refuse {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        if !state.serves.contains(&req.model) {
            return (StatusCode::SERVICE_UNAVAILABLE, "model is not loaded").into_response();
        }
        if state.leaving_since.is_some_and(|at| at.elapsed() > LEAVING_GRACE) {
            state.late_starts += 1;
        }
        state.run_starts.push(req.run.clone());
        state.batch.start(&req);
    }
    target.lines(req.run, req.so_far.len() as u64).into_response()
}

/// Time after the announcement to leave from which new runs are counted as late.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

#[derive(Debug)]
#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: u64,
}

async fn resume_run(
    State(target): State<Target>,
    Path(run): Path<String>,
    Query(at): Query<ResumeQuery>,
) -> Response {
    let Ok(run) = run.parse::<RunId>() else { return StatusCode::BAD_REQUEST.into_response() };
    let skip = {
        let state = target.lock();
        if state.batch.run(&run).is_none() {
            return StatusCode::NOT_FOUND.into_response();
        }
        u64::from(state.faults.skip_on_resume)
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
        let mut state = target.lock();
        if order.fence < state.fence && !state.faults.ignore_fence {
            return StatusCode::CONFLICT.into_response();
        }
        state.fence = order.fence;
        state.serves.retain(|s| order.load.contains(s));
    }
    tokio::spawn(async move {
        tokio::time::sleep(target.setup.load_time).await;
        let mut state = target.lock();
        if state.fence == order.fence {
            state.serves = order.load;
        }
    });
    Json(()).into_response()
}

async fn call(State(target): State<Target>, Json(call): Json<ServiceCall>) -> Response {
    let (lost, nth) = {
        let mut state = target.lock();
        if state.faults.refuse || !state.serves.contains(&call.service) {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let index =
            state.calls.binary_search_by(|(k, _)| k.cmp(&call.key)).unwrap_or_else(|index| {
                state.calls.insert(index, (call.key.clone(), 0));
                index
            });
        state.calls[index].1 += 1;
        (state.faults.lose_call_answers, state.calls[index].1)
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
    let state = target.lock();
    let calls: Vec<(&str, u64)> = state.calls.iter().map(|(k, n)| (k.as_str(), *n)).collect();
    let body = serde_json::json!({
        "started": state.batch.started,
        "late_starts": state.late_starts,
        "cache_hits": state.batch.block_hits.0,
        "cache_lookups": state.batch.block_hits.1,
        "calls": calls,
        "runs": state.run_starts,
    });
    Json(body).into_response()
}
