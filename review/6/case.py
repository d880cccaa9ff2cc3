"""A tenant's budget while the store loses answers to writes and then rejects some machines."""

import asyncio
import os
import random
import sys
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit2
from kit2 import FRONT, Fleet, Store, Worker, now, read_body, read_head

# 0: no disruption. lost and many: only one of the two, as controls.
TROUBLE = os.environ.get("TROUBLE", "1")
# The site's machines, zones and tenants.
ZONES = ["amman-a", "amman-b", "amman-c", "amman-d"]
ROUTERS, TENANTS = 7, 10
# The site's `photo-tag`: tokens in (shared and own), events out, tokens in an event, time limit.
SHARED, OWN, EVENTS, EVENT_TOKENS, LIMIT_S = 568, 1800, 3, 9, 2.5
HOST, PATH = "tags.example", "/photo/tag"
PREPAID = 400 * (SHARED + OWN + EVENTS * EVENT_TOKENS)
# platform_lost, x = 0.35, for_s = 4.5.
LOST_SHARE, LOST_S = 0.35, 4.5
# platform_down, how = "nodes many", share = 0.35, for_s = 9.0.
DOWN_SHARE, DOWN_S = 0.35, 9.0
# Traffic of each tenant: requests a second and seconds. In each of the rounds it pauses after the
# first part and then meets the rejections.
ROUNDS, FIRST, PAUSE_S, SECOND, LAST = 3, (12, 4), 12, (12, 8), (15, 9)
# The losses begin this long after the last request before the pause, the rejections this long after
# the losses.
LOST_AFTER_S, DOWN_AFTER_S = 9.15, 0.95


class FaultyStore(Store):
    """A store at an address for each machine, which loses answers and rejects machines."""

    def __init__(self):
        super().__init__()
        self.lost, self.rejected = False, set()
        self.lost_writes, self.rejections = 0, 0

    async def listen(self, ip):
        self.listeners = [await kit2.serve(partial(self.machine, n), ip) for n in range(ROUTERS)]
        self.ip = ip

    def address_for(self, n):
        return f"{self.ip}:{self.listeners[n][1]}"

    async def machine(self, n, reader, writer):
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if n in self.rejected:
                    self.rejections += 1
                    status, answer = 429, {}
                else:
                    lost = self.lost and "/rows-tx" in target and random.random() < LOST_SHARE
                    status, answer = await self.call(method, target, body)
                    if lost:
                        # It is done, but not answered; nor is anything later on this channel.
                        self.lost_writes += 1
                        await reader.read()
                        return
                data = kit2.json.dumps(answer).encode()
                start = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{start}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def config():
    route = {
        "name": "photo-tag", "host": HOST, "prefix": "/photo/", "kind": "streaming",
        "resumable": True, "sticky": True, "public": False, "service": "brief-models",
        "timeout_ms": 2500, "target_latency_ms": 400, "gap_aim_ms": 300, "priority": 0,
        "max_attempts": 2,
    }
    service = {
        "name": "brief-models", "max_connections": 300,
        "engine": {"slots": 48, "kv_capacity": 444000, "stride": 9},
    }
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
              "idle_timeout_ms": 30000}
    tenants = [{"name": f"tenant-{n}", "api_keys": [f"key-{n}"], "prepaid": PREPAID}
               for n in range(TENANTS)]
    return {"version": 3, "routes": [route], "services": [service], "limits": limits,
            "tenants": tenants}


