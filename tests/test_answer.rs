//! Assembly of answers, and decisions after failed attempts.

use kingcupwall::engine::{Piece, RunPiece, RunUsage};
use kingcupwall::error::{Kind, NotRun};
use kingcupwall::request::answer::{AnswerAssembler, PieceResult};
use kingcupwall::request::stage::{Next, Repeatable, Stage, after_failure, not_run};
use rstest::rstest;

use crate::workdir::name;

fn token(run: &str, offset: u64) -> RunPiece {
    RunPiece { run: name(run), piece: Piece::Token { offset, text: format!(" t{offset}").into() } }
}

fn end(run: &str, tokens: u64) -> RunPiece {
    RunPiece { run: name(run), piece: Piece::End(RunUsage { prompt_tokens: 3, tokens }) }
}

#[test]
fn append_piece_duplicate_or_of_other_run() {
    // Guards against an answer with duplicate tokens or tokens of another request. A target repeats
    // a piece after a reconnect and then sends a piece of another run. Pieces carry their run and
    // offset, so both are dropped and counted.
    let mut a = AnswerAssembler::default();
    let run = name("r1");
    assert_eq!(a.append_piece(&run, token("r1", 0)), Ok(PieceResult::Appended));
    assert_eq!(a.append_piece(&run, token("r1", 0)), Ok(PieceResult::Dropped));
    assert_eq!(a.append_piece(&run, token("r2", 1)), Ok(PieceResult::Dropped));
    assert_eq!(a.append_piece(&run, token("r1", 1)), Ok(PieceResult::Appended));
    assert_eq!(a.tokens().concat(), " t0 t1");
    assert_eq!(a.dropped, 2);
    let usage = RunUsage { prompt_tokens: 3, tokens: 2 };
    assert_eq!(a.append_piece(&run, end("r1", 2)), Ok(PieceResult::Complete(usage)));
}

#[test]
fn append_piece_missing_token() {
    // Guards against an answer with tokens missing in the middle that looks complete. A target
    // resumes a stream one token too late. The offset shows the gap, and the stream is rejected.
    let mut a = AnswerAssembler::default();
    a.append_piece(&name("r1"), token("r1", 0)).unwrap();
    let e = a.append_piece(&name("r1"), token("r1", 2)).unwrap_err();
    assert_eq!(e.kind, Kind::TargetFailed);
    assert_eq!(a.tokens().len(), 1);
}

#[test]
fn append_piece_early_end() {
    let mut a = AnswerAssembler::default();
    a.append_piece(&name("r1"), token("r1", 0)).unwrap();
    assert_eq!(a.append_piece(&name("r1"), end("r1", 5)).unwrap_err().kind, Kind::TargetFailed);
}

#[rstest]
#[case(Stage::Held, NotRun::Yes)]
#[case(Stage::Claimed, NotRun::Yes)]
#[case(Stage::Protected, NotRun::Yes)]
#[case(Stage::Dispatched, NotRun::Unknown)]
#[case(Stage::Streaming, NotRun::No)]
#[case(Stage::Billed, NotRun::No)]
fn not_run_stages(#[case] stage: Stage, #[case] expected: NotRun) {
    assert_eq!(not_run(stage), expected);
}

#[rstest]
#[case::refused_connect_may_go_elsewhere(
    Stage::Dispatched,
    Repeatable::No,
    Kind::NoTarget,
    true,
    Next::Retry
)]
#[case::lost_answer_is_unknown(
    Stage::Dispatched,
    Repeatable::No,
    Kind::TargetFailed,
    true,
    Next::GiveUp(Kind::OutcomeUnknown)
)]
#[case::late_answer_is_unknown(
    Stage::Dispatched,
    Repeatable::No,
    Kind::Timeout,
    true,
    Next::GiveUp(Kind::OutcomeUnknown)
)]
#[case::repeatable_is_retried(
    Stage::Streaming,
    Repeatable::Yes,
    Kind::TargetFailed,
    true,
    Next::Retry
)]
#[case::retry_budget_is_spent(
    Stage::Streaming,
    Repeatable::Yes,
    Kind::TargetFailed,
    false,
    Next::GiveUp(Kind::TargetFailed)
)]
#[case::no_target_and_no_retry_budget(
    Stage::Dispatched,
    Repeatable::No,
    Kind::NoTarget,
    false,
    Next::GiveUp(Kind::NoTarget)
)]
fn after_failure_cases(
    #[case] stage: Stage,
    #[case] repeatable: Repeatable,
    #[case] kind: Kind,
    #[case] has_budget: bool,
    #[case] expected: Next,
) {
    assert_eq!(after_failure(stage, repeatable, kind, has_budget), expected);
}
