//! A buffered TCP connection, used for both callers and targets.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpSocket, TcpStream};

use super::body::{BodyDecoder, Step};
use super::head::{InvalidHead, RequestHead, ResponseHead, parse_request, parse_response};

/// The maximum number of bytes read ahead of the current request; beyond it the peer is held up by
/// TCP flow control.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;
/// Buffer space reserved for each read. Small, because idle connections keep it.
const READ_CHUNK_BYTES: usize = 4 * 1024;

/// Why no head was read.
#[derive(Debug)]
pub enum HeadError {
    /// The peer closed the connection between two messages.
    Closed,
    /// The connection was closed within a head, or it failed.
    Broken(io::Error),
    /// The head is invalid.
    Invalid(InvalidHead),
    /// The head is longer than allowed.
    TooLong,
}

/// How a relay frames the bytes of the connection behind it. A relay that dies closes its own
/// connections in order, so their end alone does not say that the peer has closed.
#[derive(Debug)]
pub enum RelayFraming {
    /// Chunks; the last one says that the peer has closed the connection.
    Chunked(BodyDecoder),
    /// Bytes as they are. Their end counts as a failure of the relay.
    Unmarked,
}

/// The failure that an error of a write shows, after which the end of the peer's bytes is no orderly
/// one. `None` for a broken pipe: the peer had closed the connection before it was reset.
pub fn failure_of_write(e: &io::Error) -> Option<io::ErrorKind> {
    Some(e.kind()).filter(|kind| *kind != io::ErrorKind::BrokenPipe)
}

/// A TCP connection with a buffer of bytes that were read but not yet consumed.
#[derive(Debug)]
pub struct Conn {
    io: TcpStream,
    buf: BytesMut,
    eof: bool,
    /// Why the connection failed. The socket reports that to one call only, and to later reads as if
    /// the peer had closed the connection.
    failure: Option<io::ErrorKind>,
    /// Whether a message was begun and not written whole. The peer would take whatever is sent next
    /// for the rest of it.
    has_unsent: bool,
    /// Whether a request was begun that is neither answered nor rejected.
    in_request: bool,
    /// The rest of a request, which is written while the answer is waited for.
    unsent: Bytes,
    /// `None` if the connection is direct.
    relay_framing: Option<RelayFraming>,
    /// Bytes of a relay that are not decoded yet.
    relayed: BytesMut,
}

impl Conn {
    /// Wraps an open socket and disables Nagle's algorithm. `unacked_timeout` limits how long sent
    /// bytes may stay unacknowledged before the connection counts as broken. Without it, a peer
    /// that lost power or is behind a network partition would be waited for forever.
    ///
    /// # Errors
    /// The error of setting a socket option.
    pub fn new(io: TcpStream, unacked_timeout: Duration) -> io::Result<Conn> {
        io.set_nodelay(true)?;
        let sock = SockRef::from(&io);
        sock.set_tcp_user_timeout(Some(unacked_timeout))?;
        let probe = Duration::from_secs(unacked_timeout.as_secs().max(1));
        sock.set_tcp_keepalive(&TcpKeepalive::new().with_time(probe).with_interval(probe))?;
        Ok(Conn {
            io,
            buf: BytesMut::new(),
            eof: false,
            failure: None,
            has_unsent: false,
            in_request: false,
            unsent: Bytes::new(),
            relay_framing: None,
            relayed: BytesMut::new(),
        })
    }

    /// Connects to `addr`.
    ///
    /// # Errors
    /// The error of connecting. There is no timeout here; callers set one.
    pub async fn dial(addr: SocketAddr, unacked_timeout: Duration) -> io::Result<Conn> {
        let sock = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        Conn::new(sock.connect(addr).await?, unacked_timeout)
    }

    /// Connects to `addr` from the local address `from`.
    ///
    /// # Errors
    /// The error of binding or connecting. There is no timeout here; callers set one.
    pub async fn dial_from(
        from: IpAddr,
        addr: SocketAddr,
        unacked_timeout: Duration,
    ) -> io::Result<Conn> {
        let sock = if from.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        sock.bind(SocketAddr::new(from, 0))?;
        Conn::new(sock.connect(addr).await?, unacked_timeout)
    }

    /// The connection through a relay, after the relay's response was read.
    pub fn behind_relay(mut self, framing: RelayFraming) -> Conn {
        self.relayed = std::mem::take(&mut self.buf);
        if matches!(framing, RelayFraming::Unmarked) {
            std::mem::swap(&mut self.buf, &mut self.relayed);
        }
        self.relay_framing = Some(framing);
        self
    }

    /// Reads more bytes, and meanwhile writes the rest of a request. Returns 0 once the peer has
    /// closed the connection. Cancel safe: no byte is lost.
    async fn fill(&mut self) -> io::Result<usize> {
        loop {
            if let Some(n) = self.decode_relayed()? {
                return Ok(n);
            }
            let n = self.receive().await?;
            match self.relay_framing {
                None => {
                    self.eof |= n == 0;
                    return Ok(n);
                }
                Some(_) if n == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                Some(RelayFraming::Unmarked) => return Ok(n),
                Some(RelayFraming::Chunked(_)) => (),
            }
        }
    }

