"""Calls to a plain service whose workers are moved to another version, and the rule EXPOSURE."""

import asyncio
import itertools
import random
import time

from fleet import HOST, Fleet, configuration, route, service
from http1 import head_bytes, response_bytes, send
from store import Store
from worker import Worker

SERVICE = "dispatch-app"
BOOKING, LOOKUP = "/pule252/", "/puxa403/"
API_KEY = "xd9dnn2ctnfzs989anu6"
# Traffic and work of a small site.
BOOKINGS_PER_S, LOOKUPS_PER_S = 56, 22
WORK_S = 0.015
# Bounds of the rule EXPOSURE on the small sites.
EXPOSE_SHARE, EXPOSE_SLACK, ROLLBACK_S = 0.1, 50, 5.0
BAD_ANSWERS = 50
# Time between the end of a roll-out and the drain of the workers that it does not need.
DRAIN_AFTER_S, DRAIN_S = 3.0, 2.5
ZONES = ("dar-kariakoo", "dar-mikocheni", "arusha-njiro")


class Deployment:
    """Relays, a store and a service with three workers of version v1."""

    service = SERVICE
    drain_after_s = DRAIN_AFTER_S

    def __init__(self, record, spoil):
        """`spoil(worker, request)` returns the status of an answer, and how many times longer
        than usual it takes."""
        self.record, self.spoil = record, spoil
        self.store = Store()
        self.workers = []
        self.numbers = itertools.count(1)
        self.bad_answers = {}
        self.tasks = set()
        self.sent_at = {}
        # Time of sending and status of each call.
        self.answers = []

    async def start(self):
        await self.store.start()
        routes = [
            route("r-book", BOOKING, "non_idempotent", SERVICE),
            route("r-read", LOOKUP, "idempotent", SERVICE),
        ]
        self.store.put_json("op/config", configuration(routes, [service(SERVICE)]))
        await self.start_version("v1")
        self.fleet = Fleet(self.store)
        await self.fleet.start()

    async def start_version(self, version):
        for number, zone in enumerate(ZONES, 1):
            name = f"i-{version}-{number}"
            worker = Worker(
                self.record, self.store, name, SERVICE, zone, self.answer, version, slots=6
            )
            await worker.start()
            self.workers.append(worker)

    async def answer(self, worker, request, writer, number):
        status, slowness = self.spoil(worker, request)
        await asyncio.sleep(WORK_S * random.uniform(0.6, 1.4) * slowness)
        if status != 200 or slowness > 1:
            self.bad_answers.setdefault(worker.version, []).append(time.monotonic())
        writer.write(response_bytes(status, worker.headers(request), b"x" * 800))

    async def order(self, target, duration_s):
        """An operator's order; its workers start alongside the others, unless they run."""
        order = {"service": self.service, "target": target, "duration_s": duration_s}
        self.store.put_json(f"op/rollout/{self.service}", order)
        self.record.say(f"order: {target} within {duration_s} s")
        ordered_at = time.monotonic()
        if not any(it.version == target for it in self.workers):
            await self.start_version(target)
            self.keep(self.follow_status(target))
        return ordered_at

    async def wait_for_end(self):
        """Waits until the status of the roll-out is final, and returns it."""
        key = f"status/rollout/{self.service}"
        while (status := self.store.get_json(key) or {}).get("state") in (None, "running"):
            await asyncio.sleep(0.05)
        return status["state"]

    async def follow_status(self, target):
        """What the platform does at the end of a roll-out."""
        key = f"status/rollout/{self.service}"
        while True:
            status = self.store.get_json(key) or {}
            if status.get("target") == target and status["state"] != "running":
                break
            await asyncio.sleep(0.05)
        self.record.say(f"status: {status}")
        if status["state"] == "done":
            for worker in [it for it in self.workers if it.version != target]:
                self.workers.remove(worker)
                worker.leave()
            return
        await asyncio.sleep(self.drain_after_s)
        leaving = [it for it in self.workers if it.version == target]
        for worker in leaving:
            worker.state = "draining"
            worker.register()
        await asyncio.sleep(DRAIN_S + 1.0)
        for worker in leaving:
            self.workers.remove(worker)
            worker.leave()

    def keep(self, pending):
        task = asyncio.create_task(pending)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_for(self, duration_s):
        """Sends calls at an even rate, each on a new connection."""
        started_at = time.monotonic()
        per_s = BOOKINGS_PER_S + LOOKUPS_PER_S
        for number in range(int(duration_s * per_s)):
            due = started_at + number / per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            is_booking = random.random() < BOOKINGS_PER_S / per_s
            self.keep(self.call(is_booking))

    async def call(self, is_booking):
        request_id = f"{next(self.numbers):016x}"
        method, prefix = ("POST", BOOKING) if is_booking else ("GET", LOOKUP)
        headers = [
            ("Host", HOST),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", "1500"),
            ("Api-Key", API_KEY),
            ("Connection", "close"),
        ]
        relay = self.fleet.next_relay()
        self.sent_at[request_id] = time.monotonic()
        self.record.write(f"client sends {request_id} to {relay.name}: {method} {prefix}2f")
        body = b"b" * 600 if is_booking else b""
        reply = await send(relay.caller, method, f"{prefix}2f", headers, body, 2.5)
        self.record.write(f"client gets {request_id}: {reply.status}")
        self.answers.append((self.sent_at[request_id], reply.status))

    def stop(self):
        if hasattr(self, "fleet"):
            self.fleet.stop()

    def exposes(self, arrivals, version, ordered_at, duration_s):
        """Whether `version`, which is bad, got more than EXPOSURE allows.

        `arrivals` are all requests that reached the service, as (time, version, request id).
        """
        ends_at = ordered_at + duration_s
        during = [it for it in arrivals if ordered_at <= it[0] <= ends_at]
        got = [it for it in during if it[1] == version]
        allowed = EXPOSE_SHARE * len(during) + EXPOSE_SLACK
        self.record.say(
            f"{version}: {len(got)} of {len(during)} requests within its time limit;"
            f" {allowed:.0f} allowed"
        )
        bad = self.bad_answers.get(version, [])
        late = 0
        if len(bad) >= BAD_ANSWERS:
            limit = bad[BAD_ANSWERS - 1] + ROLLBACK_S
            late = sum(
                self.sent_at[request_id] > limit
                for _, found, request_id in arrivals
                if found == version
            )
        self.record.say(
            f"{version}: {len(bad)} bad answers; {late} requests that were sent later than"
            f" {ROLLBACK_S:.0f} s after the {BAD_ANSWERS}th"
        )
        return len(got) > allowed or late > 0
