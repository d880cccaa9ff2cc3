//! Platform stand-in: row table, object store and instance list over HTTP.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Json;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::error::{Error, Kind};
use crate::table::memory::{Faults, MemoryPlatform};
use crate::table::{Instance, InstanceList, ObjectStore, RowKey, Table, Txn};

/// Faults to inject; the body of `POST /admin/faults`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call fails.
    pub away: bool,
    /// Added to the duration of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes, from the next one on, that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Number of writes by which reads are stale.
    pub stale_writes: usize,
}

/// Rate limits and delays of the stand-in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformLimits {
    /// Transactions per second.
    pub writes_per_s: u32,
    /// Reads per second.
    pub reads_per_s: u32,
    /// Time until a change is visible in the instance list.
    pub list_lag: Duration,
}

impl Default for PlatformLimits {
    fn default() -> PlatformLimits {
        PlatformLimits { writes_per_s: 300, reads_per_s: 2_000, list_lag: Duration::from_secs(1) }
    }
}

/// Delays calls to keep a steady rate.
#[derive(Debug)]
struct RateLimiter {
    gap: Duration,
    next: Mutex<Instant>,
}

/// Maximum number of calls that pass without delay after an idle period.
const BURST_CALLS: u32 = 50;

impl RateLimiter {
    fn new(per_s: u32) -> RateLimiter {
        RateLimiter { gap: Duration::from_secs(1) / per_s.max(1), next: Mutex::new(Instant::now()) }
    }

    async fn acquire(&self) {
        let at = {
            let mut next = self.next.lock().expect("no code panics while it holds the pacer");
            let earliest =
                Instant::now().checked_sub(self.gap * BURST_CALLS).unwrap_or_else(Instant::now);
            *next = (*next).max(earliest) + self.gap;
            *next
        };
        tokio::time::sleep_until(at).await;
    }
}

#[derive(Debug)]
struct PlatformState {
    memory: MemoryPlatform,
    slow: Mutex<Duration>,
    writes: RateLimiter,
    reads: RateLimiter,
    list_delay: Duration,
    list_history: Mutex<Vec<(Instant, Vec<Instance>)>>,
}

type App = State<Arc<PlatformState>>;
type ApiResult = std::result::Result<Response, ErrorResponse>;

struct ErrorResponse(Error);

impl From<Error> for ErrorResponse {
    fn from(e: Error) -> ErrorResponse {
        ErrorResponse(e)
    }
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        let status = match self.0.kind {
            Kind::NotFound => StatusCode::NOT_FOUND,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, self.0.message).into_response()
    }
}

/// The stand-in's HTTP service on top of `memory`.
pub fn platform_app(memory: MemoryPlatform, limits: PlatformLimits) -> axum::Router {
    let state = PlatformState {
        memory,
        slow: Mutex::new(Duration::ZERO),
        writes: RateLimiter::new(limits.writes_per_s),
        reads: RateLimiter::new(limits.reads_per_s),
        list_delay: limits.list_lag,
        list_history: Mutex::new(Vec::new()),
    };
    axum::Router::new()
        .route("/table/read", post(read))
        .route("/table/scan", post(scan))
        .route("/table/write", post(write))
        .route("/objects/{*name}", get(get_object).put(put_object))
        .route("/instances/list", post(list))
        .route("/admin/instances", post(put_instance))
        .route("/admin/faults", post(set_faults))
        .route("/admin/counts", get(counts))
        .layer(axum::extract::DefaultBodyLimit::max(256 << 20))
        .with_state(Arc::new(state))
}

impl PlatformState {
    async fn delay(&self) {
        let slow = *self.slow.lock().expect("no code panics while it holds this lock");
        if !slow.is_zero() {
            sleep(slow).await;
        }
    }
}

async fn read(State(app): App, Json(keys): Json<Vec<RowKey>>) -> ApiResult {
    app.reads.acquire().await;
    app.delay().await;
    Ok(Json(app.memory.read(keys).await?).into_response())
}

async fn scan(
    State(app): App,
    Json((prefix, after, limit)): Json<(RowKey, RowKey, usize)>,
) -> ApiResult {
    app.reads.acquire().await;
    app.delay().await;
    Ok(Json(app.memory.scan(prefix, after, limit).await?).into_response())
}

async fn write(State(app): App, Json(txn): Json<Txn>) -> ApiResult {
    app.writes.acquire().await;
    app.delay().await;
    Ok(Json(app.memory.write(txn).await?).into_response())
}

async fn get_object(State(app): App, Path(name): Path<String>) -> ApiResult {
    app.delay().await;
    Ok(app.memory.get(name.into()).await?.into_response())
}

async fn put_object(State(app): App, Path(name): Path<String>, body: Bytes) -> ApiResult {
    app.delay().await;
    app.memory.put(name.into(), body.to_vec()).await?;
    Ok(StatusCode::OK.into_response())
}

/// Returns the instance list as of `list_delay` ago.
async fn list(State(app): App) -> ApiResult {
    app.delay().await;
    let newest = app.memory.list().await?;
    let mut history = app.list_history.lock().expect("no code panics while it holds this lock");
    let now = Instant::now();
    if history.last().is_none_or(|(_, l)| *l != newest) {
        history.push((now, newest));
    }
    let first_needed =
        history.iter().rposition(|(at, _)| now.duration_since(*at) >= app.list_delay);
    history.drain(..first_needed.unwrap_or(0));
    Ok(Json(history[0].1.clone()).into_response())
}

async fn put_instance(State(app): App, Json(instance): Json<Instance>) -> ApiResult {
    app.memory.put_instance(instance);
    Ok(Json(()).into_response())
}

async fn set_faults(State(app): App, Json(f): Json<PlatformFaults>) -> ApiResult {
    *app.slow.lock().expect("no code panics while it holds this lock") =
        Duration::from_millis(f.slow_ms);
    app.memory.set_faults(Faults {
        away: f.away,
        lose_answers: f.lose_answers,
        stale_writes: f.stale_writes,
    });
    Ok(Json(()).into_response())
}

async fn counts(State(app): App) -> ApiResult {
    let c = app.memory.counts();
    Ok(Json(serde_json::json!({ "txns": c.txns, "rows": c.rows, "reads": c.reads }))
        .into_response())
}
