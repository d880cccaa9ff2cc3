//! Answers piece by piece.

use kingcupwall::engine::{Piece, RunPiece, RunUsage};
use kingcupwall::error::{Kind, NotRun};
use kingcupwall::request::answer::{Assembler, Taken};
use kingcupwall::request::life::{Next, Repeatable, Stage, after_failure, not_run};
use rstest::rstest;

use crate::workdir::name;

fn token(run: &str, offset: u64) -> RunPiece {
    RunPiece { run: name(run), piece: Piece::Token { offset, text: format!(" t{offset}").into() } }
}

fn end(run: &str, tokens: u64) -> RunPiece {
    RunPiece { run: name(run), piece: Piece::End(RunUsage { prompt_tokens: 3, tokens }) }
}

#[test]
fn take_repeated_and_crossed_pieces() {
    // A caller sees words twice, or another caller's words in its answer.
    // A target sends a piece again after a reconnect, then one of another run, and then goes on.
    // The pieces carry run and offset, so both are dropped and counted.
    let mut a = Assembler::default();
    let run = name("r1");
    assert_eq!(a.take(&run, token("r1", 0)), Ok(Taken::Grew));
    assert_eq!(a.take(&run, token("r1", 0)), Ok(Taken::Dropped));
    assert_eq!(a.take(&run, token("r2", 1)), Ok(Taken::Dropped));
    assert_eq!(a.take(&run, token("r1", 1)), Ok(Taken::Grew));
    assert_eq!(a.tokens().concat(), " t0 t1");
    assert_eq!(a.dropped, 2);
    let usage = RunUsage { prompt_tokens: 3, tokens: 2 };
    assert_eq!(a.take(&run, end("r1", 2)), Ok(Taken::Whole(usage)));
}

#[test]
fn take_hole_in_stream() {
    // A caller gets an answer with words missing in the middle and believes it whole.
    // A target resumes a stream one token too late.
    // The hole shows in the offset, and the stream is refused.
    let mut a = Assembler::default();
    a.take(&name("r1"), token("r1", 0)).unwrap();
    let e = a.take(&name("r1"), token("r1", 2)).unwrap_err();
    assert_eq!(e.kind, Kind::TargetFailed);
    assert_eq!(a.tokens().len(), 1);
}

#[test]
fn take_early_end() {
    let mut a = Assembler::default();
    a.take(&name("r1"), token("r1", 0)).unwrap();
    assert_eq!(a.take(&name("r1"), end("r1", 5)).unwrap_err().kind, Kind::TargetFailed);
}

#[rstest]
#[case(Stage::Held, NotRun::Yes)]
#[case(Stage::Claimed, NotRun::Yes)]
#[case(Stage::Covered, NotRun::Yes)]
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
#[case::repeatable_goes_on(
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
#[case::nobody_connects(
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
