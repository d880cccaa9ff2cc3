"""Streams that are taken up again after all processes ended: killed at once, or restarted in turn."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit2
from kit2 import DIRECTORY, FRONT, Fleet, Worker, now, read_head

# The first kind of request of the site that may be resumed: face-caption.
TROUBLE = os.environ.get("TROUBLE", "1")
LIMIT_S, EVENTS, PAUSE_S = 8.0, 32, 0.22 if TROUBLE == "roll" else 0.1
ZONES = ["amman-a", "amman-b", "amman-c", "amman-d"]
ROUTERS, STREAMS = 4, 40
# A process that is killed is restarted after a short delay.
RESTART_S = 0.5
# Pauses of a requester before its tries, which double, with up to a quarter more.
BACKOFF_S = [0.25, 0.5, 1.0, 2.0]
# The rolling restart of the site's days: one machine at a time, the next one a second later.
ROLL_GAP_S, ROLL_ROUTERS, ROLL_PER_S, GRACE_S = 1.0, 7, 20, 8.0
HOST, PATH = "captions.example", "/face/caption"


def config():
    route = {
        "name": "face-caption", "host": HOST, "prefix": "/face/", "kind": "streaming",
        "resumable": True, "sticky": True, "public": False, "service": "brief-models",
        "timeout_ms": 8000, "target_latency_ms": 300, "gap_aim_ms": 300, "priority": 0,
        "max_attempts": 2,
    }
    service = {
        "name": "brief-models", "max_connections": 300,
        "engine": {"slots": 48, "kv_capacity": 444000, "stride": 9},
    }
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
              "idle_timeout_ms": 30000}
    tenants = [{"name": f"tenant-{n}", "api_keys": [f"key-{n}"], "prepaid": 10**9}
               for n in range(4)]
    return {"version": 3, "routes": [route], "services": [service], "limits": limits,
            "tenants": tenants}


class Stream:
    """One stream of a requester: its events over all its tries."""

    def __init__(self, fleet, name, key):
        self.fleet, self.name, self.key = fleet, name, key
        self.last, self.origin, self.complete = 0, None, False
        # For each try: when it was sent, the machine, whether it was in touch, the event after
        # which it goes on, and the status and number of events that came.
        self.tries = []

    async def resolve(self):
        """Asks up to three nodes, a second for each; None if none answers."""
        for router in random.sample(self.fleet.routers, 3):
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(router.ip, DIRECTORY), 1)
                writer.write(f"GET /resolve?name={HOST}&region=region-1&zone={router.zone} "
                             "HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".encode())
                head = await asyncio.wait_for(read_head(reader), 1)
                body = await kit2.read_body(reader, head[1])
                writer.close()
                found = [a.split(":")[0] for a in kit2.json.loads(body)["addresses"]]
                if found:
                    return found
            except (OSError, asyncio.TimeoutError, TypeError, asyncio.IncompleteReadError):
                continue
        return None

    async def attempt(self, left_s):
        found = await self.resolve() or [r.ip for r in self.fleet.routers]
        ip = random.choice(found)
        router = next(r for r in self.fleet.routers if r.ip == ip)
        ident = f"{random.getrandbits(64):016x}"
        after, sent = self.last, now()
        entry = {"sent": sent, "at": router.name, "in_touch": router.in_touch(), "after": after,
                 "status": "none", "events": 0}
        self.tries.append(entry)
        extra = ""
        if self.origin:
            extra = f"Last-Event-Id: {after}\r\nResumes: {self.origin}\r\n"
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, FRONT), 1)
            body = b"{}"
            writer.write(
                f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {ident}\r\nModel: m\r\n"
                f"Token-Counts: 826,{EVENTS * 9}\r\nPrompt-Prefix: a1:198,{ident}:628\r\n"
                f"Deadline-Ms: {int(left_s * 1000)}\r\nAuthorization: Bearer {self.key}\r\n{extra}"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            head = await asyncio.wait_for(read_head(reader), left_s)
            if not head:
                entry["status"] = "closed"
                return
            entry["status"] = head[0].split(" ")[1]
            if entry["status"] != "200":
                body = await kit2.read_body(reader, head[1])
                entry["status"] += " " + body.decode()
                return
            await asyncio.wait_for(self.events(reader, entry, ident), left_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
            if entry["status"] == "none":
                entry["status"] = type(e).__name__
        finally:
            if writer:
                writer.close()
            self.fleet.record.line(f"{self.name} {ident} resumes={self.origin} {entry}")

    async def events(self, reader, entry, ident):
        """Reads events from chunks until the last one."""
        data = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                self.complete = True
                return
            data += piece[:-2]
            while b"\n\n" in data:
                event, data = data.split(b"\n\n", 1)
                number = int(event.split(b"\n")[0].split(b":")[1])
                assert number == self.last + 1, f"{self.name}: event {number} after {self.last}"
                self.last = number
                self.origin = self.origin or ident
                entry["events"] += 1

    async def run(self):
        end = now() + LIMIT_S
        await self.attempt(LIMIT_S)
        for pause in BACKOFF_S:
            await asyncio.sleep(pause * random.uniform(1, 1.25))
            left = end - now()
            if self.complete or left <= 0.05:
                return
            await self.attempt(left)


async def kill_all(fleet, routers):
    for router in routers:
        router.kill()
    fleet.record.say(f"all processes of {len(routers)} machines are killed")
    await asyncio.sleep(RESTART_S)
    for router in routers:
        router.start()
    fleet.record.say("they are started again")


async def restart(fleet, router):
    """SIGTERM, SIGKILL after `grace_s`, and a new process a short delay after the end."""
    router.signal(kit2.signal.SIGTERM)
    router.started_at, ordered = None, now()
    fleet.record.line(f"{router.name} gets SIGTERM")
    while router.child.poll() is None and now() - ordered < GRACE_S:
        await asyncio.sleep(0.02)
    router.kill()
    fleet.record.line(f"{router.name} ended after {now() - ordered:.1f} s")
    await asyncio.sleep(RESTART_S)
    router.start()


async def roll(fleet):
    """A rolling restart under steady traffic; returns the streams."""
    streams, tasks, began = [], [], now()
    for n in range(int(ROLL_PER_S * (ROLL_GAP_S * ROLL_ROUTERS + 2 * GRACE_S))):
        if n % (ROLL_PER_S * ROLL_GAP_S) == 0 and n < ROLL_PER_S * ROLL_GAP_S * ROLL_ROUTERS:
            router = fleet.routers[int(n / (ROLL_PER_S * ROLL_GAP_S))]
            tasks.append(asyncio.create_task(restart(fleet, router)))
        streams.append(Stream(fleet, f"stream-{n}", f"key-{n % 4}"))
        tasks.append(asyncio.create_task(streams[-1].run()))
        await asyncio.sleep(max(0, began + (n + 1) / ROLL_PER_S - now()))
    await asyncio.gather(*tasks)
    fleet.record.say(f"complete: {sum(s.complete for s in streams)} of {len(streams)}")
    return streams


async def kill(fleet):
    """Streams that are cut by a kill, and as many new ones later; returns all."""
    first = [Stream(fleet, f"first-{n}", f"key-{n % 4}") for n in range(STREAMS)]
    tasks = [asyncio.create_task(s.run()) for s in first]
    await asyncio.sleep(0.8)
    if TROUBLE != "0":
        # TROUBLE=one leaves one machine alone: a control that the stand-ins take up streams.
        await kill_all(fleet, fleet.routers[:-1] if TROUBLE == "one" else fleet.routers)
    await asyncio.sleep(3.2)
    later = [Stream(fleet, f"later-{n}", f"key-{n % 4}") for n in range(STREAMS)]
    tasks += [asyncio.create_task(s.run()) for s in later]
    await asyncio.gather(*tasks)
    done = sum(s.complete for s in first), sum(s.complete for s in later)
    fleet.record.say(f"complete: {done[0]} and {done[1]} of {STREAMS} each")
    return first + later


def check(fleet, streams):
    """LOST: of 12 or more streams that are taken up again at machines in touch, the share that goes
    on is under half of the share of new streams that begin there."""
    begun = [t for s in streams for t in s.tries if t["in_touch"] and not t["after"]]
    new_share = sum(t["events"] > 0 for t in begun) / max(len(begun), 1)
    taken_up, goes_on, refused = 0, 0, {}
    for s in streams:
        again = [t for t in s.tries if t["in_touch"] and t["after"]]
        if again:
            taken_up += 1
            goes_on += any(t["events"] for t in again)
            for t in again:
                if not t["events"]:
                    refused[t["status"]] = refused.get(t["status"], 0) + 1
    share = goes_on / max(taken_up, 1)
    fleet.record.say(f"new streams at machines in touch: {len(begun)}, begin: {new_share:.2f}")
    fleet.record.say(f"streams taken up again at machines in touch: {taken_up}, "
                     f"go on: {goes_on} ({share:.2f}); answers of the others: {refused}")
    return taken_up >= 12 and share < new_share / 2


async def main():
    fleet = Fleet(Path(__file__).resolve().parent)
    try:
        workers = [Worker(f"i-{n}", "brief-models", ZONES[n % 4], fleet.record, EVENTS, PAUSE_S)
                   for n in range(4)]
        await fleet.start(
            ZONES, ROLL_ROUTERS if TROUBLE == "roll" else ROUTERS, workers, config())
        # Budgets, the lists of routers and the placement have settled, and all are in touch.
        await asyncio.sleep(6)
        streams = await (roll if TROUBLE == "roll" else kill)(fleet)
        broken = check(fleet, streams)
        fleet.record.say("LOST is broken" if broken else "LOST holds")
        return broken
    finally:
        fleet.stop()


kit2.run_case(main)
