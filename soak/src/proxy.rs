//! A proxy on the loopback that delays, resets, cuts one way or silences connections, and that may
//! be narrow.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1024;
/// How often held bytes look whether the link is back.
const LOOK: Duration = Duration::from_millis(10);

/// How a link behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Holds every piece for so long.
    Delay(Duration),
    /// Nothing arrives at the far end; what the far end sends does.
    CutForth,
    /// Nothing comes back.
    CutBack,
    /// Neither way; new connections open and stay silent.
    Silent,
}

/// A link between a router and whatever it calls.
#[derive(Clone)]
pub struct Proxy {
    /// Where to connect to.
    pub addr: SocketAddr,
    to: SocketAddr,
    mode: Rc<Cell<Mode>>,
    /// Bytes a second that come back, over all connections; without one as many as there are.
    rate: Option<u64>,
    /// When the bytes that are on their way back have arrived.
    busy_until: Rc<Cell<Instant>>,
    resets: Rc<RefCell<watch::Sender<u64>>>,
    closed: Rc<watch::Sender<bool>>,
}

impl Proxy {
    /// A proxy at a free port of `ip` for `to`, over which `rate` bytes a second come back.
    ///
    /// # Errors
    /// Those of listening.
    pub async fn start(ip: &str, to: SocketAddr, rate: Option<u64>) -> Result<Proxy> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let proxy = Proxy {
            addr: listener.local_addr()?,
            to,
            mode: Rc::default(),
            rate,
            busy_until: Rc::new(Cell::new(Instant::now())),
            resets: Rc::new(RefCell::new(watch::Sender::new(0))),
            closed: Rc::new(watch::Sender::new(false)),
        };
        let serving = proxy.clone();
        spawn_local(async move {
            let mut closed = serving.closed.subscribe();
            let accept = async {
                while let Ok((near, _)) = listener.accept().await {
                    spawn_local(serving.clone().carry(near));
                }
            };
            tokio::select! {
                biased;
                // `serving` keeps the sender: the channel cannot be closed.
                _ = closed.wait_for(|closed| *closed) => (),
                () = accept => (),
            }
        });
        Ok(proxy)
    }

    /// Sets how the link behaves from now on. What was held arrives once it passes again.
    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.resets.borrow().send_modify(|n| *n += 1);
    }

    /// Stops listening: the process behind it has ended. Open connections end with the process.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }

    async fn carry(self, near: TcpStream) {
        let mut reset = self.resets.borrow().subscribe();
        let Ok(far) = TcpStream::connect(self.to).await else { return };
        let (mut near_r, mut near_w) = near.into_split();
        let (mut far_r, mut far_w) = far.into_split();
        let was_reset = tokio::select! {
            () = self.pass(&mut near_r, &mut far_w, Mode::CutForth) => false,
            () = self.pass(&mut far_r, &mut near_w, Mode::CutBack) => false,
            _ = reset.changed() => true,
        };
        if was_reset {
            // A socket that is already closed cannot be reset any more.
            let _ = near_r.as_ref().set_zero_linger();
            let _ = far_r.as_ref().set_zero_linger();
        }
    }

    /// Passes bytes one way until that way ends. A half that ends ends the whole connection once
    /// its last bytes have gone out.
    async fn pass(&self, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf, cut: Mode) {
        let mut buf = vec![0; CHUNK];
        while let Ok(n) = from.read(&mut buf).await {
            if let Mode::Delay(d) = self.mode.get() {
                sleep(d).await;
            }
            if let Some(rate) = self.rate.filter(|_| cut == Mode::CutBack) {
                let start = self.busy_until.get().max(Instant::now());
                self.busy_until.set(start + Duration::from_secs_f64(n as f64 / rate as f64));
                sleep_until(self.busy_until.get()).await;
            }
            while self.mode.get() == cut || self.mode.get() == Mode::Silent {
                sleep(LOOK).await;
            }
            if n == 0 {
                // The far end reads the end only after everything before it.
                let _ = to.shutdown().await;
                sleep(LOOK).await;
                return;
            }
            if to.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }
}
