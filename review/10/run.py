"""A replica whose entry is removed just after the store served a gateway again that it had
turned away. Checks rule DRAIN from what clients, the replica and the store see."""

import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from standins import *  # noqa: E402,F403

DRAIN_S = 2.0     # bounds.drain_ms of the site
CONTACT_S = 3.0   # bounds.contact_ms
AWAY_S = 9.0      # how long the store turns one gateway of three away (the site's largest)
LINGER_S = 0.3    # how long the replica serves beyond drain_ms before it exits
PER_S = 60        # requests a second at each gateway


async def body(folder, record, trouble, gateways):
    store = await Store().start()
    doors = [await Door(store).start() for _ in range(3)]
    work_s = {"n": 0}

    async def work(replica, request, writer):
        work_s["n"] += 1
        replica.runs.append((now(), request.headers["x-attempt-id"]))
        await asyncio.sleep(0.3 if work_s["n"] % 2 == 0 else 0.06)
        return encode(200, replica.signed(request), b"done:" + request.body)

    replicas = []
    for n in range(3):
        replica = await Replica(store, f"i-{n}", "desk", slots=26).start()
        replica.work = lambda request, writer, r=replica: work(r, request, writer)
        replicas.append(replica)
    store.put("op/config", configuration(1, [
        route("order", "unsafe", "desk", 1, timeout=1500),
        route("lookup", "safe", "desk", 2, timeout=1500)],
        [{"name": "desk", "max_connections": 100, "health_path": "/healthz"}]))
    for n in range(3):
        gateways.append(await Gateway(folder, f"gw-{n}", doors[n].address).start())
    for gateway in gateways:
        if not await gateway.ready():
            record("a gateway does not become ready")
            return 2

    results = {}
    stop = asyncio.Event()

    async def one(gateway, attempt, kind):
        results[attempt] = [now(), gateway.name, kind, None]
        answer = await call(gateway.ports["callers"],
                            message(kind, attempt, b"b", deadline=1500), 4)
        results[attempt][3] = answer.status if answer else "closed"

    async def traffic(gateway):
        n = 0
        while not stop.is_set():
            n += 1
            asyncio.ensure_future(one(gateway, f"{gateway.name}.{n}",
                                      "order" if n % 2 else "lookup"))
            await asyncio.sleep(1 / PER_S)

    for gateway in gateways:
        asyncio.ensure_future(traffic(gateway))
    await asyncio.sleep(3)

    door = doors[0]
    if trouble:
        record("the store turns gw-0 away: its calls get no response")
        door.silent = True
    await asyncio.sleep(AWAY_S)
    if trouble:
        # It ends just after a watch of gw-0 has come in, which stays without a response.
        await door.next_watch()
        door.silent = False
    end_of_trouble = now()
    record("the store answers gw-0's calls again")
    await door.next_answer()
    record(f"first answer of the store to a call of gw-0, {now() - end_of_trouble:.2f} s later")
    await asyncio.sleep(0.1)
    leaving = replicas[0]
    leaving.unregister()
    removed = now()
    record(f"the entry of {leaving.name} is removed; it serves for {DRAIN_S + LINGER_S} s more")
    await asyncio.sleep(DRAIN_S + LINGER_S)
    leaving.server.stop()
    record(f"{leaving.name} exits")
    await asyncio.sleep(2.5)
    stop.set()
    await asyncio.sleep(2)

    late, lost = [], []
    for at, attempt, _ in leaving.arrivals:
        sent, gateway, kind, status = results[attempt]
        in_touch = gateway != "gw-0" or sent >= end_of_trouble + CONTACT_S
        if at > removed + DRAIN_S and in_touch:
            late.append(attempt)
            record(f"{attempt} ({kind}) sent {sent:.3f}, {sent - end_of_trouble:.2f} s after the "
                   f"trouble's end, reached {leaving.name} {(at - removed) * 1000:.0f} ms after its "
                   f"entry's removal (bound {DRAIN_S * 1000:.0f} ms); answered {status}")
            if kind == "order" and status not in (200,):
                lost.append(attempt)
    last = max((at for at, *_ in leaving.arrivals), default=0)
    record(f"last request reached {leaving.name} {(last - removed) * 1000:.0f} ms after the removal")
    statuses = {}
    for _, gateway, kind, status in results.values():
        statuses[(gateway, kind, status)] = statuses.get((gateway, kind, status), 0) + 1
    for key in sorted(statuses, key=str):
        record(f"{key}: {statuses[key]}")
    record(f"requests that came too late: {len(late)}; of these, orders that were not answered "
           f"with the replica's answer: {len(lost)}")
    return 1 if late else 0


class Door:
    """The store's address for one gateway, which can be turned away without a response."""

    def __init__(self, store):
        self.store, self.silent = store, False
        self.server = Server(self.handle)
        self.waiting_watch, self.waiting_answer = [], []

    async def start(self):
        await self.server.start()
        return self

    @property
    def address(self):
        return self.server.address

    async def handle(self, request, writer):
        if self.silent:
            if request.path == "/kv-watch":
                for future in self.waiting_watch:
                    future.set_result(None)
                self.waiting_watch.clear()
            await asyncio.sleep(600)  # No response; the caller gives up.
            return None
        answer = await self.store.handle(request, writer)
        if request.path == "/kv-watch":
            for future in self.waiting_answer:
                future.set_result(None)
            self.waiting_answer.clear()
        return answer

    async def next_watch(self):
        future = asyncio.get_running_loop().create_future()
        self.waiting_watch.append(future)
        await future

    async def next_answer(self):
        future = asyncio.get_running_loop().create_future()
        self.waiting_answer.append(future)
        await future


run_case(HERE, body)
