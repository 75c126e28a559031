"""Two bad versions in a row: the second one is ordered while workers of the first are still there."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from fleet import CannotRun, is_troubled, run  # noqa: E402
from streams import StreamDeployment  # noqa: E402

# Share of the answers of each version that are failures.
FAILING_SHARES = {"v2": 0.8, "v3": 0.4}
DURATION_S = 16.0
LEAD_S = 5.0
# Time between the end of the first roll-out and the second order, and the drain of its workers.
ORDER_AFTER_S, DRAIN_AFTER_S = 0.3, 6.0
# Time after the second order's limit in which requests are sent.
LATER_S = 20.0
STREAMS_PER_S = 16


def spoil(worker, request):
    is_failing = random.random() < FAILING_SHARES.get(worker.version, 0.0)
    return 500 if is_failing else 200, 1


async def case(record):
    deployment = StreamDeployment(record, spoil)
    deployment.streams_per_s = STREAMS_PER_S
    deployment.drain_after_s = DRAIN_AFTER_S
    try:
        await deployment.start()
        # Streams go on for longer than the case takes.
        streams = asyncio.create_task(deployment.send_for(120))
        await asyncio.sleep(LEAD_S)
        if is_troubled():
            await deployment.order("v2", DURATION_S)
            if await deployment.wait_for_end() != "rolled_back":
                raise CannotRun("the first bad version was not rolled back")
            await asyncio.sleep(ORDER_AFTER_S)
        workers = list(deployment.workers)
        ordered_at = await deployment.order("v3", DURATION_S)
        workers += [it for it in deployment.workers if it not in workers]
        await asyncio.sleep(DURATION_S + LATER_S)
        streams.cancel()
        arrivals = [
            (at, worker.version, request.header("x-request-id"))
            for worker in workers
            for at, request in worker.arrivals
        ]
        return deployment.exposes(arrivals, "v3", ordered_at, DURATION_S)
    finally:
        deployment.stop()


run(case, Path(__file__).parent)
