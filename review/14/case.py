"""Watches that wait are cut, and a worker leaves without saying so: does it get requests later
than `drain_ms` after the store has confirmed that it is gone?"""

import asyncio
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
INTERVAL_S = 0.02
# A watch that has waited for so long is cut, for a while before and after the worker has gone.
CUT_AFTER_S = 0.25
CUTS_BEFORE_S = 2.0
CUTS_AFTERWARDS_S = 5.0
CALM_S = 6.0
# Time for which the worker goes on after its entry is gone.
SERVES_ON_S = 10.0


async def behave(worker, request, writer):
    await asyncio.sleep(0.015)
    worker.send_answer(request, writer)


async def send_requests(deployment, record, sent, is_over):
    """Sends requests to the relays in turn, each on a connection of its own."""
    number = 0
    running = set()

    async def send(request_id, relay):
        path, method = ("/look/1", "GET") if request_id.endswith("r") else ("/book/1", "POST")
        body = b"" if method == "GET" else b"booking"
        fields = fleet.headers(request_id, 1500)
        sent[request_id] = time.monotonic()
        answer = await http1.fetch(relay.front, method, path, fields, body, timeout_s=2)
        record.line(f"{request_id} at {relay.name}: {answer.status} {answer.error}")

    while not is_over():
        relay = deployment.relays[number % RELAYS]
        kind = "r" if number % 7 < 2 else "b"
        running.add(asyncio.ensure_future(send(f"q{number:05d}{kind}", relay)))
        number += 1
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*running)


async def main(record):
    store = Store(record)
    await store.start()
    workers = [Worker(f"i-{number}", "app", behave, slots=6) for number in range(1, WORKERS + 1)]
    for worker in workers:
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
        if fleet.has_trouble():
            record.line("watches that wait are cut from now on")
            store.cut_after_s = CUT_AFTER_S
        await asyncio.sleep(CUTS_BEFORE_S)
        leaving = workers[0]
        gone_at = store.remove(f"servers/{leaving.name}")
        record.line(f"the store confirms that {leaving.name} is gone")
        await asyncio.sleep(CUTS_AFTERWARDS_S)
        store.cut_after_s = None
        record.line("watches are no longer cut")
        await asyncio.sleep(SERVES_ON_S - CUTS_AFTERWARDS_S)
        over.set()
        await sending
    finally:
        deployment.close()
    bound_s = fleet.BOUNDS["drain_ms"] / 1000
    ids = [(at, request.headers["x-request-id"]) for at, request in leaving.arrivals]
    late = [it for it in ids if sent[it[1]] > gone_at + bound_s]
    for at, request_id in late:
        record.line(f"{request_id} reached {leaving.name} {at - gone_at:.3f} s after it was gone")
    others = [sum(at > gone_at for at, _ in it.arrivals) for it in workers[1:]]
    after = sum(at > gone_at for at, _ in ids)
    record.result(
        f"{len(sent)} requests, {store.cuts} watches cut; after {leaving.name} was gone, it got "
        f"{after} requests, and the others {others}; sent later than {bound_s} s: {len(late)}"
    )
    return len(late) > 0


fleet.run_case(main, FOLDER)
