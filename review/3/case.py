"""A router that is partitioned from the workers reaches them through another router, and that one
is killed, or stopped, while a worker's answer without a length passes through it."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

PIECES = 12
PIECE_GAP_S = 0.1
# The pause of an answer that outlasts the time in which a router must stop.
LONG_PIECE_GAP_S = 0.9
KILL_AFTER_S = 0.55


class Worker:
    """Answers without a length: the end of the channel ends the answer, whole only if not reset."""

    def __init__(self, name, record):
        self.name, self.record, self.whole = name, record, {}

    async def listen(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        return server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        try:
            line, headers = await s.read_head(reader)
            await s.read_body(reader, headers)
            attempt = s.get(headers, "attempt-id")
            if attempt is None:
                writer.write(b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                return
            stream = "/stream/" in line
            kind = "text/event-stream" if stream else "text/plain"
            pieces = [f"id: {n}\ndata: {attempt} {n} of {PIECES}\n\n" for n in range(1, PIECES + 1)]
            self.whole[attempt] = "".join(pieces).encode()
            self.record(f"{self.name} runs {attempt}: {len(self.whole[attempt])} bytes without a length")
            writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal-{attempt}\r\n"
                         f"Content-Type: {kind}\r\nConnection: close\r\n\r\n".encode())
            for piece in pieces:
                writer.write(piece.encode())
                await writer.drain()
                await asyncio.sleep(LONG_PIECE_GAP_S if "/long" in line else PIECE_GAP_S)
            self.record(f"{self.name} has sent all of {attempt}")
        except (asyncio.IncompleteReadError, ConnectionError) as e:
            self.record(f"{self.name}: channel ends ({type(e).__name__})")
        finally:
            writer.close()


class Link:
    """The path of one router to one worker. While it is cut, open channels are reset and new ones
    are refused."""

    def __init__(self, to):
        self.to, self.open, self.server, self.port = to, set(), None, 0

    async def listen(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.ip, self.port = self.server.sockets[0].getsockname()
        return f"{self.ip}:{self.port}"

    async def serve(self, reader, writer):
        r, w = await asyncio.open_connection(*self.to)
        self.open.update((writer, w))

        async def copy(source, sink):
            try:
                while data := await source.read(65_536):
                    sink.write(data)
                    await sink.drain()
            except ConnectionError:
                pass
            sink.close()
        await asyncio.gather(copy(reader, w), copy(r, writer))

    def cut(self):
        self.server.close()
        for writer in self.open:
            writer.transport.abort()
        self.open.clear()


async def request(record, worker, router, attempt, path):
    """Returns whether the answer is right: whole, or seen to be incomplete, or no success."""
    reader, writer = await asyncio.open_connection(router.ip, s.FRONT)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: {s.HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 15000\r\n"
                 f"Authorization: Bearer key-a\r\n\r\n".encode())
    record(f"requester sends {attempt} (GET {path}) to {router.name}")
    body, complete = b"", False
    try:
        line, headers = await asyncio.wait_for(s.read_head(reader), 6)
        status, seal = int(line.split(" ")[1]), s.get(headers, "response-seal")
        if s.get(headers, "transfer-encoding") == "chunked":
            while size := int(await asyncio.wait_for(reader.readuntil(b"\r\n"), 6), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            body = await asyncio.wait_for(s.read_body(reader, headers), 6)
        complete = True
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError) as e:
        record(f"requester: {attempt} ends early and looks so ({type(e).__name__}), {len(body)} bytes")
        return True
    finally:
        writer.close()
    whole = worker.whole.get(attempt, b"")
    record(f"requester gets for {attempt}: {status}, seal {seal}, complete answer of {len(body)} bytes; "
           f"the worker's whole body has {len(whole)}")
    return not (200 <= status < 300 and complete and body != whole)


async def case(record, tmp, routers, trouble):
    net = s.free_network()
    store = s.Store(record)
    worker = Worker("worker-1", record)
    to = await worker.listen(f"{net}.101")
    links = [Link(to) for _ in range(2)]
    base = {"host": s.HOST, "service": "api", "timeout_ms": 15000, "target_latency_ms": 2000,
            "gap_aim_ms": 500, "priority": 1, "max_attempts": 1}
    routes = [{**base, "name": "r1", "prefix": "/plain/", "kind": "idempotent"},
              {**base, "name": "r2", "prefix": "/stream/", "kind": "streaming"}]
    store.put("op", "config", s.config(1, routes, [{"name": "api", "max_connections": 96}],
                                       [{"name": "a", "api_keys": ["key-a"]}]))
    for n, link in enumerate(links, 1):
        addr = await link.listen(f"{net}.{110 + n}")
        store_addr = await store.listen(f"{net}.250", {"w-1": addr})
        if n == 1:
            store.put("servers", "w-1", s.entry("api", "%s:%d" % to, "hall-a"))
        routers.append(s.Router(n, net, f"hall-{'abc'[n - 1]}", store_addr, tmp, record))
        routers[-1].start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(7)
    a, relay = routers
    held = True
    if trouble:
        record("router-1 is cut off from the worker; requesters, the store and router-2 reach it")
        links[0].cut()
    # The first request shows the router that it is cut off.
    held &= await request(record, worker, a, "warm0000", "/plain/x")
    signals = [("/plain/x", signal.SIGKILL), ("/stream/x", signal.SIGKILL)] * 2
    for n, (path, sig) in enumerate([*signals, ("/stream/long", signal.SIGTERM)]):
        attempt = f"{n:04d}cccc"
        answer = asyncio.create_task(request(record, worker, a, attempt, path))
        await asyncio.sleep(KILL_AFTER_S)
        if trouble:
            relay.signal(sig)
        held &= await answer
        if trouble:
            relay.process.wait(10)
        if trouble:
            relay.start()
            await relay.wait_ready()
            await asyncio.sleep(5)
    for line in a.dump_log("event=path", "event=relay"):
        record("  router-1 logs: " + line)
    return held


s.main(case, os.path.dirname(os.path.abspath(__file__)))
