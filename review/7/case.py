"""A part of prompts crashes engines; sound requests share another part with these prompts."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from fleet import CannotRun, is_troubled, run  # noqa: E402
from poison import DEADLY_PART, STABLE_S, PoisonedDeployment  # noqa: E402

# A sound prompt and a deadly one; the last part is each request's own.
SOUND_PARTS = "5c1e07a2:200,91bd3f06:400"
DEADLY_PARTS = f"{DEADLY_PART}:200,91bd3f06:400"
# Sound requests come in batches.
BATCH, BATCH_INTERVAL_S = 5, 6.0
BATCHES_BEFORE = 5
# Time between the last batch before and the first deadly request.
PHASE_S = 2.5
DEADLY_INTERVAL_S = 1.0
TROUBLE_S = 45.0
JUDGED_MIN = 20


async def send_batches(deployment):
    while True:
        for _ in range(BATCH):
            deployment.keep(deployment.stream(SOUND_PARTS))
        await asyncio.sleep(BATCH_INTERVAL_S)


def begun_share(record, sound, name):
    begun = sum(has_begun for _, has_begun in sound)
    record.say(f"{name}: {begun} of {len(sound)} sound requests began")
    if len(sound) < JUDGED_MIN:
        raise CannotRun("too few sound requests")
    return begun / len(sound)


async def case(record):
    deployment = PoisonedDeployment(record)
    try:
        await deployment.start()
        deployment.keep(send_batches(deployment))
        await asyncio.sleep(BATCHES_BEFORE * BATCH_INTERVAL_S + PHASE_S)
        trouble_at = time.monotonic()
        while time.monotonic() < trouble_at + TROUBLE_S:
            if is_troubled():
                deployment.keep(deployment.stream(DEADLY_PARTS))
            await asyncio.sleep(DEADLY_INTERVAL_S)
        ends_at = time.monotonic()
        await asyncio.sleep(4)
        crashes = deployment.crashes
        record.say(f"{len(crashes)} crashes; {len(deployment.reached)} deadly requests at engines")
        judged_from = (crashes[min(4, len(crashes) - 1)] if crashes else trouble_at) + 2 * STABLE_S
        before = [it for it in deployment.sound if it[0] < trouble_at]
        after = [it for it in deployment.sound if judged_from < it[0] < ends_at]
        usual = begun_share(record, before, "before the trouble")
        return begun_share(record, after, "in the trouble") < usual / 2
    finally:
        deployment.stop()


run(case, Path(__file__).parent)
