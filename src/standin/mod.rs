//! Stand-ins for the platform and for targets, speaking real HTTP on loopback. They can be told
//! to fail on their admin paths.

pub mod batch;
pub mod fleet;
pub mod gateway;
pub mod gateway_host;
pub mod gateway_target;
pub mod local;
pub mod local_fleet;
pub mod platform;
pub mod target;

use std::net::SocketAddr;

use axum::serve::ListenerExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::error::Result;

/// A running server. Dropping the handle does not stop it.
#[derive(Debug)]
pub struct HttpServer {
    /// Where it listens.
    pub addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Serves `app` on `addr`; port 0 takes any.
    ///
    /// # Errors
    /// `Io` when the address cannot be bound.
    pub async fn start(addr: SocketAddr, app: axum::Router) -> Result<HttpServer> {
        HttpServer::start_on(std::net::TcpListener::bind(addr)?, app)
    }

    /// Serves `app` on a listener.
    ///
    /// # Errors
    /// `Io` when the listener cannot be used.
    pub fn start_on(listener: std::net::TcpListener, app: axum::Router) -> Result<HttpServer> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let addr = listener.local_addr()?;
        let (stop, mut stopped) = watch::channel(false);
        let stop_signal = async move {
            // A dropped sender means that nobody will ever stop the server this way.
            if stopped.wait_for(|s| *s).await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        // Answers are small pieces: each has to leave at once.
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

    /// Stops at once, as a crash does.
    pub fn kill(&self) {
        self.task.abort();
    }

    /// Takes no new connection, finishes what runs.
    pub async fn stop(self) {
        // A server that is gone needs no stop.
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}
