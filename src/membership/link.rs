//! Links between routers over WebSocket.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::frame::{Hello, MAX_FRAME, OLDEST, Side, Signer, VERSION, decode, encode};
use super::view::Entry;
use super::wire::{Ask, Mesh, Reply};
use crate::error::{Error, Kind, Result};

/// Time for a connection and its handshake.
const CONNECT: Duration = Duration::from_millis(500);
/// Time for a reply.
const REPLY: Duration = Duration::from_millis(800);
/// Questions in flight on one link at most.
const MAX_IN_FLIGHT: usize = 4_096;

type Socket = WebSocketStream<TcpStream>;

/// A question or a reply, numbered by the side that asked.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Numbered<T> {
    id: u64,
    body: T,
}

/// Counts of what a router's links refused.
#[derive(Debug, Default)]
pub struct LinkCounts {
    /// Handshakes and frames with a wrong signature.
    pub unauthorized: AtomicU64,
    /// Frames that could not be read.
    pub malformed: AtomicU64,
    /// Bytes sent.
    pub sent: AtomicU64,
    /// Bytes received.
    pub received: AtomicU64,
}

/// Secrets that routers share; the first signs, all are accepted. Replaced while running, a new
/// secret is first added last everywhere, then moved to the front, then the old one removed.
pub type Secrets = Arc<Mutex<Vec<CompactString>>>;

fn config() -> WebSocketConfig {
    WebSocketConfig::default().max_message_size(Some(MAX_FRAME)).max_frame_size(Some(MAX_FRAME))
}

fn io(e: impl std::fmt::Display) -> Error {
    Error::new(Kind::Io, format!("link: {e}"))
}

fn hello() -> Hello {
    let mut nonce = [0; 16];
    getrandom::fill(&mut nonce).expect("the system has random bytes");
    Hello { version: VERSION, nonce }
}

async fn read_frame(socket: &mut Socket) -> Result<Bytes> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(data))) => return Ok(data),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(_)) | None => return Err(io("closed")),
            Some(Err(e)) => return Err(io(e)),
        }
    }
}

async fn send_frame(socket: &mut Socket, data: Vec<u8>) -> Result<()> {
    socket.send(Message::Binary(data.into())).await.map_err(io)
}

fn check_version(h: &Hello) -> Result<()> {
    let old = || {
        Error::new(Kind::BadFormat, format!("link version {} is older than {OLDEST}", h.version))
    };
    if h.version < OLDEST { Err(old()) } else { Ok(()) }
}

/// A link to one router, for asking it.
#[derive(Clone, Debug)]
struct Link {
    tx: mpsc::Sender<(Ask, oneshot::Sender<Reply>)>,
}

/// All links of a router to others, opened on first use.
#[derive(Clone, Debug)]
pub struct Links {
    secrets: Secrets,
    counts: Arc<LinkCounts>,
    open: Arc<tokio::sync::Mutex<Vec<(CompactString, Link)>>>,
}

impl Links {
    /// Links under these secrets.
    pub fn new(secrets: Secrets, counts: Arc<LinkCounts>) -> Links {
        Links { secrets, counts, open: Arc::default() }
    }

    async fn link(&self, peer: &CompactString) -> Result<Link> {
        let mut open = self.open.lock().await;
        open.retain(|(_, l)| !l.tx.is_closed());
        if let Ok(place) = open.binary_search_by(|(p, _)| p.cmp(peer)) {
            return Ok(open[place].1.clone());
        }
        drop(open);
        let late = |_| Error::new(Kind::Timeout, format!("no link to {peer} in time"));
        let link = timeout(CONNECT, self.connect(peer)).await.map_err(late)??;
        let mut open = self.open.lock().await;
        match open.binary_search_by(|(p, _)| p.cmp(peer)) {
            Ok(place) => open[place].1 = link.clone(),
            Err(place) => open.insert(place, (peer.clone(), link.clone())),
        }
        Ok(link)
    }

    async fn connect(&self, peer: &CompactString) -> Result<Link> {
        let stream = TcpStream::connect(peer.as_str()).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{peer}/");
        let (mut socket, _) =
            tokio_tungstenite::client_async_with_config(url, stream, Some(config()))
                .await
                .map_err(io)?;
        let mine = hello();
        send_frame(&mut socket, encode(&mine)).await?;
        let theirs: Hello = decode(&read_frame(&mut socket).await?)?;
        check_version(&theirs)?;
        let secret =
            self.secrets.lock().expect("never poisoned").first().cloned().unwrap_or_default();
        let signer = Signer::new(&secret, &mine, &theirs, Side::Caller);
        let checker = Signer::new(&secret, &mine, &theirs, Side::Listener);
        let (tx, rx) = mpsc::channel(MAX_IN_FLIGHT);
        tokio::spawn(run_caller(socket, signer, checker, rx, self.counts.clone()));
        Ok(Link { tx })
    }
}

impl Mesh for Links {
    async fn ask(&self, to: &Entry, ask: Ask) -> Result<Reply> {
        let link = self.link(&to.peer).await?;
        let (tx, rx) = oneshot::channel();
        let lost = || Error::new(Kind::Io, format!("link to {} broke", to.incarnation));
        link.tx.try_send((ask, tx)).map_err(|_| lost())?;
        let late = |_| Error::new(Kind::Timeout, format!("no reply from {}", to.incarnation));
        timeout(REPLY, rx).await.map_err(late)?.map_err(|_| lost())?.accepted()
    }
}

