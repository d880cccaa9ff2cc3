"""Stand-ins for the scripts in this folder: the platform's store, workers, requesters and the
processes of the routers. Python's standard library only, loopback addresses only."""

import asyncio
import base64
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = "target/release/kingcupwall-platform"
FRONT, READY, DIRECTORY, METRICS, PEER = 8227, 8220, 8224, 9464, 7340
HOST = "desk.example"


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def free_network():
    """The first three octets of a loopback network whose ports are free."""
    ports = (FRONT, READY, DIRECTORY, METRICS, PEER)
    for _ in range(200):
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for n in range(1, 10):
                for port in ports:
                    with socket.socket() as s:
                        s.bind((f"{net}.{n}", port))
            return net
        except OSError:
            continue
    raise RuntimeError("no free loopback network")


# HTTP

async def read_head(reader):
    """Reads a head: its first line and a list of (lower-case name, value)."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def get(headers, name, default=None):
    return next((v for n, v in headers if n == name.lower()), default)


async def read_body(reader, headers):
    if (get(headers, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(get(headers, "content-length", "0")))


class Store:
    """The platform's store: rows with versions, transactions and feeds. Each router has a listener
    of its own, so that it can be given its own links to the workers."""

    def __init__(self, record, tx_ms=3.0):
        self.rows, self.ver, self.history = {}, 0, []
        self.changed = asyncio.Event()
        self.record, self.tx_ms = record, tx_ms
        self.start = time.monotonic()
        self.servers = []

    def now_ms(self):
        return 1_000_000 + (time.monotonic() - self.start) * 1000

    def _apply(self, writes, removes):
        self.ver += 1
        for key, value in writes:
            self.rows[key] = (value, self.ver)
            self.history.append((self.ver, key, value))
        for key in removes:
            if self.rows.pop(key, None):
                self.history.append((self.ver, key, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self._apply([((table, "", key), json.dumps(value).encode())], [])

    def remove(self, table, key):
        self._apply([], [(table, "", key)])

    def _wire(self, key, value, ver, links):
        table, part, name = key
        row = {"table": table, "part": part, "key": name, "ver": ver}
        if value is None:
            row["deleted"] = True
            return row
        if table == "servers" and name in links:
            entry = json.loads(value)
            entry["address"] = links[name]
            value = json.dumps(entry).encode()
        row["value"] = base64.b64encode(value).decode()
        return row

    async def listen(self, ip, links):
        """Serves one router. `links` maps workers to the addresses at which it reaches them."""
        async def handle(reader, writer):
            try:
                while True:
                    line, headers = await read_head(reader)
                    body = await read_body(reader, headers)
                    status, answer = await self._call(line, body, links)
                    data = json.dumps(answer).encode()
                    writer.write(
                        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()
        server = await asyncio.start_server(handle, ip, 0)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()

    async def _call(self, line, body, links):
        from urllib.parse import parse_qs, urlsplit
        method, target, _ = line.split(" ")
        url = urlsplit(target)
        q = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-get":
            await asyncio.sleep(0.002)
            table, part = q["table"], q.get("part", "")
            keys = sorted(k for k in self.rows if k[0] == table and k[1] == part)
            keys = [k for k in keys if k[2] >= q.get("from", "") and ("to" not in q or k[2] < q["to"])]
            limit = int(q.get("limit", 500))
            rows = [self._wire(k, *self.rows[k], links) for k in keys[:limit]]
            return 200, {"rows": rows, "truncated": len(keys) > limit, "ver": self.ver,
                         "now_ms": self.now_ms()}
        if url.path == "/rows-feed":
            table, after = q["table"], int(q["after"])
            until = time.monotonic() + float(q.get("wait_ms", 0)) / 1000
            while True:
                new = [(v, k, x) for v, k, x in self.history if v > after and k[0] == table]
                left = until - time.monotonic()
                if new or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            latest = {k: (v, x) for v, k, x in new}
            rows = [self._wire(k, x, v, links) for k, (v, x) in
                    sorted(latest.items(), key=lambda e: e[1][0])]
            return 200, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
        if (method, url.path) == ("POST", "/rows-tx"):
            tx = json.loads(body)
            await asyncio.sleep(self.tx_ms / 1000)
            key = lambda r: (r["table"], r.get("part", ""), r["key"])
            expected = tx.get("expected_rev", [])
            if any(self.rows.get(key(r), (None, 0))[1] != r.get("ver", 0) for r in expected):
                rows = [self._wire(key(r), *self.rows[key(r)], {}) if key(r) in self.rows else
                        {"table": r["table"], "part": r.get("part", ""), "key": r["key"], "ver": 0}
                        for r in expected]
                return 412, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
            writes = [(key(r), base64.b64decode(r["value"])) for r in tx.get("writes", [])]
            if any(k[0] in ("op", "servers") for k, _ in writes):
                return 403, {}
            self._apply(writes, [key(r) for r in tx.get("remove", [])])
            return 200, {"ver": self.ver, "now_ms": self.now_ms()}
        return 404, {}


def end_with_parent():
    """A router must not outlive the script, however that ends."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class Router:
    """One process of the deploy file's role, on an address of its own."""

    def __init__(self, number, net, zone, store_addr, folder, record):
        self.name, self.ip, self.zone = f"router-{number}", f"{net}.{number}", zone
        self.record, self.process = record, None
        self.settings = os.path.join(folder, f"{self.name}.yaml")
        self.log = os.path.join(folder, f"{self.name}.log")
        with open(self.settings, "w") as f:
            f.write(f"""node: "{self.name}"
role: "router"
machine_class: "edge"
serves: ["edge", "registry"]
ip: "{self.ip}"
zone: "{zone}"
region: "amba"
zones: {{ hall-a: "amba", hall-b: "amba", hall-c: "amba" }}
listen: {{ front: "{self.ip}:{FRONT}", ready: "{self.ip}:{READY}", directory: "{self.ip}:{DIRECTORY}" }}
internal_ports: [{PEER}, 7355]
seeds: []
bootstrap: true
limits: {{ cpu_share: 0.25, cores: 1, memory_mb: 260, max_fds: 4200, link_mbps: 1000.0, disk_mb: 0 }}
discovery: "platform"
entry: "registry"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
bounds: {{ seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000,
  grace_s: 8, loss_slack_ms: 200, config_ms: 2000, rollback_slack_ms: 250, outer_ms: 5000,
  strict_revoke: false, revoke_ms: 5000, retry_budget_ratio: 0.2, retry_window_s: 10, retry_slack: 52,
  recover_s: 12, pass_ms: 120, again_s: 9.9, settle_ms: 1500, ttl_max_s: 5 }}
platform: {{ address: "{store_addr}", form: "table", writes_per_s: 600, reads_per_s: 2000, tx_ms: 3.0,
  part_writes_s: 300, row_bytes: 65536, across: true, history_s: 20, blob_bytes: 8388608,
  blob_ms: 25.0, blob_mb_s: 80.0 }}
""")

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["KINGCUPWALL_CONFIG"] = self.settings
        log = open(self.log, "ab")
        self.process = subprocess.Popen([DAEMON], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log, preexec_fn=end_with_parent)
        self.record(f"{self.name} started")

    def signal(self, sig):
        self.process.send_signal(sig)
        self.record(f"{self.name} gets {signal.Signals(sig).name}")

    async def ready(self):
        try:
            r, w = await asyncio.open_connection(self.ip, READY)
            w.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(r), 1)
            w.close()
            return " 200 " in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def dump_log(self, *words):
        """The lines of the log that hold one of the words, for the record."""
        with open(self.log, errors="replace") as f:
            return [l.rstrip() for l in f if any(w in l for w in words)]


def config(version, routes, services, tenants):
    return {
        "version": version, "routes": routes, "services": services, "tenants": tenants,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
    }


def entry(service, address, zone, state="ready", version="1.0", slots=64):
    return {"service": service, "address": address, "zone": zone, "version": version,
            "slots": slots, "state": state, "warmup_left_ms": 0, "sequence": 1}


def main(case, folder):
    """Runs a case: `case(record, temporary folder, trouble)` returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    tmp = tempfile.mkdtemp(prefix="review-")
    routers = []

    async def run():
        # Listeners that end with the case are no failure of it.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(record, tmp, routers, trouble), 110)

    def stop(*_):
        raise SystemExit(2)
    signal.signal(signal.SIGTERM, stop)
    code = 2
    try:
        if not os.path.exists(os.path.join(ROOT, DAEMON)):
            raise RuntimeError(f"{DAEMON} is not built")
        code = 0 if asyncio.run(run()) else 1
        record("the rule held" if code == 0 else "the rule was BROKEN")
    except Exception as e:
        record(f"the case couldn't run: {type(e).__name__}: {e}")
    finally:
        for r in routers:
            r.end()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(tmp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(tmp, ignore_errors=True)
    sys.exit(code)
