"""Requests with a prompt part that crashes workers come several at a time, on a route with one
attempt: do more than three of them reach workers later than `stable_ms` after the fifth crash?"""

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
ENGINES = 24
# Times at which the requests with the part come, and their number each time.
BATCHES_S = [1.0, 6.0, 11.0, 16.0, 21.0]
BATCH = 6
END_S = 24.0


async def main(record):
    store = Store(record)
    await store.start()
    engines = deadly.Engines(store, record, crashes=fleet.has_trouble())
    for number in range(1, ENGINES + 1):
        await engines.start(number, 1)
    store.put("op/config", deadly.configuration(attempts=1))
    deployment = fleet.Fleet(RELAYS, store.address)
    tasks = [asyncio.ensure_future(engines.replace_crashed())]
    try:
        await deployment.start()
        senders = deadly.Senders(deployment, record)
        begins_at = time.monotonic()
        tasks.append(asyncio.ensure_future(senders.send_sound()))
        for at in BATCHES_S:
            await asyncio.sleep(begins_at + at - time.monotonic())
            for _ in range(BATCH):
                await senders.send_deadly(begins_at, [at])
        await asyncio.sleep(begins_at + END_S - time.monotonic())
    finally:
        for task in tasks:
            task.cancel()
        deployment.close()
    return deadly.judge(record, engines, senders, begins_at)


fleet.run_case(main, FOLDER)
