//! `kingcupwall call`: sends one chat request.

use std::io::Write;

use bpaf::Bpaf;

use super::block_on;
use crate::client::{Caller, ChatCall};
use crate::error::Result;
use crate::ids::{Digest, Millis, RequestKey};

/// Send one chat request and print the answer as it arrives; retried at other routers with the same key
///
/// Example: kingcupwall call --router 127.0.0.1:8080 --api-key norte-key --model claims "Fridge is warm"
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("call"))]
pub struct Args {
    /// Address of a router, as IP:PORT
    #[bpaf(argument("ADDR"))]
    router: String,
    /// API key of the organisation
    #[bpaf(argument("KEY"), env("KINGCUPWALL_API_KEY"))]
    api_key: String,
    /// Name of the model service
    #[bpaf(argument("NAME"))]
    model: String,
    /// Maximum output tokens
    #[bpaf(argument("N"), fallback(64))]
    max_tokens: u64,
    /// Idempotency key; random if absent
    #[bpaf(argument("KEY"))]
    key: Option<RequestKey>,
    /// Total time for the request and its retries
    #[bpaf(argument("TIME"), fallback(Millis(60000)))]
    patience: Millis,
    /// Content of the message
    #[bpaf(positional("TEXT"))]
    text: String,
}

impl Args {
    fn key(&self) -> Result<RequestKey> {
        let mut random_bytes = [0; 16];
        getrandom::fill(&mut random_bytes).expect("the operating system provides random bytes");
        self.key.clone().map_or_else(|| Digest::of(&random_bytes).to_string().parse(), Ok)
    }
}

/// Runs the command.
///
/// # Errors
/// The final error of a router, or `Timeout`.
pub fn run(args: &Args) -> Result<()> {
    let caller = Caller::new(vec![args.router.clone()], &args.api_key, None)?;
    let request = ChatCall {
        model: args.model.clone(),
        content: args.text.clone(),
        max_tokens: args.max_tokens,
        key: args.key()?,
        priority: crate::api::DEFAULT_PRIORITY,
        retry_timeout: args.patience.duration(),
    };
    let print_text = |text: &str| {
        print!("{text}");
        // A closed pipe stops the output, but not the request.
        let _ = std::io::stdout().flush();
    };
    let answer = block_on(caller.chat(&request, print_text))?;
    println!();
    println!(
        "key={} tokens={} total_tokens={} attempts={} first_ms={} total_ms={}",
        request.key,
        answer.output_tokens,
        answer.total_tokens,
        answer.attempts,
        answer.time_to_first_token.as_millis(),
        answer.total_time.as_millis()
    );
    Ok(())
}