async fn run_caller(
    mut socket: Socket,
    mut signer: Signer,
    mut checker: Signer,
    mut rx: mpsc::Receiver<(Ask, oneshot::Sender<Reply>)>,
    counts: Arc<LinkCounts>,
) {
    let mut next = 0;
    let mut waiting: Vec<(u64, oneshot::Sender<Reply>)> = Vec::new();
    loop {
        tokio::select! {
            asked = rx.recv() => {
                let Some((body, tx)) = asked else { return };
                next += 1;
                waiting.retain(|(_, tx)| !tx.is_closed());
                waiting.push((next, tx));
                let frame = signer.seal(&Numbered { id: next, body });
                counts.sent.fetch_add(frame.len() as u64, Ordering::Relaxed);
                if send_frame(&mut socket, frame).await.is_err() {
                    return;
                }
            }
            frame = read_frame(&mut socket) => {
                let Ok(frame) = frame else { return };
                counts.received.fetch_add(frame.len() as u64, Ordering::Relaxed);
                let reply: Numbered<Reply> = match checker.open(&frame) {
                    Ok(reply) => reply,
                    Err(e) => return count_refused(&counts, &e),
                };
                if let Ok(place) = waiting.binary_search_by(|(id, _)| id.cmp(&reply.id)) {
                    let (_, tx) = waiting.remove(place);
                    // Who asked may have stopped waiting.
                    let _ = tx.send(reply.body);
                }
            }
        }
    }
}

fn count_refused(counts: &LinkCounts, e: &Error) {
    let counter =
        if e.kind == Kind::Unauthorized { &counts.unauthorized } else { &counts.malformed };
    counter.fetch_add(1, Ordering::Relaxed);
    log::warn!("link=refused error={:?}", e.message);
}

/// Answers other routers' questions.
pub trait Answerer: Clone + Send + Sync + 'static {
    /// The reply to one question.
    fn answer(&self, ask: Ask) -> impl Future<Output = Reply> + Send;
}

/// Accepts links. The task ends when it is aborted, and all links with it.
///
/// # Errors
/// `Io` when the listener cannot be used.
pub fn listen<A: Answerer>(
    listener: std::net::TcpListener,
    secrets: Secrets,
    counts: Arc<LinkCounts>,
    answerer: A,
) -> Result<tokio::task::JoinHandle<()>> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let task = tokio::spawn(async move {
        let mut links = tokio::task::JoinSet::new();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    // Out of descriptors, most likely: others have to close first.
                    log::warn!("link=accept_failed error={e:?}");
                    tokio::time::sleep(CONNECT).await;
                    continue;
                }
            };
            while links.try_join_next().is_some() {}
            links.spawn(run_listener(stream, secrets.clone(), counts.clone(), answerer.clone()));
        }
    });
    Ok(task)
}

async fn run_listener<A: Answerer>(
    stream: TcpStream,
    secrets: Secrets,
    counts: Arc<LinkCounts>,
    answerer: A,
) {
    let accepted = timeout(CONNECT, accept(stream)).await;
    let Ok(Ok((mut socket, caller, mine))) = accepted else {
        counts.malformed.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let (tx, mut rx) = mpsc::channel::<Numbered<Reply>>(MAX_IN_FLIGHT);
    let mut keys: Option<(Signer, Signer)> = None;
    loop {
        tokio::select! {
            reply = rx.recv() => {
                let (Some(reply), Some((_, signer))) = (reply, keys.as_mut()) else { return };
                let frame = signer.seal(&reply);
                counts.sent.fetch_add(frame.len() as u64, Ordering::Relaxed);
                if send_frame(&mut socket, frame).await.is_err() {
                    return;
                }
            }
            frame = read_frame(&mut socket) => {
                let Ok(frame) = frame else { return };
                counts.received.fetch_add(frame.len() as u64, Ordering::Relaxed);
                let opened = match keys.as_mut() {
                    Some((checker, _)) => checker.open(&frame),
                    None => open_first(&secrets, &caller, &mine, &frame, &mut keys),
                };
                match opened {
                    Ok(ask) => answer(answerer.clone(), ask, tx.clone()),
                    Err(e) => return count_refused(&counts, &e),
                }
            }
        }
    }
}

async fn accept(stream: TcpStream) -> Result<(Socket, Hello, Hello)> {
    stream.set_nodelay(true)?;
    let mut socket =
        tokio_tungstenite::accept_async_with_config(stream, Some(config())).await.map_err(io)?;
    let theirs: Hello = decode(&read_frame(&mut socket).await?)?;
    check_version(&theirs)?;
    let mine = hello();
    send_frame(&mut socket, encode(&mine)).await?;
    Ok((socket, theirs, mine))
}

/// The first frame tells which of the accepted secrets the caller signs with.
fn open_first(
    secrets: &Secrets,
    caller: &Hello,
    mine: &Hello,
    frame: &[u8],
    keys: &mut Option<(Signer, Signer)>,
) -> Result<Numbered<Ask>> {
    let all = secrets.lock().expect("never poisoned").clone();
    let mut refused = Error::new(Kind::Unauthorized, "no secrets are configured");
    for secret in all {
        let mut checker = Signer::new(&secret, caller, mine, Side::Caller);
        match checker.open(frame) {
            Ok(ask) => {
                *keys = Some((checker, Signer::new(&secret, caller, mine, Side::Listener)));
                return Ok(ask);
            }
            Err(e) => refused = e,
        }
    }
    Err(refused)
}

fn answer<A: Answerer>(answerer: A, ask: Numbered<Ask>, tx: mpsc::Sender<Numbered<Reply>>) {
    tokio::spawn(async move {
        let body = answerer.answer(ask.body).await;
        // A link that closed meanwhile needs no reply.
        let _ = tx.send(Numbered { id: ask.id, body }).await;
    });
}
