"""Stand-in of a worker: a call service or a model engine, as PROTOCOL.md describes it."""

import asyncio
import json
import socket
import struct
import time

from http1 import encode_chunk, encode_response, encode_stream_head, read_request


class Crash(Exception):
    """The worker's process ends."""


def reset(writer):
    """Resets a connection."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Worker:
    """One incarnation of a worker. `behave` is a coroutine function that gets the worker, the
    request and the connection's writer, and answers the request."""

    def __init__(self, name, service, behave, version="v1", zone="zone-a", slots=32):
        self.name = name
        self.service = service
        self.behave = behave
        self.version = version
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.running = 0
        self.runs = {}
        self.connections = set()
        self.server = None
        self.address = None
        self.has_crashed = False

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        """Entry of the worker in the store, under `servers/ID`."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": self.born,
        }

    def end(self):
        """Ends the process: closes the listener and resets all connections."""
        self.has_crashed = True
        self.server.close()
        for writer in list(self.connections):
            reset(writer)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while not self.has_crashed:
                request = await read_request(reader)
                if request is None or self.has_crashed:
                    return
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        except Crash:
            self.end()
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        if request.path == "/v1/report":
            writer.write(encode_response(200, {"Content-Type": "application/json"}, self._report()))
            return
        if request.path.startswith("/v1/"):
            writer.write(encode_response(404))
            return
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(encode_response(421, {"X-Instance-Id": self.name}))
            return
        self.arrivals.append((time.monotonic(), request))
        self.running += 1
        self.runs[request.headers["x-request-id"]] = 0
        try:
            await self.behave(self, request, writer)
        finally:
            self.running -= 1
            self.runs.pop(request.headers["x-request-id"], None)

    def _report(self):
        runs = [[name, 100, events, 5] for name, events in self.runs.items()]
        report = {
            "stage": "mixed",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 1,
            "queued": 0,
            "running": self.running,
            "kv_used": 100 * self.running,
            "kv_total": 55000,
            "handles": 0,
            "runs": runs,
            "born": self.born,
        }
        return json.dumps(report).encode()

    def answer_headers(self, request):
        """Headers of every answer to a consumer's request."""
        name = request.headers["x-request-id"]
        return {
            "X-Request-Id": name,
            "X-Response-Seal": f"{self.name}.{name}",
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }

    def send_answer(self, request, writer, status=200, body=b"answer"):
        """Answers a request with a body of known length."""
        writer.write(encode_response(status, self.answer_headers(request), body))

    async def send_stream(self, request, writer, count, first_s, gap_s):
        """Answers with the events 1 to `count`, from `Last-Event-Id` on."""
        begin = int(request.headers.get("last-event-id", 0)) + 1
        await asyncio.sleep(first_s)
        writer.write(encode_stream_head(self.answer_headers(request)))
        for number in range(begin, count + 1):
            if number > begin:
                await asyncio.sleep(gap_s)
            if writer.transport.is_closing():
                raise ConnectionError
            self.runs[request.headers["x-request-id"]] = number
            writer.write(encode_chunk(b"id: %d\ndata: token\n\n" % number))
            await writer.drain()
        writer.write(encode_chunk(b""))
