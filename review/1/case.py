"""A planned stop under load cuts off streams that wait for a model worker with room."""

import os
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from client import Attempt, Channel, new_id  # noqa: E402
from engine import Engine  # noqa: E402
from http_server import header  # noqa: E402
from relay import BOUNDS, Relay, temporary_folder  # noqa: E402
from site_settings import Site  # noqa: E402
from store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["dar-kariakoo", "dar-mikocheni"]
ENGINES = 2
# Consumers of the first relay, which is stopped, and of the second one.
CONSUMERS = [28, 4]
# Constant load for this long before the stop, and the time after its end.
LOAD_S = 20.0
AFTER_S = 3.0


class Balancer:
    """Checks readiness once a second; two misses take a machine out of rotation."""

    def __init__(self, relays):
        self.relays = relays
        self.in_rotation = {it: True for it in relays}
        self.misses = {it: 0 for it in relays}
        self.stopping = threading.Event()
        for relay in relays:
            threading.Thread(target=self._check, args=(relay,), daemon=True).start()

    def _check(self, relay):
        while not self.stopping.wait(1.0):
            self.misses[relay] = 0 if relay.is_ready() else self.misses[relay] + 1
            self.in_rotation[relay] = self.misses[relay] < 2

    def pick(self, home):
        """The machine of a new channel."""
        others = [it for it in self.relays if self.in_rotation[it]]
        return home if self.in_rotation[home] or not others else others[0]


def consume(site, balancer, home, attempts, lock, stopping):
    """Sends one stream after the other on a kept channel."""
    channel, relay = None, home
    while not stopping.is_set():
        attempt = Attempt(relay, Site.BRIEF, new_id())
        data, timeout_s = site.request(Site.BRIEF, attempt.id)
        try:
            if channel is None:
                relay = attempt.node = balancer.pick(home)
                channel = Channel(relay.front, timeout_s)
            attempt.sent_at = time.monotonic()
            attempt.status, attempt.headers, attempt.body = channel.exchange(data)
            if (header(attempt.headers, "connection") or "").lower() == "close":
                channel.close()
                channel = None
        except (OSError, ValueError) as error:
            attempt.failure = f"{type(error).__name__}: {error}"
            if channel is not None:
                channel.close()
            channel = None
        attempt.ended_at = time.monotonic()
        with lock:
            attempts.append(attempt)
        if attempt.status != 200:
            time.sleep(float(header(attempt.headers, "retry-after") or 0.2))
    if channel is not None:
        channel.close()


def main():
    """Runs the case; returns the exit code."""
    record = open(HERE / "record.txt", "w", encoding="utf-8")
    start = time.monotonic()

    def note(text):
        print(f"{time.monotonic() - start:8.3f} {text}", file=record, flush=True)

    arrivals, attempts, lock = [], [], threading.Lock()
    store = Store()
    site = Site()
    store.put("op/config", site.configuration())
    engines = [Engine(store, f"i-engine{number}", "brief-llm", ZONES[number % 2],
                      arrivals=arrivals) for number in range(ENGINES)]
    for engine in engines:
        engine.register()
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
            balancer, stopping = Balancer(relays), threading.Event()
            threads = []
            for relay, count in zip(relays, CONSUMERS):
                for _ in range(count):
                    arguments = (site, balancer, relay, attempts, lock, stopping)
                    threads.append(threading.Thread(target=consume, args=arguments, daemon=True))
            for thread in threads:
                thread.start()
                time.sleep(0.05)
            time.sleep(LOAD_S)
            stopped_at = time.monotonic()
            stopped = relays[0]
            if TROUBLE:
                stopped.signal(signal.SIGTERM)
                note(f"SIGTERM to {stopped.node}")
                try:
                    stopped.process.wait(BOUNDS["grace_s"])
                    note(f"{stopped.node} has ended by itself")
                except Exception:
                    note(f"SIGKILL to {stopped.node} after grace_s")
                    stopped.process.kill()
                ended_at = time.monotonic()
            else:
                time.sleep(BOUNDS["grace_s"])
                ended_at = time.monotonic()
            time.sleep(AFTER_S)
            with lock:
                seen = list(attempts)
            stopping.set()
            for relay in relays:
                relay.kill()
        finally:
            for relay in relays:
                relay.kill()
            store.server.close()
            for engine in engines:
                engine.server.close()
    return judge(note, start, stopped, stopped_at, ended_at, seen, arrivals)


def judge(note, start, stopped, stopped_at, ended_at, attempts, arrivals):
    """Checks the rule LOST and writes the record; returns the exit code."""
    grace_s = BOUNDS["grace_s"]
    slack_s = BOUNDS["loss_slack_ms"] / 1000
    runs = {}
    for arrival in arrivals:
        runs.setdefault(arrival.id, []).append(arrival)
    at_stopped = [it for it in attempts if it.node is stopped]
    for name, chosen in (("all", attempts), (stopped.node, at_stopped)):
        complete = [it for it in chosen if it.status == 200]
        waits = sorted(min(run.at for run in runs[it.id]) - it.sent_at
                       for it in complete if it.id in runs)
        note(f"{name}: {len(chosen)} streams ended, complete: {len(complete)}, "
             f"503: {sum(1 for it in chosen if it.status == 503)}, "
             f"502 or 504: {sum(1 for it in chosen if it.status in (502, 504))}, "
             f"no complete answer: {sum(1 for it in chosen if it.status is None)}; "
             f"longest wait for a worker {waits[-1] if waits else 0:.1f} s")
    lost_unsent, lost_sent, excused = [], [], []
    for it in at_stopped:
        is_planned = stopped_at <= it.ended_at <= stopped_at + grace_s + 1
        if it.status is not None or not is_planned or (it.failure or "").startswith("Timeout"):
            continue
        if it.ended_at - it.sent_at <= slack_s and it.id not in runs:
            continue
        if it.id not in runs:
            lost_unsent.append(it)
        elif (it.sent_at <= stopped_at + 3
              and any((run.ended_at or ended_at) >= stopped_at + grace_s * 5 / 6
                      for run in runs[it.id])):
            excused.append(it)
        else:
            lost_sent.append(it)
    note(f"channels that ended without a complete answer around the stop: "
         f"{len(lost_unsent)} never passed on to a worker, {len(lost_sent)} passed on, and "
         f"{len(excused)} excused (a worker was still at work in the last sixth of grace_s)")
    for it in (lost_unsent + lost_sent)[:40]:
        note(f"request {it.id} sent at {it.sent_at - start:.3f} "
             f"({it.sent_at - stopped_at:+.3f} s from the SIGTERM), channel ended at "
             f"{it.ended_at - start:.3f} after {it.ended_at - it.sent_at:.3f} s: {it.failure}")
    if len(at_stopped) < 20:
        note("too few streams for a result")
        return 2
    is_broken = bool(lost_unsent or lost_sent)
    note("LOST broken" if is_broken else "LOST held")
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
