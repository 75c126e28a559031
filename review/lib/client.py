"""Stand-in of consumers."""

import http.client
import itertools
import socket
import threading
import time

from http_server import header, read_head

_numbers = itertools.count(1)
_prefix = f"{int(time.time() * 1000) & 0xffffffff:08x}"


def new_id():
    """Id of a consumer attempt."""
    return f"{_prefix}{next(_numbers):08x}"


class Attempt:
    """One consumer attempt and its result."""

    def __init__(self, node, kind, request_id):
        self.node = node
        self.kind = kind
        self.id = request_id
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = None
        self.headers = []
        self.body = b""
        self.failure = None


def request_bytes(method, path, request_id, host, key, deadline_ms, headers=(), body=b""):
    """Bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {request_id}",
             f"X-Deadline-Ms: {deadline_ms}", f"Api-Key: {key}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_response(reader):
    """Reads a whole response; raises OSError or ValueError if it is not complete."""
    head = read_head(reader)
    if head is None:
        raise ConnectionError("closed before a response")
    line, headers = head
    status = int(line.split(" ", 2)[1])
    if (header(headers, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = reader.readline()
            if not size.endswith(b"\n"):
                raise ConnectionError("cut within a response")
            length = int(size.split(b";")[0], 16)
            chunk = reader.read(length)
            if len(chunk) < length or not reader.readline():
                raise ConnectionError("cut within a response")
            if length == 0:
                return status, headers, body
            body += chunk
    length = header(headers, "content-length")
    if length is None:
        return status, headers, reader.read()
    body = reader.read(int(length))
    if len(body) < int(length):
        raise ConnectionError("cut within a response")
    return status, headers, body


class Channel:
    """A connection that a consumer keeps."""

    def __init__(self, address, timeout_s):
        self.socket = socket.create_connection(address, timeout=1)
        self.socket.settimeout(timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = self.socket.makefile("rb")

    def exchange(self, data):
        """Sends a request and reads its response."""
        self.socket.sendall(data)
        return read_response(self.reader)

    def close(self):
        """Closes the connection."""
        self.reader.close()
        self.socket.close()


class Consumers:
    """Threads that send one request after the other to one node each."""

    def __init__(self, site, attempts):
        self.site = site
        self.attempts = attempts
        self.stopping = threading.Event()
        self.threads = []
        self.lock = threading.Lock()

    def start(self, relay, kinds, per_s):
        """Starts a consumer that sends `per_s` requests a second, of each kind in turn."""
        thread = threading.Thread(target=self._run, args=(relay, kinds, per_s), daemon=True)
        self.threads.append(thread)
        thread.start()

    def stop(self):
        """Stops the consumers after their last response."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, relay, kinds, per_s):
        channel = None
        next_at = time.monotonic()
        for number in itertools.count():
            if self.stopping.is_set():
                break
            kind = kinds[number % len(kinds)]
            attempt = Attempt(relay, kind, new_id())
            data, timeout_s = self.site.request(kind, attempt.id)
            try:
                if channel is None:
                    channel = Channel(relay.front, timeout_s)
                attempt.status, attempt.headers, attempt.body = channel.exchange(data)
                if (header(attempt.headers, "connection") or "").lower() == "close":
                    channel.close()
                    channel = None
            except (OSError, ValueError, http.client.HTTPException) as error:
                attempt.failure = f"{type(error).__name__}: {error}"
                if channel is not None:
                    channel.close()
                channel = None
            attempt.ended_at = time.monotonic()
            with self.lock:
                self.attempts.append(attempt)
            next_at = max(next_at + 1 / per_s, time.monotonic() - 1)
            time.sleep(max(0.0, next_at - time.monotonic()))
        if channel is not None:
            channel.close()
