"""HTTP/1.1 messages for the stand-ins: reading, writing, and a client."""

import asyncio
import time


class Request:
    """A request as a server received it."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.received_at = time.monotonic()


class Response:
    """A response as a client received it. `is_complete` is false if its end is missing."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.event_times = []


async def read_head(reader):
    """Reads a head; returns its first line and its headers in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader, on_data):
    """Reads a chunked body to its end."""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return
        on_data(data)


async def read_request(reader):
    """Reads a request, or returns `None` at the end of the connection."""
    try:
        first, headers = await read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, path, _ = first.split(" ", 2)
    parts = []
    if "chunked" in headers.get("transfer-encoding", ""):
        await read_chunks(reader, parts.append)
    else:
        parts.append(await reader.readexactly(int(headers.get("content-length", 0))))
    return Request(method, path, headers, b"".join(parts))


def encode_response(status, headers=None, body=b"", reason="x"):
    """Encodes a response of known length."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_stream_head(headers):
    """Encodes the head of a chunked stream of events."""
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_chunk(data):
    """Encodes one chunk; the empty one ends a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def fetch(address, method, path, headers, body=b"", timeout_s=10.0):
    """Sends a request on a connection of its own and reads the response."""
    response = Response()
    response.sent_at = time.monotonic()
    try:
        await asyncio.wait_for(_exchange(response, address, method, path, headers, body), timeout_s)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        response.error = type(error).__name__
    response.ended_at = time.monotonic()
    return response


async def _exchange(response, address, method, path, headers, body):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        response.sent_at = time.monotonic()
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        first, response.headers = await read_head(reader)
        response.status = int(first.split(" ")[1])

        def on_data(data):
            response.body += data
            response.event_times.append(time.monotonic())

        if "chunked" in response.headers.get("transfer-encoding", ""):
            await read_chunks(reader, on_data)
        else:
            length = int(response.headers.get("content-length", 0))
            on_data(await reader.readexactly(length))
        response.is_complete = True
    finally:
        writer.transport.abort()
