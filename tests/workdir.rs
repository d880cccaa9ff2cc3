//! Helpers shared by several tests: names, bills, and fakes of targets and backups.

use std::str::FromStr;
use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use kingcupwall::budget::ledger::Bill;
use kingcupwall::budget::reclaim::{AddressLookup, BackupSealer};
use kingcupwall::budget::witness::{HoldCopy, Witness};
use kingcupwall::engine::{
    CancelOutcome, Engine, LoadReport, Order, Piece, PieceStream, RunPiece, RunUsage,
    ServiceAnswer, ServiceCall, StartRun,
};
use kingcupwall::error::{Error, Kind, Result};
use kingcupwall::ids::{Digest, Incarnation, RunId, TargetId, Tokens};

/// Parses a name, id or address that is known to be valid.
pub fn name<T: FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("tests use valid names")
}

/// Returns a bill of organisation `acme` for the request with this key.
pub fn bill(key: &str, run: &str, cost: u64) -> Bill {
    Bill {
        organisation: name("acme"),
        key: name(key),
        content: Digest::of(b"content"),
        budget: name("acme/main"),
        run: name(run),
        cost: Tokens(cost),
    }
}

/// State of a run at a fake target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FakeRun {
    /// The run ended at this cost.
    Ended(u64),
    /// The run was cancelled before it started, and must not start any more.
    Forbidden,
}

/// Fake target that knows some runs and can be made unreachable.
#[derive(Clone, Debug, Default)]
pub struct FakeEngine {
    /// Known runs, in the order in which they were added.
    pub runs: Arc<Mutex<Vec<(RunId, FakeRun)>>>,
    /// Whether the target is unreachable.
    pub away: Arc<Mutex<bool>>,
}

impl FakeEngine {
    /// Adds a run that ended at `cost`.
    pub fn ended(&self, run: &str, cost: u64) {
        self.runs.lock().unwrap().push((name(run), FakeRun::Ended(cost)));
    }

    fn reachable(&self) -> Result<()> {
        match *self.away.lock().unwrap() {
            true => Err(Error::new(Kind::NoTarget, "the fake target is away")),
            false => Ok(()),
        }
    }

    fn find(&self, run: &RunId) -> Option<FakeRun> {
        self.runs.lock().unwrap().iter().find(|(r, _)| r == run).map(|(_, f)| *f)
    }

    /// Returns whether a run may still start at this target.
    pub fn may_start(&self, run: &str) -> bool {
        self.find(&name(run)).is_none()
    }
}

/// Stream of a fake run: only its end.
#[derive(Debug)]
pub struct FakeRunStream(Option<RunPiece>);

impl PieceStream for FakeRunStream {
    async fn next(&mut self) -> Result<Option<RunPiece>> {
        Ok(self.0.take())
    }
}

fn usage(cost: u64) -> RunUsage {
    RunUsage { prompt_tokens: 0, tokens: cost }
}

impl Engine for FakeEngine {
    type PieceStream = FakeRunStream;

    async fn start(&self, _: &str, run: &StartRun) -> Result<FakeRunStream> {
        self.resume("", &run.run, 0).await
    }

    async fn resume(&self, _: &str, run: &RunId, _: u64) -> Result<FakeRunStream> {
        self.reachable()?;
        match self.find(run) {
            Some(FakeRun::Ended(cost)) => Ok(FakeRunStream(Some(RunPiece {
                run: run.clone(),
                piece: Piece::End(usage(cost)),
            }))),
            _ => Err(Error::new(Kind::RunLost, "not known")),
        }
    }

    async fn cancel(&self, _: &str, run: &RunId) -> Result<CancelOutcome> {
        self.reachable()?;
        match self.find(run) {
            Some(FakeRun::Ended(cost)) => Ok(CancelOutcome::Ended(usage(cost))),
            Some(FakeRun::Forbidden) => Ok(CancelOutcome::NeverRan),
            None => {
                self.runs.lock().unwrap().push((run.clone(), FakeRun::Forbidden));
                Ok(CancelOutcome::NeverRan)
            }
        }
    }

    async fn report(&self, _: &str) -> Result<LoadReport> {
        Ok(LoadReport::default())
    }

    async fn order(&self, _: &str, _: &Order) -> Result<()> {
        Ok(())
    }

    async fn call(&self, _: &str, _: &ServiceCall) -> Result<ServiceAnswer> {
        Ok(ServiceAnswer { status: 200, body: String::new() })
    }
}

/// Resolves every target to the same address.
#[derive(Clone, Copy, Debug)]
pub struct SameAddress;

impl AddressLookup for SameAddress {
    fn addr(&self, _: &TargetId) -> Option<CompactString> {
        Some(CompactString::const_new("127.0.0.1:1"))
    }
}

/// Fake backup witness that can be made unreachable.
#[derive(Clone, Debug, Default)]
pub struct FakeBackup {
    /// Copies kept by the backup.
    pub witness: Arc<Mutex<Witness>>,
    /// Whether the backup is unreachable.
    pub away: Arc<Mutex<bool>>,
}

impl BackupSealer for FakeBackup {
    async fn seal_at(&self, _: &Incarnation, holder: &Incarnation) -> Result<Vec<HoldCopy>> {
        match *self.away.lock().unwrap() {
            true => Err(Error::new(Kind::Timeout, "the fake backup is away")),
            false => Ok(self.witness.lock().unwrap().seal(holder)),
        }
    }
}
