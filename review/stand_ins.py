"""Stand-ins for the scripts of the second review: the platform's store, backend servers and
clients, and the platform's care of the node processes.

Everything runs in one Python process on loopback addresses, except the nodes, which are the
project's own program, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# The command of the role in deploy/system.toml.
NODE_COMMAND = ["target/release/oriolering-node", "platform"]
BOUNDS = [
    "seed_lag_s=3", "addr_reuse_s=2", "stable_window_ms=3000", "ack_ms=4000", "catch_up_s=4",
    "drain_ms=2000", "grace_s=6", "loss_slack_ms=200", "config_apply_ms=2000",
    "rollback_slack_ms=250", "max_stretch_ms=5000", "retry_budget_ratio=0.2",
    "budget_window_s=10", "budget_slack=60", "recovery_s=15", "probes_per_s=60",
]
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGAN = time.monotonic()


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run, one line per event."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def note(self, text):
        self.file.write(f"{time.monotonic() - BEGAN:8.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers (lower-case names), or none at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body that follows a head."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip(), 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, headers=(), body=b""):
    """Encodes a response."""
    reason = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request",
              500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """The platform's store in its form `read`."""

    def __init__(self, address):
        self.address = address
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)

    async def put(self, key, value):
        """Writes an item; its return is the acknowledgement of the store."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(data).decode(),
                    "rev": self.revision, "created": created, "lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    async def delete(self, key):
        """Removes an item; its return is the acknowledgement of the store."""
        async with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.events.append({"key": key, "rev": self.revision, "deleted": True})
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                await read_body(reader, headers)
                status, body = await self.answer(line.split(" ")[1])
                writer.write(response(status, [("Content-Type", "application/json")],
                                      json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("prefix", "")
        if url.path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {}
            return 200, dict(item, as_of=self.revision)
        if url.path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[k] for k in keys[:500]]
            return 200, {"items": items, "truncated": len(keys) > 500, "as_of": self.revision}
        if url.path == "/v1/kv-watch":
            after = int(query["after"])
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000

            def found():
                return [e for e in self.events
                        if e["rev"] > after and e["key"].startswith(prefix)]
            async with self.changed:
                while not found() and time.monotonic() < until:
                    try:
                        await asyncio.wait_for(self.changed.wait(),
                                               max(0.001, until - time.monotonic()))
                    except asyncio.TimeoutError:
                        break
                return 200, {"events": found(), "as_of": self.revision}
        return 404, {}


class Backend:
    """A backend server: it runs requests and registers itself in the store."""

    def __init__(self, world, machine, service, slots=12):
        self.world, self.machine, self.service, self.slots = world, machine, service, slots
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.address = machine.app_address
        self.sequence = 0
        self.running = 0
        self.state = "ready"
        # The runs that began: (time, request id, caller service, path, body length).
        self.runs = []
        # Answers a request in place of the usual way.
        self.respond = None
        self.listed = True
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)
        await self.report()
        self.beats = asyncio.create_task(self.beat())

    def entry(self):
        return {"service": self.service, "address": "%s:%d" % self.address,
                "zone": self.machine.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}

    async def report(self):
        self.sequence += 1
        await self.world.store.put(f"servers/{self.id}", self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(1.5)
            if self.listed:
                await self.report()

    def end(self):
        """Ends the backend server as a crash does."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                await self.handle(writer, line, headers, body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return ("Oriolering-Server-Load", f"{self.running},0,{self.slots},100")

    async def handle(self, writer, line, headers, body):
        method, path, _ = line.split(" ", 2)
        if path == "/health":
            writer.write(response(200, [("Oriolering-Instance-Id", self.id), self.load()]))
            return await writer.drain()
        target = headers.get("oriolering-target-instance")
        if target is not None and target != self.id:
            writer.write(response(421, [("Oriolering-Instance-Id", self.id)]))
            return await writer.drain()
        request = headers.get("oriolering-request-id", "")
        echo = [("Oriolering-Request-Id", request), self.load()]
        if not request:
            writer.write(response(400, [("Oriolering-Not-Executed", "1")]))
            return await writer.drain()
        if self.running >= self.slots:
            writer.write(response(503, echo + [("Oriolering-Not-Executed", "1")]))
            return await writer.drain()
        self.running += 1
        caller = headers.get("oriolering-caller-service", "")
        self.runs.append((time.monotonic(), request, caller, path, len(body)))
        self.world.record.note(f"{self.id} of {self.service} runs {request} {method} {path} "
                               f"from caller service {caller}")
        try:
            answer = None
            if self.respond is not None:
                answer = await self.respond(self, request, path, body)
            if answer is None:
                await asyncio.sleep(0.02)
                answer = (200, [("Oriolering-Response-Signature", f"{self.id}.{request}")],
                          b"done " + request.encode())
        finally:
            self.running -= 1
        status, extra, data = answer
        self.world.record.note(f"{self.id} answers {request} with {status}")
        writer.write(response(status, echo + extra, data))
        await writer.drain()


