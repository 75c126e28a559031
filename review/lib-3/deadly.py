"""Engines that crash when they begin an answer on one prompt part, and consumers of streams."""

import asyncio
import time

import fleet
import http1
from http1 import encode_stream_head
from worker import Crash, Worker

PART = "dead"
SERVICE = "llm"
ENGINE_BACK_S = 2.0
SOUND_INTERVAL_S = 0.2
MAX_LATE_REQUESTS = 3
FIFTH = 5


def is_deadly(request):
    return PART in request.headers["x-prefix-hash"]


async def behave(worker, request, writer):
    if not (is_deadly(request) and worker.crashes):
        await worker.send_stream(request, writer, count=10, first_s=0.15, gap_s=0.04)
        return
    await asyncio.sleep(0.15)
    # It begins to write the answer.
    writer.write(encode_stream_head(worker.answer_headers(request)))
    await writer.drain()
    raise Crash


class Engines:
    """Engines that are back some seconds after a crash, each time as a new one."""

    def __init__(self, store, record, crashes=True):
        self.store = store
        self.crashes_at_part = crashes
        self.record = record
        self.ended = []
        self.current = {}
        self.crashes = []

    async def start(self, number, generation):
        engine = Worker(f"i-{number}-{generation}", SERVICE, behave)
        engine.crashes = self.crashes_at_part
        await engine.start()
        self.current[number] = (engine, generation)
        self.store.put(f"servers/{engine.name}", engine.entry())

    async def replace_crashed(self):
        pending = {}
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for number, (engine, generation) in list(self.current.items()):
                if not engine.has_crashed:
                    continue
                if number not in pending:
                    pending[number] = now
                    self.crashes.append(now)
                    self.record.line(f"{engine.name} has crashed")
                if now - pending[number] >= ENGINE_BACK_S:
                    del pending[number]
                    self.ended.append(engine)
                    self.store.remove(f"servers/{engine.name}")
                    await self.start(number, generation + 1)

    def all(self):
        return self.ended + [engine for engine, _ in self.current.values()]


class Senders:
    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.sent = {}
        self.running = set()
        self.number = 0

    def send(self, kind, parts):
        self.number += 1
        relays = self.deployment.relays
        relay = relays[self.number % len(relays)]
        request_id = f"{kind}{self.number:05d}"
        self.running.add(asyncio.ensure_future(self._send(request_id, relay, parts)))

    async def _send(self, request_id, relay, parts):
        extra = {"X-Model": "m", "X-Token-Count": "500,80", "X-Prefix-Hash": parts}
        fields = fleet.headers(request_id, 25000, **extra)
        self.sent[request_id] = time.monotonic()
        answer = await http1.fetch(relay.front, "POST", "/brief/1", fields, b"prompt", 25)
        self.record.line(f"{request_id} at {relay.name}: {answer.status} {answer.error}")

    async def send_sound(self):
        """Sends sound requests all the time, which share the first part with the others."""
        while True:
            self.send("s", f"5c1e:400,a{self.number:x}:100")
            await asyncio.sleep(SOUND_INTERVAL_S)

    async def send_deadly(self, begins_at, times_s, others=""):
        """Sends requests with the part, and with `others` after it, at some times."""
        for at in times_s:
            await asyncio.sleep(max(0.0, begins_at + at - time.monotonic()))
            self.send("d", f"5c1e:400,{PART}:50,{others}b{self.number:x}:100")


def configuration(attempts=5):
    """A configuration with one route for streams."""
    routes = [
        fleet.route(
            "brief", "/brief/", "stream", SERVICE,
            timeout_ms=25000, goal_ms=4500, gap_goal_ms=700, attempts=attempts, sticky=True, resumable=True,
        )
    ]
    engine = {"slots": 32, "kv_capacity": 55000, "backups": False, "moves": False}
    services = [{"name": SERVICE, "health_path": "/healthz", "max_conns": 250, "engine": engine}]
    return fleet.configuration(routes, services)


def judge(record, engines, senders, counted_from):
    """Whether more requests with the part than allowed were sent after a time and reached workers.
    Counting begins `stable_ms` after the fifth crash at the earliest."""
    crashes = sorted(engines.crashes)
    if len(crashes) >= FIFTH:
        counted_from = max(counted_from, crashes[FIFTH - 1] + fleet.BOUNDS["stable_ms"] / 1000)
    arrivals = [it for worker in engines.all() for it in worker.arrivals if is_deadly(it[1])]
    late = [it for it in arrivals if senders.sent[it[1].headers["x-request-id"]] > counted_from]
    for at, request in sorted(late, key=lambda it: it[0]):
        name, parts = request.headers["x-request-id"], request.headers["x-prefix-hash"]
        record.line(f"{name} with {parts} reached a worker at {at - record.began_at:.3f}")
    record.result(
        f"{len(crashes)} crashes; {len(arrivals)} requests with the part reached workers, "
        f"{len(late)} of those that were sent after {counted_from - record.began_at:.1f} s"
    )
    return len(crashes) >= FIFTH and len(late) > MAX_LATE_REQUESTS


