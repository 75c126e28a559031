"""Two operators race: each orders another version, and the version of the first one is bad."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from fleet import is_troubled, run  # noqa: E402
from streams import StreamDeployment  # noqa: E402

BAD_VERSION, GOOD_VERSION = "v2", "v3"
# Share of the answers of the bad version that are failures.
FAILING_SHARE = 0.4
DURATION_S = 30.0
# Time between the two orders.
RACE_S = 1.0
LEAD_S = 5.0


def spoil(worker, request):
    is_failing = worker.version == BAD_VERSION and random.random() < FAILING_SHARE
    return 500 if is_failing else 200, 1


async def case(record):
    deployment = StreamDeployment(record, spoil)
    try:
        await deployment.start()
        streams = asyncio.create_task(deployment.send_for(LEAD_S + DURATION_S + 3))
        await asyncio.sleep(LEAD_S)
        ordered_at = await deployment.order(BAD_VERSION, DURATION_S)
        if is_troubled():
            await asyncio.sleep(RACE_S)
            await deployment.order(GOOD_VERSION, DURATION_S)
        every_worker = list(deployment.workers)
        await streams
        await asyncio.sleep(3)
        arrivals = [
            (at, worker.version, request.header("x-request-id"))
            for worker in every_worker
            for at, request in worker.arrivals
        ]
        return deployment.exposes(arrivals, BAD_VERSION, ordered_at, DURATION_S)
    finally:
        deployment.stop()


run(case, Path(__file__).parent)