    /// Moves the payload of received chunks into the buffer. Returns its length, 0 at the last
    /// chunk; `None` if more bytes are needed, or there are no chunks.
    fn decode_relayed(&mut self) -> io::Result<Option<usize>> {
        let Some(RelayFraming::Chunked(chunks)) = &mut self.relay_framing else { return Ok(None) };
        let before = self.buf.len();
        loop {
            let step = chunks.decode(&mut self.relayed);
            let n = self.buf.len() - before;
            match step {
                Step::Piece(piece) => self.buf.extend_from_slice(&piece),
                Step::NeedMore => return Ok((n > 0).then_some(n)),
                Step::Done => {
                    self.eof |= n == 0;
                    return Ok(Some(n));
                }
                Step::Invalid => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    /// Receives bytes from the socket, and meanwhile writes the rest of a request. Returns 0 only if
    /// the peer has closed the connection, and not after a failure.
    async fn receive(&mut self) -> io::Result<usize> {
        let received = self.receive_and_send().await;
        match (&received, self.failure) {
            (Ok(0), Some(failure)) => return Err(failure.into()),
            (Err(e), _) => self.failure = Some(e.kind()),
            (Ok(_), _) => (),
        }
        received
    }

    async fn receive_and_send(&mut self) -> io::Result<usize> {
        if self.buf.is_empty() && self.buf.capacity() > MAX_READ_AHEAD_BYTES {
            self.buf = BytesMut::new();
        }
        while !self.unsent.is_empty() {
            let ready = self.io.ready(Interest::READABLE | Interest::WRITABLE).await?;
            if ready.is_writable()
                && let Err(e) = self.write_unsent()
            {
                // A target that rejects a request and closes the connection may have answered.
                log::debug!("conn unsent={} error={e}", self.unsent.len());
                self.unsent.clear();
                self.failure = self.failure.or(failure_of_write(&e));
            }
            let (io, buf) = self.receive_buf();
            match io.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => (),
                received => return received,
            }
        }
        let (io, buf) = self.receive_buf();
        io.read_buf(buf).await
    }

    fn receive_buf(&mut self) -> (&mut TcpStream, &mut BytesMut) {
        let buf = match self.relay_framing {
            Some(RelayFraming::Chunked(_)) => &mut self.relayed,
            Some(RelayFraming::Unmarked) | None => &mut self.buf,
        };
        buf.reserve(READ_CHUNK_BYTES);
        (&mut self.io, buf)
    }

    /// Whether all bytes that were read are consumed.
    pub fn is_buffer_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Whether an idle connection can carry a request: it is open, the request before was written
    /// whole, and it holds no unexpected bytes, which would be taken for the next answer.
    pub fn is_reusable(&mut self) -> bool {
        if self.eof || self.has_unsent || !self.buf.is_empty() || !self.relayed.is_empty() {
            return false;
        }
        let mut byte = [0];
        matches!(self.io.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits for the first byte of a message. Returns `false` at the end of the connection.
    ///
    /// # Errors
    /// The error of the socket.
    pub async fn wait_for_data(&mut self) -> io::Result<bool> {
        Ok(!self.buf.is_empty() || self.fill().await? > 0)
    }

    /// Reads a request head of at most `max` bytes.
    ///
    /// # Errors
    /// See [`HeadError`].
    pub async fn read_request(&mut self, max: usize) -> Result<RequestHead, HeadError> {
        loop {
            if let Some(head) = parse_request(&mut self.buf).map_err(HeadError::Invalid)? {
                return Ok(head);
            }
            self.read_more_of_head(max).await?;
        }
    }

    /// Reads a response head. Together with the interim responses before it, it has at most `max`
    /// bytes.
    ///
    /// # Errors
    /// See [`HeadError`].
    pub async fn read_response(&mut self, max: usize) -> Result<ResponseHead, HeadError> {
        let mut left = max;
        loop {
            let before = self.buf.len();
            if let Some(head) = parse_response(&mut self.buf).map_err(HeadError::Invalid)? {
                return Ok(head);
            }
            let skipped = before - self.buf.len();
            left = left.checked_sub(skipped).ok_or(HeadError::TooLong)?;
            self.read_more_of_head(left).await?;
        }
    }

    async fn read_more_of_head(&mut self, max: usize) -> Result<(), HeadError> {
        if self.buf.len() > max {
            return Err(HeadError::TooLong);
        }
        match self.fill().await {
            Ok(0) if self.buf.is_empty() => Err(HeadError::Closed),
            Ok(0) => Err(HeadError::Broken(io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Ok(()),
            Err(e) => Err(HeadError::Broken(e)),
        }
    }

    /// Reads the next piece of a body's payload; `None` once the body is complete. Cancel safe.
    ///
    /// # Errors
    /// `UnexpectedEof` if the connection ended within the body, `InvalidData` for invalid framing,
    /// otherwise the error of the socket. A body that is delimited by the end of the connection is
    /// complete only if the connection was closed and not reset.
    pub async fn read_piece(&mut self, body: &mut BodyDecoder) -> io::Result<Option<Bytes>> {
        loop {
            match body.decode(&mut self.buf) {
                Step::Piece(piece) => return Ok(Some(piece)),
                Step::Done => return Ok(None),
                Step::Invalid => return Err(io::ErrorKind::InvalidData.into()),
                Step::NeedMore if self.eof && body.ends_with_connection() => return Ok(None),
                Step::NeedMore if self.eof => return Err(io::ErrorKind::UnexpectedEof.into()),
                Step::NeedMore => {
                    self.fill().await?;
                }
            }
        }
    }

    /// Reads a complete body. `admits` is asked for each length that the body reaches, and for its
    /// whole length at once if that is known; `None` if it returns `false`.
    ///
    /// # Errors
    /// As [`Conn::read_piece`].
    pub async fn read_body(
        &mut self,
        mut body: BodyDecoder,
        mut admits: impl FnMut(u64) -> bool,
    ) -> io::Result<Option<Bytes>> {
        let known = body.known_length();
        if known.is_some_and(|n| !admits(n)) {
            return Ok(None);
        }
        let mut whole = BytesMut::new();
        while let Some(piece) = self.read_piece(&mut body).await? {
            if whole.is_empty() && body.is_done() {
                return Ok(Some(piece));
            }
            if known.is_none() && !admits((whole.len() + piece.len()) as u64) {
                return Ok(None);
            }
            if whole.is_empty() {
                whole.reserve(usize::try_from(known.unwrap_or(0)).unwrap_or(0));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(Some(whole.freeze()))
    }

    /// Reads a body of at most `max` bytes and drops it.
    ///
    /// # Errors
    /// As [`Conn::read_piece`], and `InvalidData` if the body is longer.
    pub async fn discard_body(&mut self, mut body: BodyDecoder, max: u64) -> io::Result<()> {
        let mut left = max;
        while let Some(piece) = self.read_piece(&mut body).await? {
            left = left.checked_sub(piece.len() as u64).ok_or(io::ErrorKind::InvalidData)?;
        }
        Ok(())
    }

    /// Returns once the peer has closed the connection or the connection failed. Bytes of a next
    /// request that arrive meanwhile stay buffered. Cancel safe.
    pub async fn wait_closed(&mut self) {
        while !self.eof && self.buf.len() < MAX_READ_AHEAD_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        if !self.eof {
            std::future::pending::<()>().await;
        }
    }

    /// Writes all of `bytes`. If the future is dropped before, the connection is not reusable.
    ///
    /// # Errors
    /// The error of the socket.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.has_unsent = true;
        self.io.write_all(bytes).await?;
        self.has_unsent = false;
        Ok(())
    }

    /// Begins to write a request. What the socket does not take at once is written while the answer
    /// is read, so that neither an early answer nor a late one to another request holds it up.
    ///
    /// Until [`Conn::end_request`] the connection is reset when it is dropped: bytes of a request
    /// that is given up may still be held up by a network partition, and must not arrive after it.
    ///
    /// # Errors
    /// The error of the socket.
    pub fn start_request(&mut self, request: Bytes) -> io::Result<()> {
        self.in_request = true;
        self.has_unsent = true;
        self.unsent = request;
        self.write_unsent()
    }

    /// Records that the target has answered or rejected the request.
    pub fn end_request(&mut self) {
        self.in_request = false;
    }

    fn write_unsent(&mut self) -> io::Result<()> {
        while !self.unsent.is_empty() {
            match self.io.try_write(&self.unsent) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.unsent.advance(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        self.has_unsent = false;
        Ok(())
    }

    /// Splits the socket into its halves, and takes the bytes that were read but not consumed.
    pub fn split(&mut self) -> (ReadHalf<'_>, WriteHalf<'_>, BytesMut) {
        let (rd, wr) = self.io.split();
        (rd, wr, std::mem::take(&mut self.buf))
    }

    /// Sets whether the connection is closed with a reset, also by the end of this process, so that
    /// the peer cannot take an incomplete message for a complete one.
    pub fn set_reset_on_close(&self, resets: bool) {
        // A linger time of zero makes closing send a reset. If the option cannot be set, the
        // connection is closed in order.
        if let Err(e) = SockRef::from(&self.io).set_linger(resets.then_some(Duration::ZERO)) {
            log::debug!("conn linger error={e}");
        }
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        if self.in_request || self.has_unsent {
            self.set_reset_on_close(true);
        }
    }
}
