"""The store comes back from a copy after a roll-out is done, and the operator writes the order again,
as all that was written before. Later all relays are killed at once: are requests served again?"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

import fleet
import http1
from restored_store import RestoredStore
from worker import Worker

RELAYS = 3
WORKERS = 3
INTERVAL_S = 0.01
CALM_S = 4.0
DURATION_S = 30
# Time from the end of the roll-out to the drill, and from there to the final fault.
DRILL_AFTER_S = 6.0
FAULT_AFTER_S = 2.5
DOWN_S = 1.0
# `recover_s` of the site, and the time for which requests are judged.
RECOVER_S = 12.0
JUDGED_S = 8.0
QUARTER = 0.25
# One in so many requests of the route `look` fails at each version; `error_share` of the route
# `status-read` of the site is 0.14.
FAILURE_RATIO = 7


class Answers:
    """The answers of the workers, which are sound."""

    def __init__(self):
        self.count = 0

    async def behave(self, worker, request, writer):
        await asyncio.sleep(0.015)
        if request.path.startswith("/look/"):
            self.count += 1
            if self.count % FAILURE_RATIO == 0:
                worker.send_answer(request, writer, 500, b"failed")
                return
        worker.send_answer(request, writer)


async def send_requests(deployment, record, answered, is_over):
    number = 0
    running = set()

    async def send(request_id, relay):
        path, method = ("/look/1", "GET") if request_id.endswith("r") else ("/book/1", "POST")
        body = b"" if method == "GET" else b"booking"
        fields = fleet.headers(request_id, 1500)
        answer = await http1.fetch(relay.front, method, path, fields, body, timeout_s=2)
        seal = answer.headers.get("x-response-seal", "-")
        answered.append((answer.sent_at, seal != "-"))
        record.line(f"{request_id} at {relay.name}: {answer.status} {seal} {answer.error}")

    while not is_over():
        kind = "r" if number % 7 < 2 else "b"
        relay = deployment.relays[number % RELAYS]
        running.add(asyncio.ensure_future(send(f"q{number:05d}{kind}", relay)))
        number += 1
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*running)


def share_served(answered, begin, end):
    """Requests sent in a time, and the share of them that a worker answered."""
    judged = [is_served for at, is_served in answered if begin <= at < end]
    return len(judged), sum(judged) / max(1, len(judged))


async def main(record):
    store = RestoredStore(record)
    await store.start()
    answers = Answers()
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
        answered = []
        over = asyncio.Event()
        sending = asyncio.ensure_future(send_requests(deployment, record, answered, over.is_set))
        await asyncio.sleep(CALM_S)
        order = {"service": "app", "target": "v2", "duration_s": DURATION_S}
        ordered_at = store.put("op/rollout/app", order)
        record.line("roll-out of v2 ordered")
        for worker in workers["v2"]:
            await worker.start()
            store.put(f"servers/{worker.name}", worker.entry())
        while (store.read("status/rollout/app") or {}).get("state") != "done":
            if time.monotonic() > ordered_at + DURATION_S:
                raise fleet.NotRunnable("the roll-out is not done")
            await asyncio.sleep(0.02)
        record.line("roll-out done, and the old workers stop")
        for worker in workers["v1"]:
            store.remove(f"servers/{worker.name}")
            worker.end()
        await asyncio.sleep(DRILL_AFTER_S)
        drill_at = time.monotonic()
        if fleet.has_trouble():
            record.line("the store comes back from a copy")
            await store.restore()
            record.line("the operator has written again what it wrote")
        await asyncio.sleep(drill_at + FAULT_AFTER_S - time.monotonic())
        fault_at = time.monotonic()
        record.line("all relays are killed")
        deployment.kill()
        await asyncio.sleep(DOWN_S)
        await deployment.start()
        back_at = time.monotonic()
        record.line("all relays are ready again")
        judged_from = back_at + RECOVER_S
        await asyncio.sleep(judged_from + JUDGED_S - time.monotonic())
        status = store.read("status/rollout/app")
        over.set()
        await sending
    finally:
        deployment.close()
    before, share_before = share_served(answered, ordered_at, fault_at)
    after, share_after = share_served(answered, judged_from, judged_from + JUDGED_S)
    record.result(
        f"before the final fault {share_before:.3f} of {before} requests were answered by workers; of "
        f"those sent later than {RECOVER_S:.0f} s after the machines were back, {share_after:.3f} of "
        f"{after}; status {status}"
    )
    return share_before >= QUARTER and share_after < QUARTER


fleet.run_case(main, FOLDER)
