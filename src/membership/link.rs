//! Links between routers: authenticated request and reply frames over WebSocket.

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

use super::frame::{Hello, MAX_FRAME_BYTES, MIN_VERSION, Side, Signer, VERSION, decode, encode};
use super::view::RouterInfo;
use super::wire::{PeerClient, PeerReply, PeerRequest};
use crate::error::{Error, Kind, Result};

/// Timeout for connecting and for the handshake.
const LINK_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);
/// The most requests in flight on one link.
const MAX_REQUESTS_IN_FLIGHT: usize = 4_096;

type Socket = WebSocketStream<TcpStream>;

/// A request or a reply. The requesting router assigns the id, and the reply carries the same one.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Envelope<T> {
    id: u64,
    body: T,
}

/// Traffic and rejected frames on a router's links.
#[derive(Debug, Default)]
pub struct LinkCounts {
    /// Frames with a wrong signature.
    pub unauthorized: AtomicU64,
    /// Failed handshakes and frames that could not be decoded.
    pub malformed: AtomicU64,
    /// Bytes sent.
    pub sent: AtomicU64,
    /// Bytes received.
    pub received: AtomicU64,
}

/// Shared secrets of the routers. Outgoing links sign with the first one, incoming links accept any
/// of them. To rotate a secret while the fleet runs, append the new one on every router, then move
/// it to the front, then remove the old one.
pub type Secrets = Arc<Mutex<Vec<CompactString>>>;

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

fn link_error(e: impl std::fmt::Display) -> Error {
    Error::new(Kind::Io, format!("link: {e}"))
}

fn new_hello() -> Hello {
    let mut nonce = [0; 16];
    getrandom::fill(&mut nonce).expect("the operating system provides random bytes");
    Hello { version: VERSION, nonce }
}

async fn read_frame(socket: &mut Socket) -> Result<Bytes> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(data))) => return Ok(data),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(_)) | None => return Err(link_error("connection closed")),
            Some(Err(e)) => return Err(link_error(e)),
        }
    }
}

async fn send_frame(socket: &mut Socket, data: Vec<u8>) -> Result<()> {
    socket.send(Message::Binary(data.into())).await.map_err(link_error)
}

fn check_version(h: &Hello) -> Result<()> {
    let old = || {
        Error::new(
            Kind::BadFormat,
            format!(
                "link protocol version {} is older than {MIN_VERSION}, the oldest supported",
                h.version
            ),
        )
    };
    if h.version < MIN_VERSION { Err(old()) } else { Ok(()) }
}

/// An open link that sends requests to one router.
#[derive(Clone, Debug)]
struct Link {
    tx: mpsc::Sender<(PeerRequest, oneshot::Sender<PeerReply>)>,
}

/// A router's outgoing links to other routers, opened on first use.
#[derive(Clone, Debug)]
pub struct LinkPool {
    secrets: Secrets,
    counts: Arc<LinkCounts>,
    open: Arc<tokio::sync::Mutex<Vec<(CompactString, Link)>>>,
}

impl LinkPool {
    /// An empty pool whose links are signed with the first of `secrets`.
    pub fn new(secrets: Secrets, counts: Arc<LinkCounts>) -> LinkPool {
        LinkPool { secrets, counts, open: Arc::default() }
    }

    async fn link(&self, peer: &CompactString) -> Result<Link> {
        let mut open = self.open.lock().await;
        open.retain(|(_, l)| !l.tx.is_closed());
        if let Ok(index) = open.binary_search_by(|(p, _)| p.cmp(peer)) {
            return Ok(open[index].1.clone());
        }
        drop(open);
        let timed_out =
            |_| Error::new(Kind::Timeout, format!("connecting to router {peer} timed out"));
        let link = timeout(LINK_CONNECT_TIMEOUT, self.connect(peer)).await.map_err(timed_out)??;
        let mut open = self.open.lock().await;
        match open.binary_search_by(|(p, _)| p.cmp(peer)) {
            Ok(index) => open[index].1 = link.clone(),
            Err(index) => open.insert(index, (peer.clone(), link.clone())),
        }
        Ok(link)
    }

