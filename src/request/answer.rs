//! Assembles an answer from the pieces of a stream and checks each of them.

use compact_str::CompactString;

use crate::engine::{Piece, RunPiece, RunUsage};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, RunId};

/// Effect of a piece on the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PieceResult {
    /// The piece was the next token and was appended.
    Appended,
    /// The piece belongs to another run or repeats an earlier token, and was dropped.
    Dropped,
    /// The answer is complete.
    Complete(RunUsage),
}

/// The tokens of one answer, in order and without gaps.
#[derive(Clone, Debug, Default)]
pub struct AnswerAssembler {
    tokens: Vec<CompactString>,
    /// Number of dropped pieces: duplicates, late ones, and those of other runs.
    pub dropped: u64,
}

impl AnswerAssembler {
    /// Returns the tokens received so far.
    pub fn tokens(&self) -> &[CompactString] {
        &self.tokens
    }

    /// Adds a piece of `run`.
    ///
    /// # Errors
    ///
    /// Returns `TargetFailed` if a token is missing, or if the token count at the end does not
    /// match. The stream cannot be trusted then and has to be fetched again.
    pub fn append_piece(&mut self, run: &RunId, run_piece: RunPiece) -> Result<PieceResult> {
        if run_piece.run != *run {
            self.dropped += 1;
            return Ok(PieceResult::Dropped);
        }
        let have = self.tokens.len() as u64;
        match run_piece.piece {
            Piece::Token { offset, .. } if offset < have => {
                self.dropped += 1;
                Ok(PieceResult::Dropped)
            }
            Piece::Token { offset, .. } if offset > have => {
                let message = format!("token {offset} came, {have} was expected");
                Err(Error::new(Kind::TargetFailed, message))
            }
            Piece::Token { text, .. } => {
                self.tokens.push(text);
                Ok(PieceResult::Appended)
            }
            Piece::End(usage) if usage.tokens != have => {
                let message =
                    format!("the target ended at token {}, {have} are here", usage.tokens);
                Err(Error::new(Kind::TargetFailed, message))
            }
            Piece::End(usage) => Ok(PieceResult::Complete(usage)),
        }
    }

    /// Returns the digest of the answer's text, with which a caller can tell a complete answer from
    /// a truncated one.
    pub fn digest(&self) -> Digest {
        answer_digest(&self.tokens)
    }
}

/// Returns the digest of an answer's text, the concatenation of its tokens.
pub fn answer_digest(tokens: &[CompactString]) -> Digest {
    Digest::of(tokens.concat().as_bytes())
}
