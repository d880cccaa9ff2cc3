//! A loopback proxy that can delay connections, reset them, stall them in one or both directions,
//! limit their bandwidth, and refuse or ignore new ones.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::error::Result;

/// Maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Pause between two checks whether a stalled link forwards bytes again.
const STALL_POLL: Duration = Duration::from_millis(10);

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Time after which a connection attempt shows that the queue of new connections is full.
const QUEUE_FULL_AFTER: Duration = Duration::from_millis(50);

/// How a link treats bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Delays every chunk by this time.
    Delay(Duration),
    /// Holds bytes to the server; bytes to the client are forwarded.
    StallForward,
    /// Holds bytes to the client; bytes to the server are forwarded.
    StallBackward,
    /// Holds bytes in both directions. New connections are accepted but transfer nothing.
    StallBoth,
}

/// How a link treats new connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum NewConnections {
    /// Accepts them.
    #[default]
    Accept,
    /// Refuses them, like a port without a listener.
    Refuse,
    /// Does not answer, like a network that drops all packets.
    Ignore,
    /// Refuses them from now on, because the process behind the link has ended.
    End,
}

/// How a link fails while it is partitioned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Partition {
    /// All packets are lost: open connections stall and new ones get no answer.
    Silent,
    /// Open connections are reset and new ones are refused.
    Reset,
    /// Open connections work and new ones are refused.
    RefuseNew,
}

/// A link between a router and a server that it calls.
#[derive(Clone)]
pub struct Proxy {
    /// The address that clients connect to.
    pub addr: SocketAddr,
    upstream: SocketAddr,
    mode: Rc<Cell<LinkMode>>,
    /// Bandwidth towards clients in bytes a second, shared by all connections; unlimited if `None`.
    return_bytes_per_s: Option<u64>,
    /// When all bytes in transfer towards clients will have arrived.
    busy_until: Rc<Cell<Instant>>,
    resets: Rc<RefCell<watch::Sender<u64>>>,
    new_connections: Rc<watch::Sender<NewConnections>>,
}