    async fn connect(&self, peer: &CompactString) -> Result<Link> {
        let stream = TcpStream::connect(peer.as_str()).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{peer}/");
        let (mut socket, _) =
            tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config()))
                .await
                .map_err(link_error)?;
        let own_hello = new_hello();
        send_frame(&mut socket, encode(&own_hello)).await?;
        let peer_hello: Hello = decode(&read_frame(&mut socket).await?)?;
        check_version(&peer_hello)?;
        let secret = self
            .secrets
            .lock()
            .expect("the lock on the link secrets is never poisoned")
            .first()
            .cloned()
            .unwrap_or_default();
        let signer = Signer::new(&secret, &own_hello, &peer_hello, Side::Initiator);
        let verifier = Signer::new(&secret, &own_hello, &peer_hello, Side::Responder);
        let (tx, rx) = mpsc::channel(MAX_REQUESTS_IN_FLIGHT);
        tokio::spawn(run_initiator(socket, signer, verifier, rx, self.counts.clone()));
        Ok(Link { tx })
    }
}

impl PeerClient for LinkPool {
    async fn rpc(&self, to: &RouterInfo, request: PeerRequest) -> Result<PeerReply> {
        let link = self.link(&to.peer).await?;
        let (tx, rx) = oneshot::channel();
        let link_broken =
            || Error::new(Kind::Io, format!("link to router {} was lost", to.incarnation));
        link.tx.try_send((request, tx)).map_err(|_| link_broken())?;
        let timed_out = |_| {
            Error::new(Kind::Timeout, format!("no reply from router {} in time", to.incarnation))
        };
        timeout(REPLY_TIMEOUT, rx)
            .await
            .map_err(timed_out)?
            .map_err(|_| link_broken())?
            .into_result()
    }
}

async fn run_initiator(
    mut socket: Socket,
    mut signer: Signer,
    mut verifier: Signer,
    mut rx: mpsc::Receiver<(PeerRequest, oneshot::Sender<PeerReply>)>,
    counts: Arc<LinkCounts>,
) {
    let mut next_id = 0;
    let mut waiting: Vec<(u64, oneshot::Sender<PeerReply>)> = Vec::new();
    loop {
        tokio::select! {
            queued = rx.recv() => {
                let Some((body, tx)) = queued else { return };
                next_id += 1;
                waiting.retain(|(_, tx)| !tx.is_closed());
                waiting.push((next_id, tx));
                let frame = signer.sign_frame(&Envelope { id: next_id, body });
                counts.sent.fetch_add(frame.len() as u64, Ordering::Relaxed);
                if send_frame(&mut socket, frame).await.is_err() {
                    return;
                }
            }
            frame = read_frame(&mut socket) => {
                let Ok(frame) = frame else { return };
                counts.received.fetch_add(frame.len() as u64, Ordering::Relaxed);
                let reply: Envelope<PeerReply> = match verifier.verify_frame(&frame) {
                    Ok(reply) => reply,
                    Err(e) => return count_rejected_frame(&counts, &e),
                };
                if let Ok(index) = waiting.binary_search_by(|(id, _)| id.cmp(&reply.id)) {
                    let (_, tx) = waiting.remove(index);
                    // The call may have timed out and dropped its receiver.
                    let _ = tx.send(reply.body);
                }
            }
        }
    }
}

fn count_rejected_frame(counts: &LinkCounts, e: &Error) {
    let counter =
        if e.kind == Kind::Unauthorized { &counts.unauthorized } else { &counts.malformed };
    counter.fetch_add(1, Ordering::Relaxed);
    log::warn!("link=refused error={:?}", e.message);
}

/// Handles requests from other routers.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Returns the reply to one request.
    fn handle_request(&self, request: PeerRequest) -> impl Future<Output = PeerReply> + Send;
}

