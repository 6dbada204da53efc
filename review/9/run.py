"""A stream that crashes each replica that runs it, 0.8 s after it began, comes again unchanged.
Checks rule BUDGET from what replicas see."""

import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from standins import *  # noqa: E402,F403

CONTACT_S = 3.0
BACK_S = 2.0          # a crashed replica is back after this long, in a new lifetime
REPLICAS = 6
RETURNS = 9           # how often the request comes
EVERY_S = 3.0
CRASH_AFTER_S = 0.8   # events come for this long before the replica crashes
EVENT_S = 0.1
EVENTS = 20
BODY = b"the request that crashes replicas"


async def body(folder, record, trouble, gateways):
    store = await Store().start()
    fleet, arrivals, crashes, lives = [], [], [], [0]

    async def start_replica():
        lives[0] += 1
        replica = await Replica(store, f"i-{lives[0]}", "desk").start()
        replica.work = lambda request, writer: work(replica, request, writer)
        fleet.append(replica)

    async def lapse(replica):
        await asyncio.sleep(3.6)
        store.remove("servers/" + replica.name)

    async def come_back():
        await asyncio.sleep(BACK_S)
        await start_replica()

    async def work(replica, request, writer):
        if request.body != BODY:
            await asyncio.sleep(0.06)
            return encode(200, replica.signed(request), b"done:" + request.body)
        arrivals.append(now())
        record(f"{request.headers['x-attempt-id']} {request.target} runs at {replica.name}")
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{k}: {v}\r\n" for k, v in replica.signed(request, {
                "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}).items())
            + "\r\n").encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        began = now()
        for event in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            if trouble and now() - began >= CRASH_AFTER_S:
                break
            text = f"id: {event}\ndata: piece {event}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        else:
            if not trouble:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
                return None
        crashes.append(now())
        replica.registered = False
        replica.beat.cancel()
        fleet.remove(replica)
        replica.server.stop()
        asyncio.ensure_future(lapse(replica))
        asyncio.ensure_future(come_back())
        return None

    for _ in range(REPLICAS):
        await start_replica()
    store.put("op/config", configuration(1, [
        route("lore", "stream", "desk", 2, timeout=6000, stream_resume=True, gap_target_ms=250),
        route("order", "unsafe", "desk", 1, timeout=1500)],
        [{"name": "desk", "max_connections": 100, "health_path": "/healthz"}]))
    for n in range(3):
        gateways.append(await Gateway(folder, f"gw-{n}", store.server.address).start())
    for gateway in gateways:
        if not await gateway.ready():
            record("a gateway does not become ready")
            return 2

    stop, ordinary = asyncio.Event(), {}

    async def one(port, attempt):
        answer = await call(port, message("order", attempt, b"ordinary", deadline=1500), 4)
        status = answer.status if answer else "closed"
        ordinary[status] = ordinary.get(status, 0) + 1

    async def traffic(gateway):
        n = 0
        while not stop.is_set():
            n += 1
            asyncio.ensure_future(one(gateway.ports["callers"], f"{gateway.name}.{n}"))
            await asyncio.sleep(0.1)

    for gateway in gateways:
        asyncio.ensure_future(traffic(gateway))
    await asyncio.sleep(3)
    for n in range(RETURNS):
        gateway = gateways[n % len(gateways)]
        data = message("lore", f"again-{n}", BODY, deadline=6000)
        answer = await call(gateway.ports["callers"], data, 7)
        record(f"again-{n} at {gateway.name}: answered {answer.status if answer else 'closed'}"
               f"{', whole' if answer and answer.complete else ', cut'}")
        await asyncio.sleep(EVERY_S)
    stop.set()
    await asyncio.sleep(2)
    record(f"ordinary orders by status: {ordinary}")
    record(f"replicas that crashed: {len(crashes)}")
    if len(crashes) < 3:
        return 0
    counted = [at for at in arrivals if at > crashes[2] + CONTACT_S]
    record(f"third crash at {crashes[2]:.3f}; later than {CONTACT_S} s after it the request "
           f"reached replicas {len(counted)} times (bound 3)")
    return 1 if len(counted) > 3 else 0


run_case(HERE, body)