class Machine:
    """A machine with a node, beside which a backend server runs."""

    def __init__(self, world, number, service, zone):
        self.world, self.service, self.zone = world, service, zone
        self.name = f"sidecar-{zone}-{number}"
        self.ip = world.ip(number)
        self.app_address = (self.ip, world.ports["app"])
        self.outbound = (self.ip, world.ports["outbound"])
        self.ready_address = (self.ip, world.ports["ready"])
        self.settings = os.path.join(world.folder, f"{self.name}.toml")
        self.process = None
        self.log = None

    def write_settings(self, bootstrap):
        world = self.world
        zones = "\n".join(f'{z} = "ancash"' for z in world.zones)
        internal = world.ports["internal"]
        text = f'''node = "{self.name}"
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "ancash"
internal_ports = [{internal},{internal + 15}]
seeds = []
bootstrap = {"true" if bootstrap else "false"}
in_fault_budget = false
discovery = "platform"
entry = "static"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
bounds = {json.dumps(BOUNDS)}
app_addr = "{self.ip}:{self.app_address[1]}"
service = "{self.service}"
[zones]
{zones}
[listen]
inbound = "{self.ip}:{world.ports["inbound"]}"
outbound = "{self.ip}:{self.outbound[1]}"
ready = "{self.ip}:{self.ready_address[1]}"
[limits]
cpu_share = 0.2
cpu_cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[platform]
address = "{world.store.address[0]}:{world.store.address[1]}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
'''
        temporary = self.settings + ".new"
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(temporary, self.settings)

    async def start_node(self, bootstrap=False):
        self.write_settings(bootstrap)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["ORIOLERING_NODE_FILE"] = self.settings
        self.log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *NODE_COMMAND, cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
            preexec_fn=self.world.before_exec)
        self.world.record.note(f"the node of {self.name} starts")

    def signal(self, number):
        self.world.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready_address)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: node\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


class Answer:
    """What a client got."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    @property
    def signed(self):
        return "oriolering-response-signature" in self.headers


class World:
    """A small deployment."""

    def __init__(self, folder):
        self.case = folder
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.net = (random.randrange(16, 200), random.randrange(1, 250))
        self.ports = {}
        self.zones = ["huaraz"]
        self.machines = []
        # Backend servers that have ended.
        self.former = []
        self.config = None
        self.host = "jepu9.example"
        # Called in the process of a node before its program begins.
        self.before_exec = None

    def ip(self, number):
        return "127.%d.%d.%d" % (self.net[0], self.net[1], number)

    def pick_ports(self):
        """Picks ports that are free at the addresses of this run, below those that the system gives
        to outgoing connections."""
        names = ["app", "outbound", "ready", "inbound", "store", "internal"]
        while len(self.ports) < len(names):
            port = random.randrange(12000, 30000, 20)
            if port in self.ports.values():
                continue
            with socket.socket() as probe:
                try:
                    probe.bind((self.ip(1), port))
                except OSError:
                    continue
            self.ports[names[len(self.ports)]] = port

    async def begin(self, services, routes, slots=12):
        """Starts the store, a backend server and a node for each of `services`."""
        if not os.path.exists(os.path.join(ROOT, NODE_COMMAND[0])):
            raise CannotRun("the program of the deploy file is not built")
        self.pick_ports()
        self.store = Store((self.ip(250), self.ports["store"]))
        await self.store.start()
        self.config = {"version": 7, "routes": routes, "limits": LIMITS, "base_version": 5,
                       "services": [
                           {"name": s, "health_path": "/health", "max_connections": 240,
                            "protocol": "h1", "tls": False}
                           for s in sorted(set(services))]}
        await self.store.put("op/config", self.config)
        for i, service in enumerate(services):
            machine = Machine(self, i + 1, service, self.zones[i % len(self.zones)])
            self.machines.append(machine)
            machine.backend = Backend(self, machine, service, slots)
            await machine.backend.start()
        for machine in self.machines:
            await machine.start_node(bootstrap=True)
        await self.wait_ready(self.machines)

    async def wait_ready(self, machines, timeout_s=15):
        until = time.monotonic() + timeout_s
        for machine in machines:
            while not await machine.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"the node of {machine.name} is not ready")
                await asyncio.sleep(0.1)

    def route(self, name, prefix, kind, service, timeout_ms=1000, target_ms=250, attempts=2,
              priority=1):
        return {"name": name, "host": self.host, "prefix": prefix, "kind": kind,
                "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": priority,
                "service": service, "max_attempts": attempts}

    async def call(self, machine, method, path, body=b"", deadline_ms=1000, request=None):
        """Sends one client attempt on a new connection; returns the answer, or none if the
        connection ended without one."""
        request = request or f"{random.getrandbits(64):016x}"
        self.record.note(f"client sends {request} {method} {path} to {machine.name}")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*machine.outbound, limit=1 << 20), 1)
            head = (f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n"
                    f"Oriolering-Request-Id: {request}\r\n"
                    f"Oriolering-Request-Deadline: {deadline_ms}\r\n")
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            found = await asyncio.wait_for(read_head(reader), deadline_ms / 1000 + 1)
            if found is None:
                raise ConnectionError
            line, headers = found
            data = await asyncio.wait_for(read_body(reader, headers), deadline_ms / 1000 + 1)
            answer = Answer(int(line.split(" ")[1]), headers, data)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.note(f"client gets no answer to {request}: {type(error).__name__}")
            return None
        writer.close()
        self.record.note(f"client gets {answer.status} for {request}, "
                         f"signed: {answer.signed}, {len(answer.body)} bytes")
        return answer

    def runs(self, request):
        """Returns how often backend servers ran a request."""
        return sum(1 for m in self.all_backends() for run in m.runs if run[1] == request)

    def all_backends(self):
        return [m.backend for m in self.machines] + self.former

    async def end(self):
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        self.temporary.cleanup()


def main(folder, case):
    """Runs a case, and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    async def run():
        world = World(folder)
        try:
            broken = await asyncio.wait_for(case(world), 110)
            world.record.note(f"the rule was {'broken' if broken else 'kept'}")
            return 1 if broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            world.record.note(f"the case could not run: {type(error).__name__} {error}")
            return 2
        finally:
            await world.end()
    status = asyncio.run(run())
    print({0: "held", 1: "BROKEN", 2: "could not run"}[status])
    sys.exit(status)
