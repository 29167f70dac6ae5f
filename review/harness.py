"""Stand-ins for the scripts of the review: the platform's store, backends, clients, and the
platform's care of the processes. They speak what PROTOCOL.md and DEPLOY.md say, on loopback
addresses, in one process; the nodes are the project's own program, as separate processes."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
COMMAND = ["target/release/oriolering-node", "platform"]  # deploy/system.toml
BOUNDS = ["seed_lag_s=3", "addr_reuse_s=2", "stable_window_ms=3000", "ack_ms=4000",
          "catch_up_s=4", "drain_ms=2000", "grace_s=6", "loss_slack_ms=200",
          "config_apply_ms=2000", "rollback_slack_ms=250", "max_stretch_ms=5000",
          "retry_budget_ratio=0.2", "budget_window_s=10", "budget_slack=60", "recovery_s=15",
          "probes_per_s=60"]
ZONES = ["huaraz", "carhuaz", "yungay", "caraz"]
STARTED = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Cannot(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def note(self, text):
        self.file.write(f"{time.monotonic() - STARTED:9.3f} s  {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the start line and the headers (names in lower case), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if e.partial:
            raise ConnectionError("the stream ended within a head") from e
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readline()
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store, form "read"."""

    def __init__(self, record, history_s=20.0):
        self.record, self.history_s = record, history_s
        self.rev = 10
        self.items = {}
        self.events = []  # (rev, time, event)
        self.changed = asyncio.Condition()
        self.silent = False  # while set, no call is answered, nor any later one on its connection

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address[0], address[1])

    async def put(self, key, value):
        """Writes an item; the return is the store's acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.rev += 1
            created = self.items.get(key, {}).get("created", self.rev)
            item = {"key": key, "value": base64.b64encode(data).decode(), "rev": self.rev,
                    "created": created, "lease": 0}
            self.items[key] = item
            self.events.append((self.rev, time.monotonic(), item))
            self.changed.notify_all()
        return self.rev

    async def delete(self, key):
        async with self.changed:
            self.rev += 1
            self.items.pop(key, None)
            self.events.append((self.rev, time.monotonic(),
                                {"key": key, "rev": self.rev, "deleted": True}))
            self.changed.notify_all()
        return self.rev

    async def answer(self, path):
        url = urllib.parse.urlsplit(path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"as_of": self.rev}
            return 200, dict(item, as_of=self.rev)
        if url.path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after")
            keys = sorted(k for k in self.items if k.startswith(prefix) and (after is None or k > after))
            page = keys[:500]
            return 200, {"items": [self.items[k] for k in page], "truncated": len(keys) > 500,
                         "as_of": self.rev}
        if url.path == "/v1/kv-watch":
            prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
            wait = min(int(query.get("wait_ms", "0")), 30000) / 1000
            until = time.monotonic() + wait
            async with self.changed:
                while True:
                    found = [e for rev, _, e in self.events if rev > after and e["key"].startswith(prefix)]
                    left = until - time.monotonic()
                    if found or left <= 0:
                        return 200, {"events": found, "as_of": self.rev}
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                await read_body(reader, head[1])
                if self.silent:
                    await reader.read()
                    break
                status, body = await self.answer(head[0].split(" ")[1])
                await asyncio.sleep(0.004)
                if self.silent:
                    await reader.read()
                    break
                data = json.dumps(body).encode()
                reason = {200: "OK", 404: "Not Found"}[status]
                writer.write(f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Backend:
    """One incarnation of an application backend."""

    def __init__(self, record, store, service, address, zone, slots=13, work_ms=67.0,
                 tells_load=True, answer_bytes=400):
        self.record, self.store = record, store
        self.service, self.address, self.zone, self.slots = service, address, zone, slots
        self.work_ms, self.tells_load, self.answer_bytes = work_ms, tells_load, answer_bytes
        self.slow = 1.0
        self.id = "i-" + "".join(random.choice("0123456789abcdef") for _ in range(10))
        self.born = int(time.time() * 1000)
        self.state, self.sequence = "ready", 0
        self.running = self.waiting = 0
        self.slot = asyncio.Semaphore(slots)
        self.runs = []  # (request id, time at which it began)
        self.at_work = set()
        self.work_of = lambda path: self.work_ms
        self.body_of = lambda path: self.answer_bytes
        self.handlers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address[0], self.address[1],
                                                 limit=1 << 20)
        await self.publish()
        self.beat = asyncio.ensure_future(self.beats())

    async def publish(self):
        self.sequence += 1
        await self.store.put("servers/" + self.id, {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def beats(self):
        while True:
            await asyncio.sleep(60)  # an entry changes only when more than its sequence changes

    def load(self):
        return f"Oriolering-Server-Load: {self.running},{self.waiting},{self.slots}\r\n" if self.tells_load else ""

    async def take_slot(self):
        self.waiting += 1
        try:
            await self.slot.acquire()
        finally:
            self.waiting -= 1
        self.running += 1

    def free_slot(self):
        self.running -= 1
        self.slot.release()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.handlers.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, path, _ = line.split(" ")
                size = await self.skim(reader, headers)
                if path == "/health":
                    await self.health(writer)
                    continue
                await self.run(reader, writer, method, path, headers, size)
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.handlers.discard(task)
            writer.close()

    async def skim(self, reader, headers):
        """Reads a body without keeping it, and returns its length."""
        if "chunked" in headers.get("transfer-encoding", ""):
            return len(await read_body(reader, headers))
        left = size = int(headers.get("content-length", "0"))
        while left:
            data = await reader.read(min(left, 1 << 18))
            if not data:
                raise ConnectionError("the body ended early")
            left -= len(data)
        return size

    async def health(self, writer):
        if not self.tells_load:  # waits for a slot, in the same way as any other request
            await self.take_slot()
            try:
                await asyncio.sleep(0.006 * self.slow)
            finally:
                self.free_slot()
        status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
        writer.write(f"HTTP/1.1 {status}\r\nOriolering-Instance-Id: {self.id}\r\n{self.load()}"
                     "Content-Length: 0\r\n\r\n".encode())
        await writer.drain()

    async def run(self, reader, writer, method, path, headers, size):
        rid = headers.get("oriolering-request-id", "")
        target = headers.get("oriolering-target-instance")
        if target is not None and target != self.id:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nOriolering-Request-Id: {rid}\r\n"
                         f"Oriolering-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            return await writer.drain()
        if self.running >= self.slots and self.waiting >= 2 * self.slots:
            writer.write(f"HTTP/1.1 503 Service Unavailable\r\nOriolering-Request-Id: {rid}\r\n"
                         f"Oriolering-Not-Executed: 1\r\n{self.load()}Content-Length: 0\r\n\r\n".encode())
            return await writer.drain()
        await self.take_slot()
        try:
            self.runs.append((rid, time.monotonic()))
            self.at_work.add(rid)
            self.record.note(f"backend {self.id} runs {rid} {method} {path} ({size} bytes)")
            work = asyncio.ensure_future(asyncio.sleep(self.work_of(path) * self.slow / 1000))
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
            if not work.done():  # drops a request when its connection closes
                work.cancel()
                self.record.note(f"backend {self.id} drops {rid}: its connection closed")
                raise ConnectionError("closed")
            gone.cancel()
            try:
                await gone
            except asyncio.CancelledError:
                pass
        finally:
            self.at_work.discard(rid)
            self.free_slot()
        length = self.body_of(path)
        writer.write(f"HTTP/1.1 200 OK\r\nOriolering-Request-Id: {rid}\r\n"
                     f"Oriolering-Response-Signature: {self.id}.{rid}.{length}\r\n{self.load()}"
                     f"Content-Length: {length}\r\n\r\n".encode())
        left = length
        while left:
            part = min(left, 1 << 18)
            writer.write(b"x" * part)
            await writer.drain()
            left -= part
        await writer.drain()
        self.record.note(f"backend {self.id} has answered {rid}: 200, {length} bytes")

    async def leave(self, serve_s):
        """Reports `draining`, serves on for a while after the store has accepted that, and exits.
        Returns the time of the acknowledgement."""
        self.state = "draining"
        await self.publish()
        acknowledged = time.monotonic()
        self.record.note(f"the store acknowledges that backend {self.id} is draining")

        async def exit_later():
            await asyncio.sleep(serve_s)
            self.record.note(f"backend {self.id} exits, with {len(self.at_work)} requests at work")
            self.stop()
            await self.store.delete("servers/" + self.id)
        self.exiting = asyncio.ensure_future(exit_later())
        return acknowledged

    def stop(self):
        self.server.close()
        self.beat.cancel()
        for task in list(self.handlers):
            task.cancel()


def used_mb(pid):
    """Returns the memory that a process has in use now, in MB of 2^20 bytes, or None."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as f:
            for line in f:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return None


