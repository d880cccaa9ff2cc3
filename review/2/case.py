"""A router is stopped while a requester on a kept channel still sends the body of its request."""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

WORK_S = 0.3
LOSS_SLACK_S = 0.2
GRACE_S = 8


class Worker:
    """Runs one request at a time on a channel, each for WORK_S."""

    def __init__(self, name, record):
        self.name, self.record, self.began = name, record, {}

    async def listen(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        return "%s:%d" % server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        try:
            while True:
                _, headers = await s.read_head(reader)
                body = await s.read_body(reader, headers)
                attempt = s.get(headers, "attempt-id")
                if attempt is None:
                    writer.write(b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.began[attempt] = self.record.now()
                self.record(f"{self.name} runs {attempt} ({len(body)} bytes of body)")
                await asyncio.sleep(WORK_S)
                data = f"ran {attempt}".encode()
                writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal-{attempt}\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Channel:
    """A requester's kept channel."""

    def __init__(self, record, reader, writer):
        self.record, self.reader, self.writer = record, reader, writer

    async def request(self, attempt, size, seconds, start_at=0.0):
        """Sends one request whose body takes `seconds`. Returns the status, the time of its last
        byte and the time at which the answer or the end of the channel came."""
        await asyncio.sleep(max(0.0, start_at - self.record.now()))
        head = (f"POST /orders/x HTTP/1.1\r\nHost: {s.HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\n"
                f"Authorization: Bearer key-a\r\nContent-Length: {size}\r\n\r\n")
        status = None
        sent = self.record.now()
        self.record(f"requester begins to send {attempt}")
        try:
            steps = 10 if seconds else 1
            self.writer.write(head.encode())
            for n in range(steps):
                self.writer.write(b"x" * (size // steps))
                await self.writer.drain()
                if n < steps - 1:
                    await asyncio.sleep(seconds / (steps - 1))
            sent = self.record.now()
            self.record(f"requester has sent the last byte of {attempt}")
            line, headers = await asyncio.wait_for(s.read_head(self.reader), 4)
            data = await s.read_body(self.reader, headers)
            status = int(line.split(" ")[1])
            self.record(f"requester gets for {attempt}: {line} {data!r}")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError) as e:
            self.record(f"requester: the channel of {attempt} ends without an answer ({type(e).__name__})")
        return status, sent, self.record.now()


async def case(record, tmp, routers, trouble):
    net = s.free_network()
    store = s.Store(record)
    worker = Worker("worker-1", record)
    route = {"name": "r1", "host": s.HOST, "service": "api", "prefix": "/orders/", "kind": "non_idempotent",
             "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "max_attempts": 1}
    store.put("op", "config", s.config(1, [route], [{"name": "api", "max_connections": 96}],
                                       [{"name": "a", "api_keys": ["key-a"]}]))
    store.put("servers", "w-1", s.entry("api", await worker.listen(f"{net}.101"), "hall-a"))
    for n in (1, 2):
        router = s.Router(n, net, f"hall-{'ab'[n - 1]}", await store.listen(f"{net}.250", {}), tmp, record)
        routers.append(router)
        router.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(5)
    first = routers[0]
    channels = []
    for n in range(8):
        channel = Channel(record, *await asyncio.open_connection(first.ip, s.FRONT))
        await channel.request(f"kept{n:04d}", 600, 0)
        channels.append(channel)
    reader, writer = await asyncio.open_connection(first.ip, s.DIRECTORY)
    writer.write(f"GET /resolve?name={s.HOST}&region=amba&zone=hall-a HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    _, headers = await s.read_head(reader)
    answer = json.loads(await s.read_body(reader, headers))
    resolved = record.now()
    record(f"requester resolves: {answer}; some keep that for three times ttl_s")
    lasts = 3 * answer["ttl_s"]
    stopped = record.now()
    if trouble:
        first.signal(signal.SIGTERM)
    # Each begins while the answer of the directory still counts.
    starts = [resolved + lasts - 0.45 + 0.025 * n for n in range(8)]
    outcomes = await asyncio.gather(*(
        c.request(f"{n:04d}eeee", 60_000, 0.5, starts[n]) for n, c in enumerate(channels)))
    held = True
    for n, (status, sent, ended) in enumerate(outcomes):
        attempt = f"{n:04d}eeee"
        ran = attempt in worker.began
        lost = status is None and ended > sent and (ran or ended > sent + LOSS_SLACK_S)
        record(f"{attempt}: last byte {sent - stopped:.3f} s after the SIGTERM, "
               f"end {ended - stopped:.3f} s, status {status}, ran: {ran}" + (", LOST" if lost else ""))
        held &= not lost
    if trouble:
        first.process.wait(GRACE_S)
        record(f"router-1 has ended with {first.process.returncode}, before {record.now() - stopped:.3f} s")
        for line in first.dump_log("event=stop", "event=exit"):
            record("  router-1 logs: " + line)
    return held


s.main(case, os.path.dirname(os.path.abspath(__file__)))