impl Proxy {
    /// Starts a proxy at a free port of `ip` for the server at `upstream`. Its bandwidth towards
    /// clients is `return_bytes_per_s`.
    ///
    /// # Errors
    /// Fails if the port cannot be bound.
    pub async fn start(
        ip: &str,
        upstream: SocketAddr,
        return_bytes_per_s: Option<u64>,
    ) -> Result<Proxy> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let proxy = Proxy {
            addr: listener.local_addr()?,
            upstream,
            mode: Rc::default(),
            return_bytes_per_s,
            busy_until: Rc::new(Cell::new(Instant::now())),
            resets: Rc::new(RefCell::new(watch::Sender::new(0))),
            new_connections: Rc::default(),
        };
        spawn_local(proxy.clone().listen(listener));
        Ok(proxy)
    }

    /// Accepts, refuses or ignores new connections until the process behind the link has ended.
    async fn listen(self, first: TcpListener) {
        let mut new_connections = self.new_connections.subscribe();
        let mut first = Some(first);
        loop {
            let mode = *new_connections.borrow_and_update();
            let accept = async {
                match mode {
                    NewConnections::Accept => {
                        let listener = match first.take() {
                            Some(listener) => listener,
                            None => self.bind()?.listen(ACCEPT_BACKLOG)?,
                        };
                        loop {
                            let (client, _) = listener.accept().await?;
                            spawn_local(self.clone().forward(client));
                        }
                    }
                    NewConnections::Refuse | NewConnections::End => {
                        drop(first.take());
                        // A bound socket keeps the port from being used by another process.
                        let _bound = self.bind()?;
                        std::future::pending::<Result<()>>().await
                    }
                    NewConnections::Ignore => {
                        drop(first.take());
                        let listener = self.bind()?.listen(0)?;
                        let mut queue = Vec::new();
                        let dial = || timeout(QUEUE_FULL_AFTER, TcpStream::connect(self.addr));
                        while let Ok(queued) = dial().await {
                            queue.push(queued?);
                        }
                        let _kept = (listener, queue);
                        std::future::pending::<Result<()>>().await
                    }
                }
            };
            let failed: Result<()> = tokio::select! {
                biased;
                // `self` holds the sender, so the channel cannot close.
                _ = new_connections.changed() => Ok(()),
                failed = accept => failed,
            };
            if let Err(e) = failed {
                log::error!("link={} new_connections={mode:?} error={e}", self.addr);
                return;
            }
        }
    }

    fn bind(&self) -> Result<TcpSocket> {
        let sock = TcpSocket::new_v4()?;
        sock.set_reuseaddr(true)?;
        sock.bind(self.addr)?;
        Ok(sock)
    }

    /// Partitions the link until [`Proxy::heal`].
    pub fn partition(&self, how: Partition) {
        let (mode, new_connections) = match how {
            Partition::Silent => (LinkMode::StallBoth, NewConnections::Ignore),
            Partition::Reset | Partition::RefuseNew => (LinkMode::Pass, NewConnections::Refuse),
        };
        self.set(mode);
        self.set_new_connections(new_connections);
        if how == Partition::Reset {
            self.reset();
        }
    }

    /// Ends a partition. Bytes that were held are delivered.
    pub fn heal(&self) {
        self.set(LinkMode::Pass);
        self.set_new_connections(NewConnections::Accept);
    }

    fn set_new_connections(&self, mode: NewConnections) {
        self.new_connections.send_if_modified(|m| {
            let changes = *m != NewConnections::End && *m != mode;
            if changes {
                *m = mode;
            }
            changes
        });
    }

    /// Sets how the link treats bytes from now on. Held bytes are delivered once the link forwards
    /// again.
    pub fn set(&self, mode: LinkMode) {
        self.mode.set(mode);
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.resets.borrow().send_modify(|n| *n += 1);
    }

    /// Stops listening, because the process behind the proxy has ended. Open connections end with
    /// that process.
    pub fn close(&self) {
        self.set_new_connections(NewConnections::End);
    }

    async fn forward(self, client: TcpStream) {
        let mut reset = self.resets.borrow().subscribe();
        let Ok(server) = TcpStream::connect(self.upstream).await else { return };
        let (mut client_r, mut client_w) = client.into_split();
        let (mut server_r, mut server_w) = server.into_split();
        let was_reset = tokio::select! {
            () = self.copy_one_way(&mut client_r, &mut server_w, LinkMode::StallForward) => false,
            () = self.copy_one_way(&mut server_r, &mut client_w, LinkMode::StallBackward) => false,
            _ = reset.changed() => true,
        };
        if was_reset {
            // A socket that is already closed can no longer be reset.
            let _ = client_r.as_ref().set_zero_linger();
            let _ = server_r.as_ref().set_zero_linger();
        }
    }

    /// Copies bytes in one direction until it ends. The end of either direction ends the whole
    /// connection once the last bytes have been written.
    async fn copy_one_way(
        &self,
        reader: &mut OwnedReadHalf,
        writer: &mut OwnedWriteHalf,
        stall_mode: LinkMode,
    ) {
        let mut buf = vec![0; CHUNK_BYTES];
        while let Ok(n) = reader.read(&mut buf).await {
            if let LinkMode::Delay(d) = self.mode.get() {
                sleep(d).await;
            }
            if let Some(return_bytes_per_s) =
                self.return_bytes_per_s.filter(|_| stall_mode == LinkMode::StallBackward)
            {
                let start = self.busy_until.get().max(Instant::now());
                self.busy_until
                    .set(start + Duration::from_secs_f64(n as f64 / return_bytes_per_s as f64));
                sleep_until(self.busy_until.get()).await;
            }
            while self.mode.get() == stall_mode || self.mode.get() == LinkMode::StallBoth {
                sleep(STALL_POLL).await;
                // Held bytes are lost if their sender resets the connection.
                if !matches!(SockRef::from(reader.as_ref()).take_error(), Ok(None)) {
                    return;
                }
            }
            if n == 0 {
                // The receiver sees the end of the stream only after all bytes before it.
                let _ = writer.shutdown().await;
                sleep(STALL_POLL).await;
                return;
            }
            if writer.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }
}
