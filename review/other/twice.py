"""A worker's stream turns into bytes that are no answer, the worker works on, and the router goes on
at another worker."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

EVENTS = 60
EVENT_GAP_S = 0.05
# How long the second worker, which is busy, takes until its first event.
BUSY_S = 1.2
# The rule's bound.
STILL_AT_WORK_S = 0.4


class Worker:
    """Streams events in chunks; drops a request when its channel closes. If `spoils` is set, it
    spoils the answer after some events and works on."""

    def __init__(self, name, record):
        self.name, self.record, self.spoils, self.busy = name, record, False, False
        self.began, self.ended = {}, {}

    async def listen(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        return "%s:%d" % server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        attempt = None
        try:
            while True:
                line, headers = await s.read_head(reader)
                await s.read_body(reader, headers)
                attempt = s.get(headers, "attempt-id")
                await self.run(attempt, int(s.get(headers, "last-event-id", "0")), reader, writer)
                attempt = None
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if attempt:
                self.ended.setdefault(attempt, self.record.now())
                self.record(f"{self.name} stops work on {attempt}: its channel is closed")
            writer.close()

    async def run(self, attempt, after, reader, writer):
        closed = asyncio.create_task(reader.read(1))

        async def pause(seconds):
            done, _ = await asyncio.wait([closed], timeout=seconds)
            if done:
                raise ConnectionError("closed")
        self.began[attempt] = self.record.now()
        self.record(f"{self.name} begins to work on {attempt} after event {after}")
        spoils = self.spoils
        await pause(BUSY_S if self.busy else 0.02)
        writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal-{attempt}\r\n"
                     f"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for n in range(after + 1, EVENTS + 1):
            event = f"id: {n}\ndata: {n} of {EVENTS}\n\n".encode()
            if spoils and n == after + 6:
                self.record(f"{self.name} sends bytes that are no answer in place of event {n} of "
                            f"{attempt}, and works on")
                writer.write(b"\x00 no chunk \x00\r\n" + event)
            else:
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await pause(EVENT_GAP_S)
        self.ended[attempt] = self.record.now()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record(f"{self.name} has ended {attempt}")
        closed.cancel()


async def request(record, router, attempt, gap_s=3.0):
    reader, writer = await asyncio.open_connection(router.ip, s.FRONT)
    writer.write(f"GET /stream/x HTTP/1.1\r\nHost: {s.HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 15000\r\n"
                 f"Authorization: Bearer key-a\r\n\r\n".encode())
    record(f"requester sends {attempt}")
    body = b""
    try:
        line, headers = await asyncio.wait_for(s.read_head(reader), 6)
        while size := int(await asyncio.wait_for(reader.readuntil(b"\r\n"), gap_s), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        record(f"requester gets for {attempt}: {line}, complete, {body.count(b'id:')} events")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError, ValueError) as e:
        record(f"requester: {attempt} ends early ({type(e).__name__}), {body.count(b'id:')} events")
    finally:
        writer.close()


async def case(record, tmp, routers, trouble):
    net = s.free_network()
    store = s.Store(record)
    workers = [Worker(f"worker-{n}", record) for n in (1, 2)]
    route = {"name": "r1", "host": s.HOST, "service": "model", "prefix": "/stream/", "kind": "streaming",
             "resumable": True, "timeout_ms": 15000, "target_latency_ms": 400, "gap_aim_ms": 200,
             "priority": 1, "max_attempts": 2}
    store.put("op", "config", s.config(1, [route], [{"name": "model", "max_connections": 96}],
                                       [{"name": "a", "api_keys": ["key-a"]}]))
    for w in workers:
        store.put("servers", w.name, s.entry("model", await w.listen(f"{net}.101"), "hall-a"))
    router = s.Router(1, net, "hall-a", await store.listen(f"{net}.250", {}), tmp, record)
    routers.append(router)
    router.start()
    await router.wait_ready()
    await asyncio.sleep(2)
    # Sound requests, which earn the router its retries.
    await asyncio.gather(*(request(record, router, f"sound{n:03d}") for n in range(30)))
    held = True
    for n in range(4):
        attempt = f"{n:04d}dddd"
        answer = asyncio.create_task(request(record, router, attempt))
        # The worker that gets the request spoils its answer; the other one is busy.
        for w in workers:
            w.spoils = trouble
        for _ in range(200):
            if any(attempt in w.began for w in workers):
                break
            await asyncio.sleep(0.005)
        for w in workers:
            w.spoils = False
            w.busy = attempt not in w.began
        await answer
        await asyncio.sleep(0.5)
        for w in workers:
            w.busy = False
        runs = sorted((w.began[attempt], w.ended.get(attempt), w.name) for w in workers if attempt in w.began)
        if len(runs) == 2:
            over = (runs[0][1] or record.now()) - runs[1][0]
            record(f"{attempt}: {runs[0][2]} was still at work {over * 1000:.0f} ms after {runs[1][2]} began")
            held &= over < STILL_AT_WORK_S
        else:
            record(f"{attempt}: {len(runs)} worker ran it")
    return held


s.main(case, os.path.dirname(os.path.abspath(__file__)))
