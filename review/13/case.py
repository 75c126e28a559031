"""Requests with a prompt part that crashes workers come, at first with another part after it.
Later ones have other parts in its place: do more than three of those reach workers?"""

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
ENGINES = 14
# Times of the sound requests with the other part, before and after the trouble, and of the first
# requests with both.
SOUND_S = [0.2, 0.5, 0.8]
SOUND_AFTERWARDS_S = [12.0, 12.3, 12.6]
FIRST_REQUESTS_S = [2.0, 2.7, 3.4, 4.1]
# Times of the later ones, each with a part of its own in the place of the other one.
LATER_REQUESTS_S = [7.5, 9.0, 10.5]
END_S = 16.0


async def send_sound_with_other(senders, begins_at, times_s):
    for at in times_s:
        await asyncio.sleep(begins_at + at - time.monotonic())
        senders.send("t", f"5c1e:400,7f07:200,c{senders.number:x}:100")


async def main(record):
    store = Store(record)
    await store.start()
    engines = deadly.Engines(store, record, crashes=fleet.has_trouble())
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
        await send_sound_with_other(senders, begins_at, SOUND_S)
        await senders.send_deadly(begins_at, FIRST_REQUESTS_S, "7f07:200,")
        for number, at in enumerate(LATER_REQUESTS_S):
            await senders.send_deadly(begins_at, [at], f"9e{number:x}0:200,")
        await send_sound_with_other(senders, begins_at, SOUND_AFTERWARDS_S)
        await asyncio.sleep(begins_at + END_S - time.monotonic())
    finally:
        for task in tasks:
            task.cancel()
        deployment.close()
    return deadly.judge(record, engines, senders, begins_at + FIRST_REQUESTS_S[-1])


fleet.run_case(main, FOLDER)
