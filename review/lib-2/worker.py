"""Stand-in of a worker: registers in the store, and answers as PROTOCOL.md says."""

import asyncio
import json
import time

from http1 import Server, head_bytes, response_bytes

BEAT_S = 1.2


class Worker:
    """One worker. `answer(worker, request, writer, number)` writes the response of a run."""

    def __init__(self, record, store, name, service, zone, answer, version="v1", slots=32):
        self.record, self.store = record, store
        self.name, self.service, self.zone, self.version = name, service, zone, version
        self.slots, self.answer = slots, answer
        self.server = None
        self.state = "ready"
        self.running = 0
        self.arrivals = []
        self.beating = None

    async def start(self, port=None):
        """Starts an incarnation, which registers itself."""
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self.server = Server(self.handle)
        await self.server.start(port)
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(BEAT_S)

    def register(self):
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        known = self.store.get_json(f"servers/{self.name}") or {}
        # The entry changes when more than its number does.
        if {**known, "seq": 0} != {**entry, "seq": 0}:
            self.store.put_json(f"servers/{self.name}", entry)

    async def crash(self, down_s):
        """Ends as a killed process does, and starts again under the same id."""
        port = self.server.port
        self.beating.cancel()
        self.server.crash()
        await asyncio.sleep(down_s)
        await self.start(port)

    def leave(self):
        """Ends for good."""
        self.beating.cancel()
        self.server.crash()
        self.store.remove(f"servers/{self.name}")

    def load(self):
        return f"{min(self.running, self.slots)},{max(0, self.running - self.slots)},{self.slots}"

    async def handle(self, request, writer):
        if request.path == "/healthz":
            headers = [("X-Instance-Id", self.name), ("X-Server-Load", self.load())]
            writer.write(response_bytes(200, headers))
        elif request.path == "/v1/report":
            self.report(writer)
        elif request.path.startswith("/v1/"):
            writer.write(response_bytes(404, []))
        else:
            await self.run(request, writer)

    def report(self, writer):
        body = {
            "stage": "mixed",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "queued": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 55_000,
            "handles": 0,
        }
        content = [("Content-Type", "application/json")]
        writer.write(response_bytes(200, content, json.dumps(body).encode()))

    def headers(self, request):
        number = len(self.arrivals)
        return [
            ("X-Request-Id", request.header("x-request-id")),
            ("X-Response-Seal", f"{self.name}.{number}"),
            ("X-Server-Load", self.load()),
        ]

    async def run(self, request, writer):
        request_id = request.header("x-request-id")
        expected = request.header("x-expect-instance")
        if expected not in (None, self.name):
            headers = [("X-Request-Id", request_id), ("X-Instance-Id", self.name)]
            writer.write(response_bytes(421, headers))
            return
        self.arrivals.append((time.monotonic(), request))
        self.record.write(f"{self.name} ({self.version}) runs {request_id}")
        self.running += 1
        try:
            await self.answer(self, request, writer, len(self.arrivals))
        finally:
            self.running -= 1

    def begin_stream(self, request, writer):
        headers = [
            *self.headers(request),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(head_bytes(200, headers))

    @staticmethod
    def write_event(writer, number):
        event = f"id: {number}\ndata: {'x' * 60}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")

    @staticmethod
    def end_stream(writer):
        writer.write(b"0\r\n\r\n")
