"""A small HTTP/1.1 server on loopback; the handler writes its response itself."""

import socket
import threading


class Request:
    """A request that was read whole."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        """Value of the first header with a name."""
        for found, value in self.headers:
            if found.lower() == name.lower():
                return value
        return default


def read_head(reader):
    """Reads a start line and headers; None at the end of the connection."""
    line = reader.readline(65537)
    if not line.endswith(b"\n"):
        return None
    headers = []
    while True:
        field = reader.readline(65537)
        if not field.endswith(b"\n"):
            return None
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))


def header(headers, name, default=None):
    """Value of the first header with a name."""
    for found, value in headers:
        if found.lower() == name.lower():
            return value
    return default


def read_request(reader):
    """Reads a whole request; None at the end of the connection."""
    head = read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    length = int(header(headers, "content-length", "0"))
    body = reader.read(length) if length else b""
    if len(body) < length:
        return None
    return Request(method, target, headers, body)


def response(status, headers=(), body=b""):
    """Bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """Calls `handle(request, connection)` for each request, on a thread a connection.

    The handler returns whether the connection is kept.
    """

    def __init__(self, handle, host="127.0.0.1", port=0):
        self.handle = handle
        self.listener = socket.create_server((host, port), backlog=256)
        self.host, self.port = self.listener.getsockname()
        self.address = f"{self.host}:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                request = read_request(reader)
                if request is None or not self.handle(request, connection):
                    break
        except (OSError, ValueError):
            pass
        finally:
            try:
                reader.close()
                connection.close()
            except OSError:
                pass

    def close(self):
        """Accepts no more connections."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
