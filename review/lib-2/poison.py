"""Streams to engines that crash on one part of a prompt."""

import asyncio
import itertools
import random
import time

from fleet import HOST, ZONES, Fleet, configuration, route, service
from http1 import send
from rollout import API_KEY
from store import Store
from streams import ENGINE, EVENT_S, EVENTS, PREFILL_S, PREFIX, SERVICE
from worker import Worker

DEADLY_PART = "dead"
ENGINES = 12
# Time after which a crashed engine is back.
DOWN_S = 2.0
# `stable_ms` of the small sites.
STABLE_S = 4.0


class PoisonedDeployment:
    """Relays, a store and engines that crash when they write an answer on the deadly part.

    An engine crashes `crash_after_s` after it has begun to write.
    """

    def __init__(self, record, crash_after_s=0.0, **route_fields):
        self.record, self.crash_after_s = record, crash_after_s
        self.route_fields = route_fields
        self.store = Store()
        self.numbers = itertools.count(1)
        self.tasks = set()
        self.crashed = set()
        # Times of crashes, and of arrivals of requests with the deadly part at engines.
        self.crashes, self.reached = [], []
        # Time of sending of each sound request, and whether it was answered with a stream.
        self.sound = []

    async def start(self):
        await self.store.start()
        routes = [route("r-brief", PREFIX, "stream", SERVICE, **self.route_fields)]
        self.store.put_json("op/config", configuration(routes, [service(SERVICE, ENGINE)]))
        zones = list(ZONES)
        for number in range(ENGINES):
            name, zone = f"i-{number + 1}", zones[number % len(zones)]
            await Worker(self.record, self.store, name, SERVICE, zone, self.answer).start()
        self.fleet = Fleet(self.store)
        await self.fleet.start()

    def stop(self):
        if hasattr(self, "fleet"):
            self.fleet.stop()

    def keep(self, pending):
        task = asyncio.create_task(pending)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def answer(self, worker, request, writer, number):
        is_deadly = f"{DEADLY_PART}:" in request.header("x-prefix-hash", "")
        if is_deadly:
            self.reached.append(time.monotonic())
        await asyncio.sleep(PREFILL_S)
        began_at = time.monotonic()
        worker.begin_stream(request, writer)
        await writer.drain()
        first = int(request.header("last-event-id", "0")) + 1
        for event in range(first, EVENTS + 1):
            if is_deadly and time.monotonic() >= began_at + self.crash_after_s:
                self.crash(worker, request)
                return
            worker.write_event(writer, event)
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        worker.end_stream(writer)

    def crash(self, worker, request):
        # Another request may have crashed the engine already.
        if worker.name not in self.crashed:
            self.crashed.add(worker.name)
            self.crashes.append(time.monotonic())
            self.record.write(f"{worker.name} crashes on {request.header('x-request-id')}")
            self.keep(self.restart(worker))

    async def restart(self, worker):
        await worker.crash(DOWN_S)
        self.crashed.discard(worker.name)

    async def stream(self, shared_parts):
        """Sends a stream whose prompt has these shared parts, as `ID:TOKENS`, and one of its own."""
        is_deadly = f"{DEADLY_PART}:" in shared_parts
        request_id = f"{next(self.numbers):016x}"
        headers = [
            ("Host", HOST),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", "25000"),
            ("Api-Key", API_KEY),
            ("X-Model", "m"),
            ("X-Token-Count", "1500,160"),
            ("X-Prefix-Hash", f"{shared_parts},{random.getrandbits(32):08x}:900"),
            ("Connection", "close"),
        ]
        relay = self.fleet.next_relay()
        kind = "deadly" if is_deadly else "sound"
        self.record.write(f"client sends {request_id} ({kind}) to {relay.name}")
        sent_at = time.monotonic()
        reply = await send(relay.caller, "POST", f"{PREFIX}2f", headers, b"p" * 1500, 27.0)
        self.record.write(
            f"client gets {request_id} ({kind}): {reply.status}, {reply.body.count(b'id: ')} events"
        )
        if not is_deadly:
            self.sound.append((sent_at, reply.status == 200 and b"id: " in reply.body))

    def late_arrivals(self):
        """Requests with the part that reached engines later than STABLE_S after the fifth crash."""
        if len(self.crashes) < 5:
            return 0
        limit = self.crashes[4] + STABLE_S
        return sum(at > limit for at in self.reached)