class Tenant:
    """What a tenant has received, by the page: input tokens once, and output tokens delivered."""

    def __init__(self, fleet, n):
        self.fleet, self.n = fleet, n
        self.tokens, self.served, self.sent = 0, 0, 0
        self.refused = {}

    async def request(self, router):
        ident = f"{random.getrandbits(64):016x}"
        self.sent += 1
        events, status, writer = 0, "none", None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(router.ip, FRONT), 1)
            writer.write(
                f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {ident}\r\nModel: m\r\n"
                f"Token-Counts: {SHARED + OWN},{EVENTS * EVENT_TOKENS}\r\n"
                f"Prompt-Prefix: a1:{SHARED},{ident}:{OWN}\r\n"
                f"Deadline-Ms: {int(LIMIT_S * 1000)}\r\nAuthorization: Bearer key-{self.n}\r\n"
                "Content-Length: 2\r\n\r\n{}".encode())
            head = await asyncio.wait_for(read_head(reader), LIMIT_S)
            status = head[0].split(" ")[1] if head else "closed"
            if status == "200":
                events = await asyncio.wait_for(self.events(reader), LIMIT_S)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
            status = f"{status} {type(e).__name__}"
        finally:
            if writer:
                writer.close()
        if events:
            self.tokens += SHARED + OWN + events * EVENT_TOKENS
            self.served += 1
        else:
            self.refused[status] = self.refused.get(status, 0) + 1
        self.fleet.record.line(
            f"tenant-{self.n} {ident} at {router.name}: {status}, {events} events, "
            f"{self.tokens} of {PREPAID} tokens")

    async def events(self, reader):
        """Reads events from chunks until the last one; returns their number."""
        data = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return data.count(b"\n\n")

    async def send(self, per_s, seconds):
        """Sends requests at a steady rate, from all zones in turn, to a machine of the zone."""
        began, tasks = now(), []
        for i in range(per_s * seconds):
            zone = ZONES[(i + self.n) % len(ZONES)]
            near = [r for r in self.fleet.routers if r.zone == zone]
            router = near[i // len(ZONES) % len(near)]
            tasks.append(asyncio.create_task(self.request(router)))
            await asyncio.sleep(max(0, began + (i + 1) / per_s - now()))
        await asyncio.gather(*tasks)


async def disrupt(fleet):
    """Answers to writes are lost; then the store rejects some machines."""
    store = fleet.store
    await asyncio.sleep(LOST_AFTER_S)
    if TROUBLE in ("1", "lost"):
        store.lost = True
        fleet.record.say(f"the store loses the answers to {LOST_SHARE} of all writes")
    await asyncio.sleep(DOWN_AFTER_S)
    if TROUBLE in ("1", "many"):
        store.rejected = set(random.sample(range(ROUTERS), int(ROUTERS * DOWN_SHARE)))
        names = sorted(fleet.routers[n].name for n in store.rejected)
        fleet.record.say(f"the store rejects {names} with 429")
    await asyncio.sleep(LOST_S - DOWN_AFTER_S)
    store.lost = False
    await asyncio.sleep(DOWN_S + DOWN_AFTER_S - LOST_S)
    store.rejected = set()
    fleet.record.say(f"the store serves all; answers lost: {store.lost_writes}, "
                     f"calls rejected: {store.rejections}")


def check(fleet, tenants):
    """BUDGET: a tenant gets more than its `prepaid`."""
    for t in tenants:
        fleet.record.say(f"tenant-{t.n}: {t.tokens} of {PREPAID} tokens "
                         f"({t.tokens / PREPAID:.3f}), served {t.served} of {t.sent}, {t.refused}")
    return any(t.tokens > PREPAID for t in tenants)


async def main():
    fleet = Fleet(Path(__file__).resolve().parent, FaultyStore())
    try:
        workers = [Worker(f"i-{n}", "brief-models", ZONES[n % 4], fleet.record, EVENTS, 0.02)
                   for n in range(12)]
        await fleet.start(ZONES, ROUTERS, workers, config())
        await asyncio.sleep(6)
        tenants = [Tenant(fleet, n) for n in range(TENANTS)]
        for _ in range(ROUNDS):
            await asyncio.gather(*(t.send(*FIRST) for t in tenants))
            trouble = asyncio.create_task(disrupt(fleet))
            await asyncio.sleep(PAUSE_S)
            await asyncio.gather(*(t.send(*SECOND) for t in tenants))
            await trouble
            await asyncio.sleep(2)
        await asyncio.gather(*(t.send(*LAST) for t in tenants))
        broken = check(fleet, tenants)
        if os.environ.get("KEEP_LOGS"):
            kit2.subprocess.run(["cp", "-r", fleet.tmp.name, os.environ["KEEP_LOGS"]])
        fleet.record.say("BUDGET is broken" if broken else "BUDGET holds")
        return broken
    finally:
        fleet.stop()


kit2.run_case(main)
