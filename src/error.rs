//! The error type of the library. Each kind of error determines the HTTP status, whether a retry
//! makes sense, and the exit code.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request that failed is known not to have been executed. Callers need this to decide
/// whether a retry is safe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The request was not executed: it reached no target, and will reach none.
    Yes,
    /// A target executed the request, or part of it.
    No,
    /// A target may have executed the request.
    Unknown,
}

/// Every way in which an operation can fail.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request cannot be parsed or lacks a field.
    BadRequest,
    /// The API key is absent or matches no organisation.
    Unauthorized,
    /// No service, model or path of that name is configured.
    NotFound,
    /// The request body is larger than the router accepts.
    TooLarge,
    /// The idempotency key was used before with other content.
    KeyReused,
    /// The rest of the budget is smaller than the largest possible cost of this request.
    BudgetExhausted,
    /// The organisation has too many requests in flight or queued.
    OrganisationLimit,
    /// The request was rejected by load shedding, because of its priority.
    Shed,
    /// No healthy target serves the model or service.
    NoTarget,
    /// The platform, which the operation needs, cannot be reached.
    PlatformAway,
    /// The router is draining and accepts no new requests.
    Draining,
    /// The deadline passed before the answer was complete.
    Timeout,
    /// The target failed while it executed the request.
    TargetFailed,
    /// A non-idempotent call was sent to a target, and its outcome is not known.
    OutcomeUnknown,
    /// No router holds the run named by `Last-Event-ID` any more, so it cannot be resumed.
    RunLost,
    /// A concurrent submission or write came first.
    Conflict,
    /// A configuration or settings file has errors.
    BadConfig,
    /// A stored object or frame is damaged, or its format is newer than this program.
    BadFormat,
    /// The sender was replaced: its fencing token or incarnation is out of date.
    Fenced,
    /// A local I/O error of a file, a socket or a listener.
    Io,
}

/// How an error of some kind is reported to callers and operators.
#[derive(Clone, Copy, Debug)]
pub struct ErrorAttributes {
    /// Name in JSON bodies and logs.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Whether the same request may be retried unchanged.
    pub retryable: bool,
    /// Whether the request is known not to have been executed.
    pub not_run: NotRun,
    /// Value of the `Retry-After` header in seconds. With 0 the header is not sent.
    pub retry_after: u32,
    /// Exit code of a command that fails with this kind.
    pub exit: u8,
}

/// Positional constructor for the table in [`Kind::attrs`].
const fn row(
    name: &'static str,
    status: u16,
    retryable: bool,
    not_run: NotRun,
    retry_after: u32,
    exit: u8,
) -> ErrorAttributes {
    ErrorAttributes { name, status, retryable, not_run, retry_after, exit }
}

impl Kind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Kind; 20] = [
        Kind::BadRequest,
        Kind::Unauthorized,
        Kind::NotFound,
        Kind::TooLarge,
        Kind::KeyReused,
        Kind::BudgetExhausted,
        Kind::OrganisationLimit,
        Kind::Shed,
        Kind::NoTarget,
        Kind::PlatformAway,
        Kind::Draining,
        Kind::Timeout,
        Kind::TargetFailed,
        Kind::OutcomeUnknown,
        Kind::RunLost,
        Kind::Conflict,
        Kind::BadConfig,
        Kind::BadFormat,
        Kind::Fenced,
        Kind::Io,
    ];

    /// Returns how errors of this kind are reported.
    pub const fn attrs(self) -> ErrorAttributes {
        use NotRun::{No, Unknown, Yes};
        match self {
            Kind::BadRequest => row("bad_request", 400, false, Yes, 0, 2),
            Kind::Unauthorized => row("unauthorized", 401, false, Yes, 0, 3),
            Kind::NotFound => row("not_found", 404, false, Yes, 0, 4),
            Kind::TooLarge => row("too_large", 413, false, Yes, 0, 2),
            Kind::KeyReused => row("key_reused", 422, false, Yes, 0, 5),
            Kind::BudgetExhausted => row("budget_exhausted", 402, true, Yes, 5, 6),
            Kind::OrganisationLimit => row("organisation_limit", 429, true, Yes, 1, 7),
            Kind::Shed => row("shed", 503, true, Yes, 1, 7),
            Kind::NoTarget => row("no_target", 503, true, Yes, 1, 8),
            Kind::PlatformAway => row("platform_away", 503, true, Yes, 2, 9),
            Kind::Draining => row("draining", 503, true, Yes, 1, 8),
            Kind::Timeout => row("timeout", 504, true, Unknown, 1, 10),
            Kind::TargetFailed => row("target_failed", 502, true, No, 1, 11),
            Kind::OutcomeUnknown => row("outcome_unknown", 504, false, Unknown, 0, 12),
            Kind::RunLost => row("run_lost", 410, true, No, 0, 11),
            Kind::Conflict => row("conflict", 409, false, Yes, 0, 13),
            Kind::BadConfig => row("bad_config", 400, false, Yes, 0, 14),
            Kind::BadFormat => row("bad_format", 400, false, Yes, 0, 15),
            Kind::Fenced => row("fenced", 409, false, Yes, 0, 13),
            Kind::Io => row("io", 500, true, Unknown, 1, 1),
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.attrs().name)
    }
}

/// An error of the library.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Determines HTTP status, retries and exit code.
    pub kind: Kind,
    /// A description for people: what failed, and where.
    pub message: String,
}

/// Result type of the library.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an error of `kind` with `message`.
    pub fn new(kind: Kind, message: impl Into<String>) -> Error {
        Error { kind, message: message.into() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Error {
        Error::new(Kind::Io, e.to_string())
    }
}

impl From<serde_json::Error> for Error {
    fn from(e: serde_json::Error) -> Error {
        Error::new(Kind::BadFormat, e.to_string())
    }
}

impl From<reqwest::Error> for Error {
    fn from(e: reqwest::Error) -> Error {
        let kind = if e.is_timeout() { Kind::Timeout } else { Kind::Io };
        Error::new(kind, e.without_url().to_string())
    }
}
