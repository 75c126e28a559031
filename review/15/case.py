"""Requests with a prompt part that crashes workers come, all relays are killed once and start
again: do more than three such requests reach workers afterwards?"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

import deadly
import fleet
from store import Store

RELAYS = 3
ENGINES = 10
# Times of the requests with the part, from the start and from the moment at which the relays
# are in touch again.
FIRST_REQUESTS_S = [1.0, 1.7, 2.4, 8.4, 14.4]
KILLED_S = 16.0
DOWN_S = 1.0
LAST_REQUESTS_S = [0.5, 6.5, 12.5, 18.5]
END_S = 22.0


async def main(record):
    store = Store(record)
    await store.start()
    engines = deadly.Engines(store, record)
    for number in range(1, ENGINES + 1):
        await engines.start(number, 1)
    store.put("op/config", deadly.configuration())
    deployment = fleet.Fleet(RELAYS, store.address)
    tasks = [asyncio.ensure_future(engines.replace_crashed())]
    try:
        await deployment.start()
        senders = deadly.Senders(deployment, record)
        begins_at = time.monotonic()
        tasks.append(asyncio.ensure_future(senders.send_sound()))
        await senders.send_deadly(begins_at, FIRST_REQUESTS_S)
        await asyncio.sleep(begins_at + KILLED_S - time.monotonic())
        if fleet.has_trouble():
            record.line("all relays are killed")
            deployment.kill()
            await asyncio.sleep(DOWN_S)
            await deployment.start()
            record.line("all relays are ready again")
        started_at = max(it.started_at for it in deployment.relays)
        in_touch_at = max(started_at + fleet.BOUNDS["stable_ms"] / 1000, time.monotonic())
        if len(engines.crashes) < deadly.FIFTH:
            raise fleet.NotRunnable("fewer than five crashes at first")
        await senders.send_deadly(in_touch_at, LAST_REQUESTS_S)
        await asyncio.sleep(in_touch_at + END_S - time.monotonic())
    finally:
        for task in tasks:
            task.cancel()
        deployment.close()
    return deadly.judge(record, engines, senders, in_touch_at)


fleet.run_case(main, FOLDER)
