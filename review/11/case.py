"""A bad version fails a third of the requests of one route, on which the old version fails one in
seven, as on the site: how many requests does it get?  TROUBLE=4xx: every second answer on all routes
is a 404 in place of that; TROUBLE=5xx: it is a 500, and the old version never fails."""

import asyncio
import os
import sys
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

import fleet
import http1
from store import Store
from worker import Worker

RELAYS = 3
WORKERS = 3
INTERVAL_S = 0.01
CALM_S = 4.0
DURATION_S = 30
FIFTIETH = 50


@dataclass
class Trouble:
    """One in so many requests fails, at the old and at the new version."""

    status: int
    old_ratio: int
    bad_ratio: int
    prefix: str = "/"


# `error_share` of the route `status-read` of the site is 0.14.
TROUBLES = {
    "1": Trouble(500, 7, 3, "/look/"),
    "0": Trouble(500, 7, 7, "/look/"),
    "4xx": Trouble(404, 0, 2),
    "5xx": Trouble(500, 0, 2),
}


class Answers:
    """The answers of the workers, of which some fail."""

    def __init__(self, trouble):
        self.trouble = trouble
        self.counts = {"v1": 0, "v2": 0}
        self.failures = {"v1": 0, "v2": 0}
        self.bad_at = []

    async def behave(self, worker, request, writer):
        await asyncio.sleep(0.015)
        trouble, version = self.trouble, worker.version
        ratio = trouble.old_ratio if version == "v1" else trouble.bad_ratio
        if ratio and request.path.startswith(trouble.prefix):
            self.counts[version] += 1
            if self.counts[version] % ratio == 0:
                self.failures[version] += 1
                if version == "v2":
                    self.bad_at.append(time.monotonic())
                worker.send_answer(request, writer, trouble.status, b"failed")
                return
        worker.send_answer(request, writer)


async def send_requests(deployment, record, sent, is_over):
    number = 0
    running = set()

    async def send(request_id, relay):
        path, method = ("/look/1", "GET") if request_id.endswith("r") else ("/book/1", "POST")
        body = b"" if method == "GET" else b"booking"
        sent[request_id] = time.monotonic()
        fields = fleet.headers(request_id, 1500)
        answer = await http1.fetch(relay.front, method, path, fields, body, timeout_s=2)
        seal = answer.headers.get("x-response-seal", "-")
        record.line(f"{request_id} at {relay.name}: {answer.status} {seal} {answer.error}")

    while not is_over():
        kind = "r" if number % 7 < 2 else "b"
        relay = deployment.relays[number % RELAYS]
        running.add(asyncio.ensure_future(send(f"q{number:05d}{kind}", relay)))
        number += 1
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*running)


async def main(record):
    store = Store(record)
    await store.start()
    trouble = TROUBLES[os.environ.get("TROUBLE", "1")]
    answers = Answers(trouble)
    workers = {"v1": [], "v2": []}
    for version, started in workers.items():
        for number in range(1, WORKERS + 1):
            name = f"i-{version}-{number}"
            started.append(Worker(name, "app", answers.behave, version=version, slots=6))
    for worker in workers["v1"]:
        await worker.start()
        store.put(f"servers/{worker.name}", worker.entry())
    routes = [
        fleet.route("look", "/look/", "idempotent", "app"),
        fleet.route("book", "/book/", "non_idempotent", "app", attempts=1),
    ]
    services = [{"name": "app", "health_path": "/healthz", "max_conns": 110}]
    store.put("op/config", fleet.configuration(routes, services))
    deployment = fleet.Fleet(RELAYS, store.address)
    try:
        await deployment.start()
        sent = {}
        over = asyncio.Event()
        sending = asyncio.ensure_future(send_requests(deployment, record, sent, over.is_set))
        await asyncio.sleep(CALM_S)
        order = {"service": "app", "target": "v2", "duration_s": DURATION_S}
        ordered_at = store.put("op/rollout/app", order)
        record.line("roll-out of v2 ordered")
        for worker in workers["v2"]:
            await worker.start()
            store.put(f"servers/{worker.name}", worker.entry())
        await asyncio.sleep(DURATION_S)
        status = store.read("status/rollout/app")
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
        record.line(f"the 50th bad answer was at {answers.bad_at[FIFTIETH - 1] - record.began_at:.1f} s")
        ids = [request.headers["x-request-id"] for _, request in arrivals["v2"]]
        late = [it for it in ids if sent[it] > until]
    record.result(
        f"{total} requests reached the service in the time of the order, {exposed} of them v2; "
        f"allowed are {limit:.0f}; answered with {trouble.status}: {answers.failures} of "
        f"{answers.counts} requests that may fail; sent over {fleet.BOUNDS['rollback_ms']} ms after "
        f"the 50th bad answer: {len(late)}; status {status}"
    )
    is_bad = trouble.bad_ratio != trouble.old_ratio
    return is_bad and (exposed > limit or len(late) > 0)


fleet.run_case(main, FOLDER)
