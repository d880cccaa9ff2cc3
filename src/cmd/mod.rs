//! The commands of the command line, one module each.

pub mod ask;
pub mod budget;
pub mod call;
pub mod check;
pub mod demo;
pub mod digest;
pub mod experiment;
pub mod explain;
pub mod gateway_demo;
pub mod load;
pub mod router;
pub mod standin;
pub mod status;
pub mod submit;

use std::future::Future;

use tokio::signal::unix::{SignalKind, signal};

use crate::error::{Error, Kind, Result};

/// Reads a text file.
///
/// # Errors
/// `Io` if the file cannot be read, `BadConfig` with the line number if it is not UTF-8.
pub fn read_text(file: &str) -> Result<String> {
    let data = std::fs::read(file).map_err(|e| Error::new(Kind::Io, format!("{file}: {e}")))?;
    String::from_utf8(data).map_err(|e| {
        let valid = &e.as_bytes()[..e.utf8_error().valid_up_to()];
        let line = valid.iter().filter(|b| **b == b'\n').count() + 1;
        Error::new(Kind::BadConfig, format!("{file}:{line}: not UTF-8"))
    })
}

/// Runs a future to completion on a multi-threaded runtime.
///
/// # Errors
/// The error of the future, or `Io` if the runtime cannot be started.
pub fn block_on<T>(f: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(f)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// `Io` if the signal handlers cannot be installed.
pub async fn wait_for_signal() -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
