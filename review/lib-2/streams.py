"""Streams to engines whose workers are moved to another version, and the rule EXPOSURE."""

import asyncio
import random
import time

import rollout
from fleet import HOST, Fleet, configuration, route, service
from http1 import response_bytes, send
from rollout import API_KEY, ZONES, Deployment
from worker import Worker

SERVICE = "brief-llm"
PREFIX = "/lohu930/"
STREAMS_PER_S = 20
# Streams of a small site are longer; these keep the case short.
PREFILL_S, EVENT_S, EVENTS = 0.3, 0.04, 20
ENGINES_PER_ZONE = 2
ENGINE = {
    "slots": 32,
    "kv_capacity": 55_000,
    "kv_token_bytes": 18_432,
    "link_mbps": 88_000.0,
    "moves": False,
    "backups": False,
    "stride": 8,
    "most": 12,
    "pin_ms": 4_000.0,
    "hold_ms": 2_000.0,
    "handle_s": 4.0,
    "models": [{"name": "m"}],
}


class StreamDeployment(Deployment):
    """Relays, a store and a service with six engines of version v1."""

    service = SERVICE
    streams_per_s = STREAMS_PER_S

    async def start(self):
        await self.store.start()
        routes = [route("r-brief", PREFIX, "stream", SERVICE)]
        self.store.put_json("op/config", configuration(routes, [service(SERVICE, ENGINE)]))
        await self.start_version("v1")
        self.fleet = Fleet(self.store)
        await self.fleet.start()

    async def start_version(self, version):
        for number in range(ENGINES_PER_ZONE * len(ZONES)):
            zone = ZONES[number % len(ZONES)]
            name = f"i-{version}-{number + 1}"
            worker = Worker(self.record, self.store, name, SERVICE, zone, self.answer, version)
            await worker.start()
            self.workers.append(worker)

    async def answer(self, worker, request, writer, number):
        status, slowness = self.spoil(worker, request)
        if status != 200 or slowness > 1:
            self.bad_answers.setdefault(worker.version, []).append(time.monotonic())
        if status != 200:
            await asyncio.sleep(0.02)
            writer.write(response_bytes(status, worker.headers(request), b"failed"))
            return
        await asyncio.sleep(PREFILL_S * slowness)
        worker.begin_stream(request, writer)
        first = int(request.header("last-event-id", "0")) + 1
        for event in range(first, EVENTS + 1):
            worker.write_event(writer, event)
            await writer.drain()
            await asyncio.sleep(EVENT_S * slowness)
        worker.end_stream(writer)

    async def send_for(self, duration_s):
        started_at = time.monotonic()
        for number in range(int(duration_s * self.streams_per_s)):
            due = started_at + number / self.streams_per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.keep(self.stream())

    async def stream(self):
        request_id = f"{next(self.numbers):016x}"
        last_part = f"{random.getrandbits(32):08x}"
        headers = [
            ("Host", HOST),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", "25000"),
            ("Api-Key", API_KEY),
            ("X-Model", "m"),
            ("X-Token-Count", "1500,160"),
            ("X-Prefix-Hash", f"5c1e07a2:200,{last_part}:1300"),
            ("Connection", "close"),
        ]
        relay = self.fleet.next_relay()
        self.sent_at[request_id] = time.monotonic()
        self.record.write(f"client sends {request_id} to {relay.name}: POST {PREFIX}2f")
        reply = await send(relay.caller, "POST", f"{PREFIX}2f", headers, b"p" * 1500, 27.0)
        events = reply.body.count(b"id: ")
        self.record.write(
            f"client gets {request_id}: {reply.status}, {events} events,"
            f" {'complete' if reply.is_complete else 'broken off'}"
        )