class Node:
    """A machine with the project's program, started as the platform starts it."""

    def __init__(self, world, ip, zone, service, memory_mb=260):
        self.world, self.ip, self.zone, self.service = world, ip, zone, service
        self.memory_mb = memory_mb
        self.app = (ip, world.port + 4)
        self.outbound = (ip, world.port + 5)
        self.ready = (ip, world.port + 1)
        self.name = f"sidecar-{zone}-{len(world.nodes) + 1}"
        self.file = os.path.join(world.folder, self.name + ".toml")
        self.process, self.ends, self.wanted = None, [], False

    def settings(self, first):
        p = self.world.port
        zones = "\n".join(f'{z} = "ancash"' for z in ZONES)
        return f"""node = "{self.name}"
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "ancash"
internal_ports = [{p + 10},{p + 25}]
seeds = []
bootstrap = {str(first).lower()}
in_fault_budget = false
discovery = "platform"
entry = "static"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
bounds = {json.dumps(self.world.bounds)}
app_addr = "{self.ip}:{self.app[1]}"
service = "{self.service}"
[zones]
{zones}
[listen]
inbound = "{self.ip}:{p}"
outbound = "{self.ip}:{self.outbound[1]}"
ready = "{self.ip}:{self.ready[1]}"
[limits]
cpu_share = 0.2
cpu_cores = 1
memory_mb = {self.memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[platform]
address = "{self.world.store_address[0]}:{self.world.store_address[1]}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""

    async def start(self, first=True):
        with open(self.file, "w", encoding="utf-8") as f:
            f.write(self.settings(first))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["ORIOLERING_NODE_FILE"] = self.file
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.world.record.note(f"{self.name} starts at {self.ip}")
        return self.process

    async def keep_running(self, down_s=0.5):
        """The platform's care: starts a process again that ended by itself, and ends one that
        exceeds its memory."""
        while True:
            watch = asyncio.ensure_future(self.watch_memory(self.process))
            status = await self.process.wait()
            watch.cancel()
            if not self.wanted:
                self.ends.append((time.monotonic(), status))
            self.world.record.note(f"{self.name} has ended with {status}")
            if self.world.closing:
                return
            self.wanted = False
            await asyncio.sleep(down_s)
            await self.start(first=False)

    async def watch_memory(self, process):
        while process.returncode is None:
            used = used_mb(process.pid)
            if used is not None and used > self.memory_mb:
                self.world.record.note(f"{self.name} has {used:.0f} MB in use, above its memory_mb "
                                       f"of {self.memory_mb}: the platform kills it")
                process.send_signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.005)


class World:
    """One deployment on loopback addresses."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.nodes, self.backends = [], []
        self.bounds = BOUNDS
        self.closing = False
        self.find_addresses()

    def find_addresses(self):
        for _ in range(200):
            a, b = random.randint(20, 250), random.randint(1, 250)
            port = random.randint(20000, 28000)
            ips = [f"127.{a}.{b}.{i}" for i in range(1, 30)]
            try:
                for ip in ips:
                    for p in (port, port + 1, port + 4, port + 5, port + 10, port + 30):
                        with socket.socket() as s:
                            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            s.bind((ip, p))
            except OSError:
                continue
            self.ips, self.port = ips, port
            self.store_address = (ips[-1], port + 30)
            return
        raise Cannot("no free addresses")

    def add_node(self, zone, service, **more):
        node = Node(self, self.ips[len(self.nodes)], zone, service, **more)
        self.nodes.append(node)
        return node

    async def open(self, routes, services, limits=None, backend=None):
        """Starts the store, a backend beside each node, the nodes, and waits until all are ready."""
        program = os.path.join(ROOT, COMMAND[0])
        if not os.access(program, os.X_OK):
            raise Cannot(f"{COMMAND[0]} is not built")
        self.store = Store(self.record)
        await self.store.start(self.store_address)
        self.config = {"version": 7, "routes": routes, "services": [
            {"name": s, "health_path": "/health", "max_connections": 240, "protocol": "h1",
             "tls": False} for s in services], "limits": limits or {
                 "max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                 "idle_timeout_ms": 15000}, "base_version": 5}
        await self.store.put("op/config", self.config)
        for node in self.nodes:
            node.backend = Backend(self.record, self.store, node.service, node.app, node.zone,
                                   **(backend or {}))
            await node.backend.start()
            self.backends.append(node.backend)
        self.cares = []
        for node in self.nodes:
            await node.start()
            self.cares.append(asyncio.ensure_future(node.keep_running()))
        for node in self.nodes:
            await self.wait_ready(node, 15)
        await asyncio.sleep(1.0)

    async def wait_ready(self, node, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                status, _, _ = await request(node.ready, "GET", "/v1/ready", {"Host": "ready"})
                if status == 200:
                    return
            except (OSError, ConnectionError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise Cannot(f"{node.name} does not become ready")

    async def close(self):
        self.closing = True
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.wanted = True
                node.process.kill()
        for node in self.nodes:
            if node.process:
                await node.process.wait()
        for care in getattr(self, "cares", []):
            care.cancel()
        for backend in self.backends:
            backend.stop()
        if os.environ.get("KEEP"):
            print("logs of the nodes:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


async def request(address, method, path, headers, body=b""):
    """One request on a connection of its own."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    try:
        return await exchange(reader, writer, method, path, headers, body)
    finally:
        writer.close()


async def exchange(reader, writer, method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("closed without an answer")
    status = int(head[0].split(" ")[1])
    return status, head[1], await read_body(reader, head[1])


_IDS = random.Random()


def new_id():
    return "%016x" % _IDS.getrandbits(64)


def play(main, folder):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    async def run():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        world = World(folder)
        try:
            broken = await asyncio.wait_for(main(world), 105)
            world.record.note("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except BaseException as e:  # whatever it is, the processes have to end
            world.record.note(f"the case could not run: {e!r}")
            raise
        finally:
            await world.close()
    try:
        status = asyncio.run(run())
    except BaseException as e:
        print(f"the case could not run: {e!r}", file=sys.stderr)
        status = 2
    sys.exit(status)
