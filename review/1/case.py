"""A worker rejects a long request before it has read all of it, keeps the channel and reads on."""

import asyncio
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

BODY = 110_000  # the longest on the sheet of the small installation
# How long after its early answer the worker reads on.
READ_ON_AFTER_S = 0.2
ROUTE = "/claims/"


# The tenant and the body of each request that a requester sent, by its id.
SENT = {}


def plain_body(attempt):
    """A body of the requester's own id, over and over."""
    unit = f"<{attempt}>".encode()
    return (unit * (BODY // len(unit) + 1))[:BODY]


def smuggling_body(forged):
    """A body that holds a request of its own, behind empty lines."""
    request = (f"POST {ROUTE}x HTTP/1.1\r\nHost: {s.HOST}\r\nAttempt-Id: {forged}\r\nTenant: a\r\n"
               f"Content-Length: 0\r\n\r\n").encode()
    return b"\r\n" * ((BODY - len(request)) // 2) + request


class Worker:
    """Serves one request at a time on a channel. While `rejects` is set, it rejects requests with
    long bodies as soon as it has their head, keeps the channel and reads the body later."""

    def __init__(self, name, record):
        self.name, self.record, self.rejects = name, record, False
        self.foreign, self.ran, self.unasked, self.rejected, self.channels = [], [], [], [], 0

    def listen(self, ip):
        sock = socket.socket()
        # The segment size of Ethernet and a small window, as on the users' links.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_460)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.bind((ip, 0))
        sock.listen(64)
        threading.Thread(target=self.accept, args=(sock,), daemon=True).start()
        return "%s:%d" % sock.getsockname()

    def accept(self, sock):
        while True:
            conn, _ = sock.accept()
            self.channels += 1
            threading.Thread(target=self.serve, args=(conn, self.channels), daemon=True).start()

    def serve(self, conn, channel):
        try:
            while self.serve_one(conn, channel):
                pass
        except OSError as e:
            self.record(f"{self.name}, channel {channel}: {e}")
        conn.close()

    def serve_one(self, conn, channel):
        raw = b""
        while not raw.endswith(b"\r\n\r\n"):
            byte = conn.recv(1)
            if not byte:
                return False
            # Empty lines before a request are skipped, as RFC 9112, section 2.2, asks of servers.
            if not raw and byte in b"\r\n":
                continue
            raw += byte
            if len(raw) > 16_384 or not raw[:1].isupper():
                self.record(f"{self.name}, channel {channel}: no request, but {raw[:40]!r}")
                conn.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                return False
        lines = raw[:-4].decode("latin-1").split("\r\n")
        headers = [(n.strip().lower(), v.strip()) for n, _, v in (l.partition(":") for l in lines[1:])]
        attempt, tenant = s.get(headers, "attempt-id"), s.get(headers, "tenant")
        length = int(s.get(headers, "content-length", "0"))
        if attempt is None:
            conn.sendall(b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        early = self.rejects and length >= BODY
        if early:
            self.rejected.append(attempt)
            self.record(f"{self.name}, channel {channel}: rejects {attempt} of tenant {tenant} "
                        f"with Not-Executed; {length} bytes of body are due, and will be read later")
            conn.sendall(f"HTTP/1.1 503 Busy\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
                         f"Content-Length: 0\r\n\r\n".encode())
            time.sleep(READ_ON_AFTER_S)
        body = b""
        while len(body) < length:
            piece = conn.recv(min(4_096, length - len(body)))
            if not piece:
                self.record(f"{self.name}, channel {channel}: ends after {len(body)} of {length} "
                            f"bytes of the body of {attempt}")
                return False
            body += piece
            due = SENT[attempt][1][:len(body)] if attempt in SENT else b""
            if attempt in SENT and body != due and attempt not in self.foreign:
                at = next(i for i, (x, y) in enumerate(zip(body, due)) if x != y)
                self.foreign.append(attempt)
                self.record(f"{self.name}, channel {channel}: gets other bytes where byte {at} of the "
                            f"body of {attempt} is due: {body[at:at + 200]!r}")
        if early:
            return True
        self.ran.append(attempt)
        self.record(f"{self.name}, channel {channel}: runs {attempt} of tenant {tenant}")
        if attempt not in SENT or SENT[attempt][0] != tenant:
            self.unasked.append(attempt)
            self.record(f"{self.name}, channel {channel}: no requester of tenant {tenant} sent {attempt}")
        data = f"ran {attempt} for tenant {tenant}".encode()
        conn.sendall(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal-{attempt}\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        return True


async def request(record, router, attempt, tenant, body):
    """One requester attempt on a channel of its own."""
    SENT[attempt] = (tenant, body)
    key = f"key-{tenant}"
    reader, writer = await asyncio.open_connection(router.ip, s.FRONT)
    head = (f"POST {ROUTE}x HTTP/1.1\r\nHost: {s.HOST}\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n")
    record(f"requester with {key} sends {attempt} with {len(body)} bytes of body")
    try:
        writer.write(head.encode() + body)
        await writer.drain()
        line, headers = await asyncio.wait_for(s.read_head(reader), 4)
        data = await s.read_body(reader, headers)
        record(f"requester gets for {attempt}: {line} {data!r}")
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as e:
        record(f"requester gets no answer for {attempt} ({type(e).__name__})")
    finally:
        writer.close()


async def case(record, tmp, routers, trouble):
    net = s.free_network()
    store = s.Store(record)
    worker = Worker("worker-1", record)
    addr = worker.listen(f"{net}.101")
    route = {"name": "r1", "host": s.HOST, "prefix": ROUTE, "service": "api", "kind": "non_idempotent",
             "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "max_attempts": 1}
    services = [{"name": "api", "max_connections": 96}]
    tenants = [{"name": "a", "api_keys": ["key-a"]}, {"name": "b", "api_keys": ["key-b"]}]
    store.put("op", "config", s.config(1, [route], services, tenants))
    store.put("servers", "w-1", s.entry("api", addr, "hall-a"))
    router = s.Router(1, net, "hall-a", await store.listen(f"{net}.250", {}), tmp, record)
    routers.append(router)
    router.start()
    await router.wait_ready()
    await asyncio.sleep(1)
    for n in range(4):
        worker.rejects = trouble
        attempt = f"{n:04d}aaaa"
        await request(record, router, attempt, "a", plain_body(attempt))
        worker.rejects = False
        await asyncio.sleep(0.5)
        # The request inside the body has an id that no requester sent, or that of its own requester.
        attempt = f"{n:04d}bbbb"
        await request(record, router, attempt, "b", smuggling_body(attempt if n % 2 else f"{n:04d}ffff"))
        await asyncio.sleep(0.5)
    record(f"rejected early: {worker.rejected}; ran: {worker.ran}; got other bytes: {worker.foreign}; "
           f"ran though no requester sent it: {worker.unasked}")
    return not worker.foreign and not worker.unasked


s.main(case, os.path.dirname(os.path.abspath(__file__)))
