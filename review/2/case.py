"""A roll-out order is ignored by machines that start while the workers' entries have lapsed."""

import json
import os
import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from client import Consumers  # noqa: E402
from relay import BOUNDS, Relay, temporary_folder  # noqa: E402
from site_settings import Site  # noqa: E402
from store import Store  # noqa: E402
from worker import Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "dispatch-app"
ZONES = ["dar-kariakoo", "dar-mikocheni", "arusha-njiro"]
# Time limit of the order.
DURATION_S = 25
# Seconds after the order at which the store goes down, and how long it is down.
DOWN_AFTER_S = 1.0
DOWN_FOR_S = 4.5
# Seconds after the order at which all processes are killed, and until they start again.
KILL_AFTER_S = 3.0
RESTART_S = 1.0
# The workers' entries are back within about two seconds of the store's return.
BACK_S = {"v1": (1.2, 1.8), "v2": (1.2, 1.8)}
# The new version is bad later: from this time after the order on, its answers arrive five
# times slower than the old one's.
BAD_AFTER_S = 8.0
WORK_MS = 15
SLOW_WORK_MS = 75
# Time from `rolled_back` until the new workers drain, and from `done` until the old ones stop.
DRAIN_AFTER_S = 3.0
CONSUMERS_PER_NODE = 4
REQUESTS_PER_S = 6


def main():
    """Runs the case; returns the exit code."""
    random.seed(1)
    record = open(HERE / "record.txt", "w", encoding="utf-8")
    start = time.monotonic()

    def note(text):
        print(f"{time.monotonic() - start:8.3f} {text}", file=record, flush=True)

    arrivals, attempts = [], []
    store = Store()
    site = Site()

    def add(version):
        added = [Worker(store, f"i-{version}{number}", SERVICE, zone, version=version,
                        work_ms=WORK_MS, arrivals=arrivals)
                 for number, zone in enumerate(ZONES)]
        for worker in added:
            worker.register()
        return added

    store.put("op/config", site.configuration())
    workers = add("v1")
    with temporary_folder() as folder:
        relays = [Relay(number + 1, zone, store.address, folder)
                  for number, zone in enumerate(ZONES)]
        try:
            for relay in relays:
                relay.write_settings([it.control for it in relays])
                relay.start()
            if not all(relay.wait_ready() for relay in relays):
                note("a relay did not get ready")
                return 2
            consumers = Consumers(site, attempts)
            for relay in relays:
                for _ in range(CONSUMERS_PER_NODE):
                    consumers.start(relay, [Site.BOOK, Site.BOOK, Site.READ], REQUESTS_PER_S)
            time.sleep(BOUNDS["stable_ms"] / 1000 + 1)
            workers += add("v2")
            store.put(f"op/rollout/{SERVICE}",
                      {"service": SERVICE, "target": "v2", "duration_s": DURATION_S})
            ordered_at = time.monotonic()
            note(f"order: {SERVICE} to v2 in {DURATION_S} s")
            threading.Thread(target=operate, args=(store, workers, note, ordered_at),
                             daemon=True).start()
            # Since when the store and all machines have been without disruption.
            calm_since = start
            if TROUBLE:
                time.sleep(DOWN_AFTER_S)
                store.go_down()
                note("store down")
                time.sleep(KILL_AFTER_S - DOWN_AFTER_S)
                for relay in relays:
                    relay.kill()
                note("all relays killed")
                store.lapse("servers/")
                store.lapse_leases()
                note("leases have run out")
                time.sleep(RESTART_S)
                for relay in relays:
                    relay.start()
                note("all relays started")
                time.sleep(ordered_at + DOWN_AFTER_S + DOWN_FOR_S - time.monotonic())
                store.come_back()
                calm_since = time.monotonic()
                note("store back")
                for worker in workers:
                    delay = random.uniform(*BACK_S[worker.version])
                    threading.Timer(delay, worker.register).start()
            time.sleep(max(0.0, ordered_at + DURATION_S - time.monotonic()))
            consumers.stop()
            status = store.document(f"status/rollout/{SERVICE}")
            memory = [round(relay.memory_mb()) for relay in relays]
            logs = []
            for relay in relays:
                relay.kill()
            for path in sorted(pathlib.Path(folder).glob("*.log")):
                for line in path.read_text(errors="replace").splitlines():
                    if "roll-out ordered" in line:
                        logs.append(f"{path.name}: {line}")
        finally:
            for relay in relays:
                relay.kill()
            store.server.close()
            for worker in workers:
                worker.server.close()
    return judge(note, ordered_at, calm_since, attempts, arrivals, status, memory, logs, start)


