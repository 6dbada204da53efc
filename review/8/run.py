"""One part of prompts, behind the 32nd, crashes each replica that begins to write an answer on it.
Checks rule BUDGET for such parts from what replicas see."""

import os
import random
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from standins import *  # noqa: E402,F403

CONTACT_S = 3.0
BACK_S = 2.0
MODELS = {"m1": {"size": 3, "pace": 0.6, "load_s": 12, "warm_s": 1.1, "share": 1.0}}
BAD = "badbadbad"
POSITION = int(os.environ.get("POSITION", "36"))   # of the part, counted from 1
PARTS = 40
RETURNS = 16
EVERY_S = 3.5


async def body(folder, record, trouble, gateways):
    store = await Store().start()
    arrivals, crashes = [], []
    engines = []

    class CrashingEngine(Engine):
        async def answer(self, request, writer):
            serves = self.group and self.group["rank"] == 0 and self.group["lifecycle"] == "open"
            parts = [p.split(":")[0] for p in request.headers.get("x-prefix-hash", "").split(",")]
            if BAD not in parts[:-1] or not serves:
                return await super().answer(request, writer)
            arrivals.append(now())
            record(f"{request.headers['x-attempt-id']} runs at {self.name} of {self.group['name']}")
            if not trouble:
                return await super().answer(request, writer)
            await asyncio.sleep(0.06)
            crashes.append(now())
            asyncio.ensure_future(self.restart(BACK_S))
            return None

    for domain in range(2):
        for n in range(11):
            engine = CrashingEngine(store, f"i-{domain}-{n}", "llm", f"dom-{domain}", MODELS)
            engines.append(await engine.start())
    store.put("op/config", configuration(1, [
        route("lore", "stream", "llm", 2, timeout=6000, stream_resume=True, gap_target_ms=250,
              session_affinity=True)],
        [{"name": "llm", "max_connections": 464, "health_path": "/healthz",
          "engine": engine_profile(MODELS)}]))
    for n in range(3):
        gateways.append(await Gateway(folder, f"gw-{n}", store.server.address).start())
    for gateway in gateways:
        if not await gateway.ready():
            record("a gateway does not become ready")
            return 2
    for _ in range(100):
        await asyncio.sleep(0.1)
        if sum(1 for e in engines if e.group and e.group["lifecycle"] == "open") >= 6:
            break
    else:
        record("the groups do not open")
        return 2

    shared = [f"{n:08x}" for n in range(1, PARTS)]

    def prompt(bad):
        parts = list(shared)
        if bad:
            parts[POSITION - 1] = BAD
        parts.append(f"{random.getrandbits(32):08x}")
        return {"X_Model": "m1", "X_Token_Usage": f"{PARTS * 10},60",
                "X_Prefix_Hash": ",".join(p + ":10" for p in parts)}

    stop, ordinary = asyncio.Event(), {}

    async def one(port, attempt):
        answer = await call(port, message("lore", attempt, attempt.encode(), **prompt(False)), 8)
        status = (answer.status, "whole" if answer.complete else "cut") if answer else "closed"
        ordinary[status] = ordinary.get(status, 0) + 1

    async def traffic(gateway):
        n = 0
        while not stop.is_set():
            n += 1
            asyncio.ensure_future(one(gateway.ports["callers"], f"{gateway.name}.{n}"))
            await asyncio.sleep(0.15)

    for gateway in gateways:
        asyncio.ensure_future(traffic(gateway))
    await asyncio.sleep(3)
    for n in range(RETURNS):
        gateway = gateways[n % len(gateways)]
        answer = await call(gateway.ports["callers"],
                            message("lore", f"new-{n}", f"new {n}".encode(), **prompt(True)), 7)
        record(f"new-{n} at {gateway.name}: answered {answer.status if answer else 'closed'}")
        await asyncio.sleep(EVERY_S)
    stop.set()
    await asyncio.sleep(3)
    record(f"sound requests with the same other parts, by status: {ordinary}")
    record(f"replicas that crashed: {len(crashes)}")
    if len(crashes) < 5:
        return 0
    counted = [at for at in arrivals if at > crashes[4] + CONTACT_S]
    record(f"fifth crash at {crashes[4]:.3f}; later than {CONTACT_S} s after it requests with the "
           f"part reached replicas {len(counted)} times (bound 3)")
    return 1 if len(counted) > 3 else 0


run_case(HERE, body)
