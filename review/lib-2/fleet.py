"""Starts relays as the deploy file does, and knows what every case needs of a deployment."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from http1 import send
from ports import free_port

ROOT = Path(__file__).resolve().parents[2]
RELAY = ROOT / "target/release/parsleylatch-relay"
# Bounds of the small sites, in the order of deploy/node.jsonc.
BOUNDS = {
    "configuration_ms": 2500,
    "leaving_ms": 2500,
    "stop_s": 8,
    "retry_ratio": 0.8,
    "retry_window_s": 10,
    "retry_slack": 150,
    "exposure_ratio": 0.1,
    "exposure_slack": 50,
}
ZONES = {"dar-kariakoo": "dar", "dar-mikocheni": "dar", "arusha-njiro": "arusha"}
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case can't be run on this machine."""


class Relay:
    def __init__(self, name, zone, ports):
        self.name, self.zone = name, zone
        self.caller, self.ready, self.peer, self.metrics = ports
        self.process = None


class Fleet:
    """Relays in the zones of a small deployment, one in each by default."""

    def __init__(self, store, zones=tuple(ZONES)):
        if not RELAY.exists():
            raise CannotRun(f"{RELAY} is missing; build it as the deploy file does")
        self.store = store
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        ports = [free_port() for _ in range(4 * len(zones))]
        self.relays = [
            Relay(f"edge-{zone}-{number}", zone, ports[4 * number : 4 * number + 4])
            for number, zone in enumerate(zones)
        ]
        self.turn = 0

    def settings(self, relay):
        address = "127.0.0.1:{}".format
        return {
            "node_id": relay.name,
            "failure_domain": relay.zone,
            "region": ZONES[relay.zone],
            "regions": ZONES,
            "caller_address": address(relay.caller),
            "ready_address": address(relay.ready),
            "peer_address": address(relay.peer),
            "metrics_address": address(relay.metrics),
            "store_address": self.store.address,
            "seeds": [address(it.peer) for it in self.relays[:3]],
            "overload": {"calls_queue": True},
            "locality": {
                "enabled": True,
                "domain_crossing_us_per_kb": 20,
                "region_crossing_us_per_kb": 250,
            },
            "bounds": BOUNDS,
        }

    def start_relay(self, relay):
        file = self.folder / f"{relay.name}.jsonc"
        file.write_text(json.dumps(self.settings(relay)))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PARSLEYLATCH_NODE_FILE": str(file),
            "RELAY_FILE_DESCRIPTORS": "4100fd",
        }
        with open(self.folder / f"{relay.name}.log", "ab") as log:
            relay.process = subprocess.Popen(
                [str(RELAY)], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def start(self):
        for relay in self.relays:
            self.start_relay(relay)
        for relay in self.relays:
            await self.wait_ready(relay)

    async def wait_ready(self, relay, timeout_s=15.0):
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if relay.process.poll() is not None:
                raise CannotRun(f"{relay.name} ended with {relay.process.returncode}")
            reply = await send(relay.ready, "GET", "/v1/readyz", [("Host", "x")], timeout_s=1.0)
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{relay.name} is not ready")

    async def kill_all(self, down_s):
        """The final fault: all processes are killed, and started again after `down_s`."""
        for relay in self.relays:
            relay.process.kill()
        for relay in self.relays:
            relay.process.wait()
        await asyncio.sleep(down_s)
        for relay in self.relays:
            self.start_relay(relay)

    def next_relay(self):
        """Spreads new connections over the relays, as the platform's balancer does."""
        self.turn += 1
        return self.relays[self.turn % len(self.relays)]

    def stop(self):
        running = [it.process for it in self.relays if it.process and it.process.poll() is None]
        for process in running:
            process.send_signal(signal.SIGKILL)
        for process in running:
            process.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs in {self.folder}", file=sys.stderr)


def route(name, prefix, kind, service, **other):
    """A route of the configuration; `other` replaces the defaults."""
    is_stream = kind == "stream"
    fields = {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 25_000 if is_stream else 800,
        "goal_ms": 4_500 if is_stream else 150,
        "priority": 1 if is_stream else 2,
        "service": service,
        "attempts": {"stream": 5, "idempotent": 2}.get(kind, 1),
        "public": False,
        "sticky": is_stream,
        "resumable": is_stream,
    }
    if is_stream:
        fields["gap_goal_ms"] = 700
    return {**fields, **other}


def configuration(routes, services, version=7):
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    tenants = [{"name": "huka270", "api_keys": ["xd9dnn2ctnfzs989anu6"], "priority": 1}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


def service(name, engine=None):
    fields = {"name": name, "health_path": "/healthz", "protocol": "h1", "tls": False}
    if engine:
        return {**fields, "max_conns": 250, "engine": engine}
    return {**fields, "max_conns": 110}


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


def run(case, folder):
    """Runs a case, which returns whether the rule was broken, and exits with its result."""
    record = Record(folder)
    try:
        is_broken = asyncio.run(asyncio.wait_for(case(record), 115))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.say(f"the case could not run: {error!r}")
        sys.exit(2)
    finally:
        record.file.flush()
    record.say("rule broken" if is_broken else "rule held")
    record.file.close()
    sys.exit(1 if is_broken else 0)
