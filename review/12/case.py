"""The streams of a bad version begin in time and then arrive several times slower than those of
the old version: how many requests does it get?  TROUBLE=first shows the same for a version whose
streams also begin several times later."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

import fleet
import http1
from store import Store
from worker import Worker

RELAYS = 3
WORKERS = 3
INTERVAL_S = 0.06
CALM_S = 4.0
DURATION_S = 60
FIFTIETH = 50
EVENTS = 16
FIRST_S = 0.15
GAP_S = 0.1
# How much later the first event of the bad version comes, and how much longer its gaps are.
SLOWNESS = {"1": (1, 8), "first": (8, 8), "0": (1, 1)}


class Answers:
    """The answers of the workers; those of the bad version arrive slowly."""

    def __init__(self, slowness):
        self.slowness = slowness
        self.bad_at = []
        self.durations_s = {"v1": [], "v2": []}

    async def behave(self, worker, request, writer):
        first, gap = self.slowness if worker.version == "v2" else (1, 1)
        began_at = time.monotonic()
        await worker.send_stream(request, writer, EVENTS, FIRST_S * first, GAP_S * gap)
        ended_at = time.monotonic()
        self.durations_s[worker.version].append(ended_at - began_at)
        if (first, gap) != (1, 1):
            self.bad_at.append(ended_at)


async def send_requests(deployment, record, sent, is_over):
    number = 0
    running = set()

    async def send(request_id, relay):
        sent[request_id] = time.monotonic()
        parts = f"5c{number % 50:x}:200,{number:x}:300"
        extra = {"X-Model": "m", "X-Token-Count": "500,320", "X-Prefix-Hash": parts}
        fields = fleet.headers(request_id, 25000, **extra)
        answer = await http1.fetch(relay.front, "POST", "/brief/1", fields, b"prompt", 25)
        seal = answer.headers.get("x-response-seal", "-")
        took_s = answer.ended_at - answer.sent_at
        record.line(f"{request_id} at {relay.name}: {answer.status} {seal} {answer.error} {took_s:.2f} s")

    while not is_over():
        relay = deployment.relays[number % RELAYS]
        running.add(asyncio.ensure_future(send(f"q{number:05d}", relay)))
        number += 1
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*running)


async def main(record):
    store = Store(record)
    await store.start()
    answers = Answers(SLOWNESS[os.environ.get("TROUBLE", "1")])
    workers = {"v1": [], "v2": []}
    for version, started in workers.items():
        for number in range(1, WORKERS + 1):
            name = f"i-{version}-{number}"
            started.append(Worker(name, "llm", answers.behave, version=version, slots=128))
    for worker in workers["v1"]:
        await worker.start()
        store.put(f"servers/{worker.name}", worker.entry())
    routes = [
        fleet.route(
            "brief", "/brief/", "stream", "llm",
            timeout_ms=25000, goal_ms=4500, gap_goal_ms=700, attempts=5, sticky=True, resumable=True,
        )
    ]
    engine = {"slots": 128, "kv_capacity": 55000, "backups": False, "moves": False}
    services = [{"name": "llm", "health_path": "/healthz", "max_conns": 630, "engine": engine}]
    store.put("op/config", fleet.configuration(routes, services))
    deployment = fleet.Fleet(RELAYS, store.address)
    try:
        await deployment.start()
        sent = {}
        over = asyncio.Event()
        sending = asyncio.ensure_future(send_requests(deployment, record, sent, over.is_set))
        await asyncio.sleep(CALM_S)
        order = {"service": "llm", "target": "v2", "duration_s": DURATION_S}
        ordered_at = store.put("op/rollout/llm", order)
        record.line("roll-out of v2 ordered")
        for worker in workers["v2"]:
            await worker.start()
            store.put(f"servers/{worker.name}", worker.entry())
        await asyncio.sleep(DURATION_S)
        status = store.read("status/rollout/llm")
        over.set()
        await sending
    finally:
        deployment.close()
    ends_at = ordered_at + DURATION_S
    arrivals = {
        version: [it for worker in started for it in worker.arrivals if ordered_at < it[0] < ends_at]
        for version, started in workers.items()
    }
    exposed = len(arrivals["v2"])
    total = exposed + len(arrivals["v1"])
    limit = fleet.BOUNDS["expose_share"] * total + fleet.BOUNDS["expose_slack"]
    late = []
    if len(answers.bad_at) >= FIFTIETH:
        until = answers.bad_at[FIFTIETH - 1] + fleet.BOUNDS["rollback_ms"] / 1000
        record.line(f"the 50th slow answer ended at {answers.bad_at[FIFTIETH - 1] - record.began_at:.1f} s")
        ids = [request.headers["x-request-id"] for _, request in arrivals["v2"]]
        late = [it for it in ids if sent[it] > until]
    means = {
        version: sum(took) / max(1, len(took)) for version, took in answers.durations_s.items()
    }
    record.result(
        f"{total} requests reached the service in the time of the order, {exposed} of them v2; "
        f"allowed are {limit:.0f}; answers took {means['v1']:.2f} s at v1, {means['v2']:.2f} s at v2 "
        f"({len(answers.bad_at)} slow ones); sent over {fleet.BOUNDS['rollback_ms']} ms after the "
        f"50th slow answer: {len(late)}; status {status}"
    )
    is_bad = answers.slowness != (1, 1)
    return is_bad and (exposed > limit or len(late) > 0)


fleet.run_case(main, FOLDER)
