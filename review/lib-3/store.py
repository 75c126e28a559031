"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import itertools
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from http1 import encode_response, read_request

PAGE_ITEMS = 500


class Store:
    """Items, leases and watches. With `cut_after_s`, a watch that has waited for so long is cut:
    its connection is closed without a response."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.lease_numbers = itertools.count(7001)
        self.changed = asyncio.Event()
        self.cut_after_s = None
        self.cuts = 0
        self.failures = 0
        self.address = None
        self.server = None
        self.expiring = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.expiring = asyncio.ensure_future(self._expire_leases())

    # What operators and workers write.

    def put(self, key, document):
        """Writes a document; returns the time of the confirmation."""
        self._put(key, json.dumps(document).encode(), 0)
        self._notify()
        return time.monotonic()

    def remove(self, key):
        """Removes a key; returns the time of the confirmation."""
        self._remove(key)
        self._notify()
        return time.monotonic()

    def read(self, key):
        """Document of a key, or `None`."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "rev": self.revision, "removed": True})

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [it for it, (end, _) in self.leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [it["key"] for it in self.items.values() if it["lease"] == lease]:
            self._remove(key)
        self._notify()

    # Calls of the nodes.

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                answer = await self._answer(request)
                if answer is None:
                    return
                status, document = answer
                body = json.dumps(document).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode_response(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, request):
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        call = (request.method, url.path)
        if call == ("GET", "/v1/kv-key"):
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, {})
        if call == ("GET", "/v1/kv-range"):
            return 200, self._range(query)
        if call == ("GET", "/v1/kv-watch"):
            return await self._watch(query)
        if call == ("POST", "/v1/kv-txn"):
            return self._transaction(json.loads(request.body))
        if call == ("POST", "/v1/kv-lease"):
            lease, ttl_ms = next(self.lease_numbers), json.loads(request.body)["ttl_ms"]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        lease = int(unquote(url.path.rsplit("/", 1)[1]))
        if lease not in self.leases:
            return 404, {}
        if request.method == "DELETE":
            self._end_lease(lease)
        else:
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {}

    def _range(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after_rev", "")
        keys = sorted(it for it in self.items if it.startswith(prefix) and it > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {
            "items": page,
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after_rev"])
        started_at = time.monotonic()
        ends_at = started_at + int(query["wait_ms"]) / 1000
        while True:
            events = [it for it in self.events if it["rev"] > after and it["key"].startswith(prefix)]
            now = time.monotonic()
            if events or now >= ends_at:
                return 200, {"events": events, "store_revision": self.revision}
            cut_at = started_at + self.cut_after_s if self.cut_after_s else ends_at + 1
            if now >= cut_at:
                self.cuts += 1
                return None
            try:
                wait_s = min(ends_at, cut_at) - now
                await asyncio.wait_for(self.changed.wait(), wait_s + 0.001)
            except asyncio.TimeoutError:
                pass

    def _transaction(self, body):
        conditions = body.get("if_rev", [])
        found = [self.items.get(it["key"], {"key": it["key"], "rev": 0}) for it in conditions]
        if any(have["rev"] != want["rev"] for have, want in zip(found, conditions)):
            return 412, {"items": found}
        puts = body.get("puts", [])
        if any(it.get("lease") and it["lease"] not in self.leases for it in puts):
            return 404, {}
        for put in puts:
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        self._notify()
        return 200, {"rev": self.revision}
