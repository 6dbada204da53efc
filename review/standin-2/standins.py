"""Stand-ins for the users' platform: store, replicas, and a harness that starts gateways.

Everything listens on loopback addresses: store and replicas on ports that the kernel chooses,
each gateway on an address of its own. Time is the real clock.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

IP = "127.0.0.1"
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path = unquote(parts.path)
        self.query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}

    def json(self):
        return json.loads(self.body or b"{}")


async def read_head(reader):
    line = await reader.readline()
    if not line:
        return None, None
    headers = {}
    while True:
        row = await reader.readline()
        if not row:
            return None, None
        if row in (b"\r\n", b"\n"):
            return line.decode("latin-1").rstrip(), headers
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_request(reader):
    line, headers = await read_head(reader)
    if line is None:
        return None
    method, target, _ = line.split(" ", 2)
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


def encode(status, headers=None, body=b""):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        headers = {**(headers or {}), "Content-Type": "application/json"}
    rows = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    rows += [f"{k}: {v}" for k, v in (headers or {}).items()]
    rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP/1.1 server. `handle(request, writer)` returns the bytes of the answer, or None
    if it has written the answer itself or closes the connection."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, IP, port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{IP}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                answer = await self.handle(request, writer)
                if answer is None:
                    if writer.is_closing():
                        break
                    continue
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """The process is gone: no listener, and all connections are closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.last_lease = 100
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        # Called with each write call; returns None, or a time after which the write is
        # done without an answer, if its condition still holds then.
        self.late_write = lambda entry: None
        self.log = []

    async def start(self):
        await self.server.start()
        asyncio.ensure_future(self.expire())
        return self

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created, "lease": lease}
        self.history.append((self.revision, dict(self.items[key])))
        self.notify()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((self.revision, {"key": key, "revision": self.revision,
                                                 "deleted": True}))
            self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (end, _) in list(self.leases.items()):
                if now() >= end:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def holds(self, entry):
        return all(self.items.get(row["key"], {}).get("revision", 0) == row["revision"]
                   for row in entry.get("expected", []))

    def has_leases(self, entry):
        return all(write.get("lease", 0) in (0, *self.leases) for write in entry.get("writes", []))

    def apply(self, entry):
        for write in entry.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in entry.get("remove", []):
            self.remove(key)

    async def do_late(self, entry, delay):
        await asyncio.sleep(delay)
        held = self.holds(entry) and self.has_leases(entry)
        self.log.append(f"{now():.3f} late write of {[w['key'] for w in entry['writes']]}: "
                        f"{'done' if held else 'its condition no longer holds'}")
        if held:
            self.apply(entry)

    async def handle(self, request, writer):
        await asyncio.sleep(0.004)
        path, query = request.path, request.query
        if path == "/kv-range":
            rows = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page = rows[:500]
            return encode(200, None, {"items": [self.items[k] for k in page],
                                      "more_pages": len(rows) > len(page),
                                      "current_rev": self.revision})
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            entry = request.json()
            late = self.late_write(entry)
            if late is not None:
                self.log.append(f"{now():.3f} no answer to a write of "
                                f"{[w['key'] for w in entry['writes']]}")
                asyncio.ensure_future(self.do_late(entry, late))
                await asyncio.sleep(60)
                return None
            if not self.holds(entry):
                rows = [self.items[r["key"]] for r in entry["expected"] if r["key"] in self.items]
                return encode(412, None, {"items": rows})
            if not self.has_leases(entry):
                return encode(404)
            self.apply(entry)
            return encode(200, None, {"revision": self.revision})
        if path == "/kv-lease":
            ttl = max(1000, request.json()["ttl_ms"])
            self.last_lease += 1
            self.leases[self.last_lease] = (now() + ttl / 1000, ttl)
            return encode(200, None, {"lease": self.last_lease, "ttl_ms": ttl})
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return encode(404)
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return encode(200, None, {"lease": lease, "ttl_ms": ttl})
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return encode(200, None, {})
        return encode(404)

    async def watch(self, query):
        after, end = int(query["after"]), now() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for r, e in self.history
                      if r > after and e["key"].startswith(query["prefix"])]
            if events or now() >= end:
                return encode(200, None, {"events": events, "current_rev": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass

    def value(self, key):
        return json.loads(base64.b64decode(self.items[key]["value"])) if key in self.items else None


class Replica:
    """One replica of a plain service. `work(request, writer)` answers a request."""

    def __init__(self, store, name, service, work=None, slots=6, zone="zone-a"):
        self.store, self.name, self.service, self.slots, self.zone = store, name, service, slots, zone
        self.work = work or self.answer
        self.server = Server(self.handle)
        self.lifecycle = "ready"
        self.registered = True
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.runs = []

    async def start(self, heartbeat=1.2):
        await self.server.start()
        self.register()
        self.beat = asyncio.ensure_future(self.heartbeat(heartbeat))
        return self

    async def heartbeat(self, interval):
        while True:
            await asyncio.sleep(interval)
            if self.registered:
                self.register()

    def entry(self):
        return {"backend": self.service, "address": self.server.address, "zone": self.zone,
                "version": "1", "batch_slots": self.slots, "lifecycle": self.lifecycle,
                "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}

    def register(self):
        self.sequence += 1
        self.store.put("servers/" + self.name, self.entry())

    def unregister(self):
        self.registered = False
        self.store.remove("servers/" + self.name)

    async def handle(self, request, writer):
        expected = request.headers.get("x-expect-replica", self.name)
        if expected != self.name:
            return encode(421, {"X-Replica-Id": self.name, "X-Not-Executed": "1"})
        if request.path == "/healthz":
            return encode(200, {"X-Replica-Id": self.name})
        if request.path == "/report":
            return encode(200, None, self.report())
        if request.path == "/order":
            return await self.order(request, writer)
        self.arrivals.append((now(), request.headers.get("x-attempt-id", ""), request))
        return await self.work(request, writer)

    def report(self):
        return {"stage": "both", "models": [], "busy": False, "sequence": 0, "queued": 0,
                "active": 0, "kv_used": 0, "kv_total": 1, "handles": 0}

    async def order(self, request, writer):
        return encode(400)

    def signed(self, request, extra=None):
        return {"X-Attempt-Id": request.headers.get("x-attempt-id", ""),
                "X-Replica-Signature": f"sig.{self.name}", **(extra or {})}

    async def answer(self, request, writer):
        self.runs.append((now(), request.headers.get("x-attempt-id", "")))
        return encode(200, self.signed(request), b"done:" + request.body)


def configuration(version, routes, services, tenants=None, limits=None):
    return {"version": version, "routes": routes, "backends": services,
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                                 "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
            "tenants": tenants if tenants is not None else [{"name": "ten", "api_keys": ["key-1"]}]}


def route(name, kind, service, attempts, timeout=8000, **more):
    return {"name": name, "hostname": "h.example", "prefix": f"/{name}/", "route_type": kind,
            "timeout_ms": timeout, "target_latency_ms": 300, "priority": 1, "backend": service,
            "max_attempts": attempts, "public": False, **more}


def render(text, fields):
    """Fills in a settings template as DEPLOY.md tells."""

    def look(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def fill(text, scopes, is_last=True):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def expand(match):
            value = look(match[2], scopes)
            if match[1] == "^":
                return fill(match[3], scopes) if not value else ""
            if value is None or value is False:
                return ""
            rows = value if isinstance(value, list) else [value]
            return "".join(fill(match[3], scopes + [row], i + 1 == len(rows))
                           for i, row in enumerate(rows))

        text = section.sub(expand, text)
        text = text.replace("{{,}}", "" if is_last else ",")
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: show(look(m[1], scopes)), text)

    return fill(text, [fields])


CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
             "tenants", "platform", "gangs"]


class Gateway:
    """A gcw-gateway process, started as deploy/system.toml says."""

    def __init__(self, folder, name, store_address, zone="zone-a", bounds=None):
        self.folder, self.name, self.store_address, self.zone = folder, name, store_address, zone
        # A loopback address of its own, as each machine has one; the ports are the same on all.
        self.ip = "127." + ".".join(str(random.randint(1, 250)) for _ in range(3))
        self.ports = {name: (self.ip, port) for name, port in
                      (("callers", 8227), ("readiness", 8220), ("entries", 8224), ("peers", 8229))}
        self.process = None
        self.log_path = os.path.join(folder, name + ".log")
        self.bounds = {"drain_ms": 2000, "config_ms": 2000, "retry_ratio": 0.2,
                       "retry_slack": 132, "retry_window_s": 10, "grace_s": 8, **(bounds or {})}

    def settings(self):
        addresses = {name: f"{ip}:{port}" for name, (ip, port) in self.ports.items()}
        with open(os.path.join(ROOT, "deploy", "gateway.toml.template")) as f:
            return render(f.read(), {
                "node_name": self.name, "zone": self.zone, "region": "region-a", "ip": self.ip,
                "limits": {"cpu_quota": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100},
                "contracts": CONTRACTS, "seed_nodes": [],
                "listen": {"front": addresses["callers"], "readiness": addresses["readiness"],
                           "directory": addresses["entries"], "control": addresses["peers"]},
                "platform": {"address": self.store_address}, "bounds": self.bounds})

    async def start(self):
        path = os.path.join(self.folder, self.name + ".toml")
        with open(path, "w") as f:
            f.write(self.settings())
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["GOLDCRESTWEIR_BOOT"] = path
        log = open(self.log_path, "a")
        self.process = await asyncio.create_subprocess_exec(
            "target/bin/gcw-gateway", "--settings-from", "GOLDCRESTWEIR_BOOT",
            cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        return self

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self, timeout=20):
        end = now() + timeout
        while now() < end:
            answer = await call(self.ports["readiness"], b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1)
            if answer and answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def grep(self, *words):
        with open(self.log_path, errors="replace") as f:
            return [line.rstrip() for line in f if all(w in line for w in words)]


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def read_answer(reader):
    line, headers = await read_head(reader)
    if line is None:
        return None
    status, body, complete = int(line.split(" ")[1]), b"", True
    try:
        if headers.get("transfer-encoding", "") == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        complete = False
    return Answer(status, headers, body, complete)


async def call(address, data, timeout=10):
    """Sends bytes on a new connection and reads one answer. None if there is none."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        writer.write(data)
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


def message(name, attempt, body=b"", key="key-1", method="POST", deadline=6000, **headers):
    rows = [f"{method} /{name}/x HTTP/1.1", "Host: h.example", f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {deadline}", f"Authorization: Bearer {key}"]
    rows += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    if method != "GET":
        rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body


class Record:
    def __init__(self, case):
        self.path = os.path.join(case, "record.txt")
        self.file = open(self.path, "w")

    def __call__(self, text):
        line = f"{now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        if os.environ.get("VERBOSE"):
            print(line, flush=True)


def run_case(case_folder, body):
    """Runs `body(folder, record, trouble, gateways)`, which returns the exit status."""
    folder = tempfile.mkdtemp(prefix="gcw-review-")
    record = Record(case_folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    gateways = []

    async def main():
        loop = asyncio.get_running_loop()
        # Connections that end with the case leave cancelled tasks behind.
        loop.set_exception_handler(lambda *_: None)
        case = asyncio.ensure_future(body(folder, record, trouble, gateways))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, case.cancel)
        try:
            return await asyncio.wait_for(case, 115)
        finally:
            for gateway in gateways:
                if gateway.process is not None and gateway.process.returncode is None:
                    gateway.process.kill()
                    await gateway.process.wait()

    status = 2
    try:
        status = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        record(f"could not run: {type(error).__name__}: {error}")
        if os.environ.get("VERBOSE"):
            raise
    finally:
        if os.environ.get("KEEP"):
            record("kept " + folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "the case could not run"}[status])
    sys.exit(status)


class Engine(Replica):
    """One replica of a model service: a member of groups, as PROTOCOL.md describes them."""

    fleet = {}
    violations = []
    events = 12
    event_s = 0.05
    stall_s = 4.0
    form_s = 0.3

    def __init__(self, store, name, service, domain, models, **more):
        super().__init__(store, name, service, **more)
        self.domain, self.models_known = domain, models
        self.staged, self.model, self.group = [], None, None
        self.fence, self.epoch = 0, 0
        self.alive = True
        self.joins = []
        self.order_log = []
        self.traffic = lambda: False
        self.late_order = lambda order: None
        Engine.fleet[name] = self

    def entry(self):
        entry = super().entry()
        entry.update(domain=self.domain, staged=self.staged,
                     models=[{"name": self.model, "version": 1, "adapters": []}] if self.model else [],
                     stage="both")
        if self.group:
            entry["group"] = {k: self.group[k] for k in ("name", "epoch", "rank", "lifecycle")}
        return entry

    def report(self):
        report = super().report()
        report.update(models=self.entry()["models"], pace=1.0, domain=self.domain)
        return report

    def changed(self):
        if self.registered and self.alive:
            self.register()

    async def restart(self, down_s):
        """The process crashes and starts again under its id; the host keeps its weights."""
        port = self.server.port
        self.alive = False
        self.server.stop()
        self.group, self.model, self.fence, self.epoch = None, None, 0, 0
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = Server(self.handle)
        await self.server.start(port)
        self.alive = True
        self.changed()

    def head(self):
        return Engine.fleet.get(self.group["members"][0]) if self.group else None

    def is_whole(self):
        for member in self.group["members"]:
            other = Engine.fleet[member]
            if not other.alive or not other.group or other.group["name"] != self.group["name"] or \
                    other.group["lifecycle"] == "joining":
                return False
        return True

    def head_serves(self):
        """Whether the head of this replica's group is open or closing."""
        head = self.head()
        return bool(head and head.alive and head.group and head.group["name"] == self.group["name"]
                    and head.group["epoch"] == self.group["epoch"]
                    and head.group["lifecycle"] in ("open", "closing"))

    async def order(self, request, writer):
        order = request.json()
        late = self.late_order(order)
        if late is not None:
            self.order_log.append(f"{now():.3f} {self.name} late {order}")
            asyncio.get_running_loop().call_later(late, self.perform, order)
            await asyncio.sleep(60)
            return None
        return encode(self.perform(order))

    def perform(self, order):
        status = self.decide(order)
        self.order_log.append(f"{now():.3f} {self.name} {order['op']} {order.get('group', '')} "
                              f"{order.get('members', '')} fence {order.get('fencing_token')} -> {status}")
        return status

    def decide(self, order):
        if order.get("fencing_token", 0) < self.fence:
            return 412
        self.fence = max(self.fence, order.get("fencing_token", 0))
        op = order["op"]
        if op == "stage":
            asyncio.ensure_future(self.stage(order["model"]))
            return 202
        if op == "join":
            return self.join(order)
        if not self.group or (self.group["name"], self.group["epoch"]) != (order["group"], order["epoch"]):
            return 409
        if op == "leave":
            self.group = None
            self.changed()
            return 200
        if op == "open":
            if self.group["lifecycle"] == "open":
                return 200
            if self.group["rank"] != 0 or self.group["lifecycle"] != "ready":
                return 409
            asyncio.ensure_future(self.set_lifecycle(self.group, "open", Engine.form_s))
            return 202
        if op == "close":
            asyncio.ensure_future(self.set_lifecycle(self.group, "ready", 0.1))
            return 202
        return 400

    def load_s(self, model):
        return self.models_known[model]["load_s"] * (1 if self.traffic() else 0.1)

    async def stage(self, model):
        await asyncio.sleep(self.load_s(model))
        self.staged = [model]
        self.changed()

    def join(self, order):
        if order["epoch"] < self.epoch:
            return 412
        group = {"name": order["group"], "epoch": order["epoch"], "members": order["members"]}
        if self.group and all(self.group[k] == v for k, v in group.items()):
            return 200
        if self.group and (self.group["name"], self.group["epoch"]) == (group["name"], group["epoch"]):
            return 412
        if self.group and self.head_serves():
            Engine.violations.append(
                f"{now():.3f} {self.name} took a join of {group['name']} while {self.head().name}, "
                f"the head of its group {self.group['name']}, was {self.head().group['lifecycle']}")
        self.epoch = order["epoch"]
        model = order["model"]
        wait = 0.2 if self.model == model else \
            self.models_known[model]["warm_s"] if model in self.staged else self.load_s(model)
        self.group = {**group, "rank": order["members"].index(self.name), "lifecycle": "joining",
                      "model": model}
        self.joins.append((now(), group["name"]))
        asyncio.ensure_future(self.become_ready(self.group, wait))
        self.changed()
        return 202

    async def become_ready(self, group, wait):
        await asyncio.sleep(wait)
        if self.group is group and self.alive:
            self.model = group["model"]
            self.staged = [self.model]
            group["lifecycle"] = "ready"
            self.changed()

    async def set_lifecycle(self, group, lifecycle, wait):
        await asyncio.sleep(wait)
        if self.group is group and self.alive:
            group["lifecycle"] = lifecycle
            self.changed()

    async def answer(self, request, writer):
        if not self.group or self.group["rank"] != 0:
            return encode(421, {"X-Replica-Id": self.name, "X-Not-Executed": "1"})
        if self.group["lifecycle"] != "open":
            return encode(503, {"X-Not-Executed": "1"})
        group = self.group
        last = int(request.headers.get("last-event-id", "0"))
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{k}: {v}\r\n" for k, v in self.signed(request, {
                "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}).items())
            + "\r\n").encode())
        stalled = None
        for event in range(last + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            while self.alive and self.group is group and not self.is_whole():
                stalled = stalled or now()
                if now() - stalled >= Engine.stall_s:
                    group["lifecycle"] = "broken"
                    self.changed()
                    writer.transport.abort()
                    return None
                await asyncio.sleep(0.05)
            if not self.alive or self.group is not group:
                writer.transport.abort()
                return None
            text = f"id: {event}\ndata: piece {event} of {request.headers.get('x-attempt-id')}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return None


def engine_profile(models):
    return {"batch_slots": 26, "kv_capacity": 2470000, "stride": 6, "step_ms": 6.45,
            "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100,
            "pairs_per_m": 0.309, "chunk": 2048, "usual": {"prompt": 1000, "answer": 100},
            "report_lag_ms": 200, "form_ms": 300, "loads_per_s": 5.5, "loads_at_once": 8,
            "history_limit": 1,
            "models": [{"name": name, **figures} for name, figures in models.items()]}
