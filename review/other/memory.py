"""A hundred requesters send long bodies to one router at the same time, within its limits and link.
Fails if the router takes more memory than `memory_mb` of its settings, at which the platform kills
a process. TROUBLE=0 sends one body."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

MEMORY_MB = 260
REQUESTERS = 100
BODY_PIECES, PIECE, PIECE_GAP_S = 39, b"x" * 100_000, 0.1


def resident_mb(pid):
    with open(f"/proc/{pid}/status") as f:
        return next(int(l.split()[1]) for l in f if l.startswith("VmRSS")) // 1024


async def upload(router, n):
    _, writer = await asyncio.open_connection(router.ip, s.FRONT)
    writer.write(f"POST /x/y HTTP/1.1\r\nHost: {s.HOST}\r\nAttempt-Id: {n:08x}\r\nDeadline-Ms: 9000\r\n"
                 f"Authorization: Bearer key-a\r\nContent-Length: {4_000_000}\r\n\r\n".encode())
    for _ in range(BODY_PIECES):
        writer.write(PIECE)
        await writer.drain()
        await asyncio.sleep(PIECE_GAP_S)
    writer.close()


async def case(record, tmp, routers, trouble):
    net = s.free_network()
    store = s.Store(record)
    route = {"name": "r1", "host": s.HOST, "prefix": "/x/", "service": "api", "kind": "non_idempotent",
             "timeout_ms": 9000, "max_attempts": 1}
    store.put("op", "config", s.config(1, [route], [{"name": "api"}], [{"name": "a", "api_keys": ["key-a"]}]))
    router = s.Router(1, net, "hall-a", await store.listen(f"{net}.250", {}), tmp, record)
    routers.append(router)
    router.start()
    await router.wait_ready()
    n = REQUESTERS if trouble else 1
    record(f"{n} requesters send {BODY_PIECES * len(PIECE)} of 4000000 bytes each in "
           f"{BODY_PIECES * PIECE_GAP_S:.1f} s")
    uploads = [asyncio.create_task(upload(router, n)) for n in range(n)]
    peak = 0
    while not all(u.done() for u in uploads):
        peak = max(peak, resident_mb(router.process.pid))
        await asyncio.sleep(0.05)
    record(f"the router had {peak} MB resident at most; the platform kills it above {MEMORY_MB} MB")
    return peak <= MEMORY_MB


s.main(case, os.path.dirname(os.path.abspath(__file__)))
