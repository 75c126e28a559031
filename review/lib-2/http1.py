"""A minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio

from ports import free_port

HEAD_LIMIT = 1 << 17


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the headers by lower-case name; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("connection closed within a head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Returns the next chunk of a chunked body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, headers, until_close=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    return Request(method, target, head[1], await read_body(reader, head[1]))


REASONS = {200: "OK", 404: "Not Found", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def head_bytes(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response_bytes(status, headers, body=b""):
    return head_bytes(status, [*headers, ("Content-Length", len(body))]) + body


class Server:
    """Serves one address; `handle(request, writer)` writes each response."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = None
        self.writers = set()
        self.tasks = set()

    async def start(self, port=None):
        self.port = port or free_port()
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=HEAD_LIMIT, backlog=512
        )

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                await self.handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Ends as a killed process does: all connections are cut, and the port is closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Response:
    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete


async def send(port, method, target, headers, body=b"", timeout_s=30.0):
    """Sends one request on a new connection. Status 0: no response; -1: timeout."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=HEAD_LIMIT)
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return Response(0, {}, b"", False)
        status = int(head[0].split(" ")[1])
        received = bytearray()
        try:
            if head[1].get("transfer-encoding", "").lower() == "chunked":
                while part := await read_chunk(reader):
                    received += part
            else:
                received += await read_body(reader, head[1], until_close=True)
        except (ConnectionError, asyncio.IncompleteReadError):
            return Response(status, head[1], bytes(received), False)
        return Response(status, head[1], bytes(received), True)

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except asyncio.TimeoutError:
        return Response(-1, {}, b"", False)
    except (ConnectionError, asyncio.IncompleteReadError, OSError):
        return Response(0, {}, b"", False)
    finally:
        if writer is not None:
            writer.close()
