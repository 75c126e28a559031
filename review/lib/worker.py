"""Stand-in of a worker: registers in the store, runs requests and records them."""

import threading
import time

from http_server import Server, response

BEAT_S = 1.2


class Arrival:
    """A request that reached a worker."""

    def __init__(self, worker, request, ran):
        self.at = time.monotonic()
        self.worker = worker
        self.id = request.get("x-request-id")
        self.target = request.target
        self.ran = ran
        self.status = None
        self.ended_at = None


class Worker:
    """A worker of a service. `answer(worker, request)` returns a status and a body."""

    def __init__(self, store, worker_id, service, zone, version="v1", slots=6, work_ms=15,
                 answer=None, handle=None, arrivals=None):
        self.store = store
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.work_ms = work_ms
        self.answer = answer or (lambda worker, request: (200, b"done " + worker.id.encode()))
        self.custom_handle = handle
        self.arrivals = arrivals if arrivals is not None else []
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.lock = threading.Lock()
        self.running = threading.Semaphore(slots)
        self.server = Server(self._handle)

    def entry(self):
        """The worker's entry in the store."""
        self.seq += 1
        return {"service": self.service, "address": self.server.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "cold_left_ms": 0, "seq": self.seq, "born": self.born}

    def register(self):
        """Writes the worker's entry."""
        self.store.put(f"servers/{self.id}", self.entry())

    def seal(self, request, body):
        """A digest that names the worker, the request and the body's length."""
        return f"{self.id}.{request.get('x-request-id')}.{len(body)}"

    def record(self, request, ran):
        """Records an arrival."""
        arrival = Arrival(self.id, request, ran)
        with self.lock:
            self.arrivals.append(arrival)
        return arrival

    def _handle(self, request, connection):
        if self.custom_handle is not None:
            handled = self.custom_handle(self, request, connection)
            if handled is not None:
                return handled
        if request.get("x-request-id") is None:
            connection.sendall(response(200, [("X-Instance-Id", self.id)], b"{}"))
            return True
        identified = [("X-Request-Id", request.get("x-request-id"))]
        expected = request.get("x-expect-instance")
        if expected not in (None, self.id):
            self.record(request, False)
            connection.sendall(response(421, identified + [("X-Instance-Id", self.id),
                                                           ("X-Not-Run", "1")]))
            return True
        arrival = self.record(request, True)
        with self.running:
            time.sleep(self.work_ms / 1000)
            status, body = self.answer(self, request)
        arrival.status = status
        sealed = identified + [("X-Response-Seal", self.seal(request, body))]
        connection.sendall(response(status, sealed, body))
        return True
