//! In-process substitutes for the platform, the targets and whole fleets, for tests, experiments
//! and demos. Those that speak HTTP listen on loopback; some inject faults on request through admin
//! paths.

pub mod batch;
pub mod fleet;
pub mod gateway;
pub mod gateway_host;
pub mod gateway_target;
pub mod local;
pub mod local_fleet;
pub mod platform;
pub mod proxy;
pub mod target;
pub mod target_capacity;

use std::net::SocketAddr;

use axum::serve::ListenerExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::error::Result;

/// A running HTTP server. Dropping the handle does not stop it.
#[derive(Debug)]
pub struct HttpServer {
    /// Address on which it listens.
    pub addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Serves `app` on `addr`. With port 0, the system chooses the port.
    ///
    /// # Errors
    /// `Io` when the address cannot be bound.
    pub async fn start(addr: SocketAddr, app: axum::Router) -> Result<HttpServer> {
        HttpServer::start_on(std::net::TcpListener::bind(addr)?, app)
    }

    /// Serves `app` on a listener that is already bound.
    ///
    /// # Errors
    /// `Io` when the listener cannot be used.
    pub fn start_on(listener: std::net::TcpListener, app: axum::Router) -> Result<HttpServer> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let addr = listener.local_addr()?;
        let (stop, mut stopped) = watch::channel(false);
        let stop_signal = async move {
            // If the sender was dropped, no stop can be requested any more, so the server keeps
            // running.
            if stopped.wait_for(|s| *s).await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        // Answers are sent in small pieces that must not be delayed by Nagle's algorithm.
        let listener = listener.tap_io(|stream| {
            if let Err(e) = stream.set_nodelay(true) {
                log::debug!("server=no_nodelay error={e:?}");
            }
        });
        let task = tokio::spawn(async move {
            let served = axum::serve(listener, app).with_graceful_shutdown(stop_signal);
            if let Err(e) = served.await {
                log::error!("server=failed addr={addr} error={e:?}");
            }
        });
        Ok(HttpServer { addr, stop, task })
    }

    /// Stops at once, like a crash.
    pub fn kill(&self) {
        self.task.abort();
    }

    /// Accepts no new connections and waits for the requests in flight.
    pub async fn stop(self) {
        // Fails only if the server has already ended.
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}