/// Accepts links from other routers until the returned task is aborted, which also closes all
/// accepted links.
///
/// # Errors
/// `Io` when the listener cannot be used.
pub fn listen<H: PeerHandler>(
    listener: std::net::TcpListener,
    secrets: Secrets,
    counts: Arc<LinkCounts>,
    handler: H,
) -> Result<tokio::task::JoinHandle<()>> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let task = tokio::spawn(async move {
        let mut open_links = tokio::task::JoinSet::new();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    // Most likely out of file descriptors: wait until other connections close.
                    log::warn!("link=accept_failed error={e:?}");
                    tokio::time::sleep(LINK_CONNECT_TIMEOUT).await;
                    continue;
                }
            };
            while open_links.try_join_next().is_some() {}
            open_links.spawn(run_responder(
                stream,
                secrets.clone(),
                counts.clone(),
                handler.clone(),
            ));
        }
    });
    Ok(task)
}

async fn run_responder<H: PeerHandler>(
    stream: TcpStream,
    secrets: Secrets,
    counts: Arc<LinkCounts>,
    handler: H,
) {
    let accepted = timeout(LINK_CONNECT_TIMEOUT, accept(stream)).await;
    let Ok(Ok((mut socket, initiator_hello, own_hello))) = accepted else {
        counts.malformed.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let (tx, mut rx) = mpsc::channel::<Envelope<PeerReply>>(MAX_REQUESTS_IN_FLIGHT);
    let mut keys: Option<(Signer, Signer)> = None;
    loop {
        tokio::select! {
            reply = rx.recv() => {
                let (Some(reply), Some((_, signer))) = (reply, keys.as_mut()) else { return };
                let frame = signer.sign_frame(&reply);
                counts.sent.fetch_add(frame.len() as u64, Ordering::Relaxed);
                if send_frame(&mut socket, frame).await.is_err() {
                    return;
                }
            }
            frame = read_frame(&mut socket) => {
                let Ok(frame) = frame else { return };
                counts.received.fetch_add(frame.len() as u64, Ordering::Relaxed);
                let verified = match keys.as_mut() {
                    Some((verifier, _)) => verifier.verify_frame(&frame),
                    None => {
                        verify_first_frame(&secrets, &initiator_hello, &own_hello, &frame, &mut keys)
                    }
                };
                match verified {
                    Ok(request) => spawn_handler(handler.clone(), request, tx.clone()),
                    Err(e) => return count_rejected_frame(&counts, &e),
                }
            }
        }
    }
}

async fn accept(stream: TcpStream) -> Result<(Socket, Hello, Hello)> {
    stream.set_nodelay(true)?;
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config()))
        .await
        .map_err(link_error)?;
    let peer_hello: Hello = decode(&read_frame(&mut socket).await?)?;
    check_version(&peer_hello)?;
    let own_hello = new_hello();
    send_frame(&mut socket, encode(&own_hello)).await?;
    Ok((socket, peer_hello, own_hello))
}

/// Tries each accepted secret on the first signed frame, and keeps the keys of the one that the
/// initiator signs with.
fn verify_first_frame(
    secrets: &Secrets,
    initiator_hello: &Hello,
    own_hello: &Hello,
    frame: &[u8],
    keys: &mut Option<(Signer, Signer)>,
) -> Result<Envelope<PeerRequest>> {
    let accepted_secrets =
        secrets.lock().expect("the lock on the link secrets is never poisoned").clone();
    let mut rejection = Error::new(Kind::Unauthorized, "no link secrets are configured");
    for secret in accepted_secrets {
        let mut verifier = Signer::new(&secret, initiator_hello, own_hello, Side::Initiator);
        match verifier.verify_frame(frame) {
            Ok(request) => {
                *keys = Some((
                    verifier,
                    Signer::new(&secret, initiator_hello, own_hello, Side::Responder),
                ));
                return Ok(request);
            }
            Err(e) => rejection = e,
        }
    }
    Err(rejection)
}

fn spawn_handler<H: PeerHandler>(
    handler: H,
    request: Envelope<PeerRequest>,
    tx: mpsc::Sender<Envelope<PeerReply>>,
) {
    tokio::spawn(async move {
        let body = handler.handle_request(request.body).await;
        // The link may have closed while the request was handled; the reply is then dropped.
        let _ = tx.send(Envelope { id: request.id, body }).await;
    });
}
