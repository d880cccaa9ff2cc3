//! An answer as it grows, checked piece by piece.

use compact_str::CompactString;

use crate::engine::{Piece, RunPiece, RunUsage};
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, RunId};

/// What a piece did to the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// The answer grew.
    Grew,
    /// The piece is of another run, or was here already. Dropped.
    Dropped,
    /// The answer is whole.
    Whole(RunUsage),
}

/// The tokens of one answer, in order, without holes.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    tokens: Vec<CompactString>,
    /// Pieces that were late, doubled or of another run.
    pub dropped: u64,
}

impl Assembler {
    /// The tokens so far.
    pub fn tokens(&self) -> &[CompactString] {
        &self.tokens
    }

    /// Takes a piece of `run`.
    ///
    /// # Errors
    /// `TargetFailed` for a hole, or an end that does not match the tokens: the stream cannot be
    /// trusted and has to be fetched again.
    pub fn take(&mut self, run: &RunId, part: RunPiece) -> Result<Taken> {
        if part.run != *run {
            self.dropped += 1;
            return Ok(Taken::Dropped);
        }
        let have = self.tokens.len() as u64;
        match part.piece {
            Piece::Token { offset, .. } if offset < have => {
                self.dropped += 1;
                Ok(Taken::Dropped)
            }
            Piece::Token { offset, .. } if offset > have => {
                let message = format!("token {offset} came, {have} was expected");
                Err(Error::new(Kind::TargetFailed, message))
            }
            Piece::Token { text, .. } => {
                self.tokens.push(text);
                Ok(Taken::Grew)
            }
            Piece::End(usage) if usage.tokens != have => {
                let message =
                    format!("the target ended at token {}, {have} are here", usage.tokens);
                Err(Error::new(Kind::TargetFailed, message))
            }
            Piece::End(usage) => Ok(Taken::Whole(usage)),
        }
    }

    /// Digest of the whole text, so that a caller can tell a whole answer from a cut one.
    pub fn digest(&self) -> Digest {
        answer_digest(&self.tokens)
    }
}

/// Digest of an answer's text.
pub fn answer_digest(tokens: &[CompactString]) -> Digest {
    Digest::of(tokens.concat().as_bytes())
}
