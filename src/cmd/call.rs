//! `kingcupwall call`: one request as a caller.

use std::io::Write;

use bpaf::Bpaf;

use super::block_on;
use crate::client::{Caller, ChatCall};
use crate::error::Result;
use crate::ids::{Digest, Millis, RequestKey};

/// Send one chat request and stream the answer; retries elsewhere under the same key
///
/// Example: kingcupwall call --router 127.0.0.1:8080 --api-key norte-key --model claims "Fridge is warm"
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("call"))]
pub struct Args {
    /// A router's address
    #[bpaf(argument("ADDR"))]
    router: String,
    /// The organisation's API key
    #[bpaf(argument("KEY"), env("KINGCUPWALL_API_KEY"))]
    api_key: String,
    /// The model service
    #[bpaf(argument("NAME"))]
    model: String,
    /// Answer tokens at most
    #[bpaf(argument("N"), fallback(64))]
    max_tokens: u64,
    /// Idempotency key; made up when absent
    #[bpaf(argument("KEY"))]
    key: Option<RequestKey>,
    /// How long to go on trying
    #[bpaf(argument("TIME"), fallback(Millis(60000)))]
    patience: Millis,
    /// What to say
    #[bpaf(positional("TEXT"))]
    text: String,
}

impl Args {
    fn key(&self) -> Result<RequestKey> {
        let mut salt = [0; 16];
        getrandom::fill(&mut salt).expect("the system has random bytes");
        self.key.clone().map_or_else(|| Digest::of(&salt).to_string().parse(), Ok)
    }
}

/// Runs the command.
///
/// # Errors
/// The refusal, or `Timeout`.
pub fn run(args: &Args) -> Result<()> {
    let caller = Caller::new(vec![args.router.clone()], &args.api_key, None)?;
    let call = ChatCall {
        model: args.model.clone(),
        content: args.text.clone(),
        max_tokens: args.max_tokens,
        key: args.key()?,
        priority: crate::api::DEFAULT_PRIORITY,
        retry_timeout: args.patience.duration(),
    };
    let show = |text: &str| {
        print!("{text}");
        // A closed pipe ends the show, not the request.
        let _ = std::io::stdout().flush();
    };
    let answer = block_on(caller.chat(&call, show))?;
    println!();
    println!(
        "key={} tokens={} total_tokens={} attempts={} first_ms={} total_ms={}",
        call.key,
        answer.output_tokens,
        answer.total_tokens,
        answer.attempts,
        answer.time_to_first_token.as_millis(),
        answer.total_time.as_millis()
    );
    Ok(())
}