def operate(store, workers, note, ordered_at):
    """Makes the new version slow, and drains it once the system has taken it back."""
    new = [it for it in workers if it.version == "v2"]
    time.sleep(ordered_at + BAD_AFTER_S - time.monotonic())
    for worker in new:
        worker.work_ms = SLOW_WORK_MS
    note("the new version is slow from now on")
    while time.monotonic() < ordered_at + DURATION_S:
        status = store.document(f"status/rollout/{SERVICE}") or {}
        if status.get("state") == "rolled_back":
            note("rolled_back")
            time.sleep(DRAIN_AFTER_S)
            for worker in new:
                worker.state = "draining"
                worker.register()
            note("the new workers drain")
            return
        if status.get("state") == "done":
            note("done")
            for worker in workers:
                if worker.version == "v1":
                    store.remove(f"servers/{worker.id}")
                    worker.server.close()
            return
        time.sleep(0.1)


def judge(note, ordered_at, calm_since, attempts, arrivals, status, memory, logs, start):
    """Checks the rule EXPOSURE and writes the record; returns the exit code."""
    stable_s = BOUNDS["stable_ms"] / 1000
    rollback_s = BOUNDS["rollback_ms"] / 1000
    in_touch_from = calm_since + stable_s
    limit_at = ordered_at + DURATION_S
    kept = {it.id: it for it in attempts}
    reached = [it for it in arrivals if ordered_at <= it.at <= limit_at]
    new = [it for it in reached if it.worker.startswith("i-v2")]
    in_touch = [it for it in new
                if it.id in kept and kept[it.id].sent_at >= in_touch_from]
    allowed = BOUNDS["expose_share"] * len(reached) + BOUNDS["expose_slack"]
    bad_from = max(calm_since, ordered_at + BAD_AFTER_S)
    bad_at = sorted(it.at for it in new if it.at >= bad_from)
    late = []
    if len(bad_at) >= 50:
        late = [it for it in in_touch if kept[it.id].sent_at > bad_at[49] + rollback_s]
    note(f"status in the store at the time limit: {json.dumps(status)}")
    note(f"memory at the end, MB: {memory}")
    note(f"sent: {len(attempts)} requests; 200: {sum(1 for it in attempts if it.status == 200)}, "
         f"503: {sum(1 for it in attempts if it.status == 503)}, "
         f"no answer: {sum(1 for it in attempts if it.status is None)}")
    note(f"arrivals at the service between the order and the time limit: {len(reached)}, "
         f"of these at the bad version: {len(new)}, from machines in touch: {len(in_touch)}, "
         f"allowed: {allowed:.0f}")
    note(f"slow answers since the store was last unstable: {len(bad_at)}; requests sent by "
         f"machines in touch later than {rollback_s:.0f} s after the 50th: {len(late)}")
    for line in logs:
        note(f"log {line}")
    for it in late[:5]:
        sent = kept[it.id]
        note(f"request {it.id} sent at {sent.sent_at - start:.3f} to {sent.node.node} ran at "
             f"{it.worker} at {it.at - start:.3f} with status {it.status}")
    is_broken = len(in_touch) > allowed or bool(late)
    note("EXPOSURE broken" if is_broken else "EXPOSURE held")
    if len(reached) < 300:
        note("too few requests for a result")
        return 2
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
