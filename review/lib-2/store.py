"""Stand-in of the platform's key-value store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from http1 import Server, response_bytes

PAGE_ITEMS = 500


class Store:
    def __init__(self):
        self.server = Server(self.handle)
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 70_000
        self.changed = asyncio.Event()

    async def start(self):
        await self.server.start()
        self.expiring = asyncio.create_task(self.expire_leases())

    @property
    def address(self):
        return self.server.address

    def put(self, key, value, lease=0):
        """Writes a key as the operator and the workers do; returns its revision."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value.encode()).decode(),
            "rev": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.record(item)
        return self.revision

    def put_json(self, key, value):
        return self.put(key, json.dumps(value))

    def get_json(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.record({"key": key, "rev": self.revision, "removed": True})

    def record(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (_, ends_at) in list(self.leases.items()):
                if ends_at <= time.monotonic():
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def handle(self, request, writer):
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        body = json.loads(request.body) if request.body else {}
        route = (request.method, request.path)
        if route == ("GET", "/v1/kv-key"):
            item = self.items.get(query["key"])
            status, reply = (200, item) if item else (404, {})
        elif route == ("GET", "/v1/kv-range"):
            status, reply = 200, self.list(query)
        elif route == ("GET", "/v1/kv-watch"):
            status, reply = 200, await self.watch(query)
        elif route == ("POST", "/v1/kv-txn"):
            status, reply = self.write(body)
        elif route == ("POST", "/v1/kv-lease"):
            self.next_lease += 1
            ttl_ms = body["ttl_ms"]
            self.leases[self.next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            status, reply = 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        elif request.path.startswith("/v1/kv-keep/"):
            status, reply = self.renew(int(request.path.rsplit("/", 1)[1]))
        elif request.path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(request.path.rsplit("/", 1)[1]))
            status, reply = 200, {}
        else:
            status, reply = 404, {}
        content = [("Content-Type", "application/json")]
        reply = {"store_revision": self.revision, **reply}
        writer.write(response_bytes(status, content, json.dumps(reply).encode()))

    def list(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after_rev", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": items, "has_more": len(keys) > PAGE_ITEMS}

    async def watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after_rev"])
        ends_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            found = [it for it in self.events if it["rev"] > after and it["key"].startswith(prefix)]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                return {"events": found[:PAGE_ITEMS], "store_revision": self.revision_of(found)}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def revision_of(self, found):
        return found[PAGE_ITEMS - 1]["rev"] if len(found) > PAGE_ITEMS else self.revision

    def write(self, body):
        conditions = body.get("if_rev", [])
        current = [self.items.get(it["key"], {"key": it["key"], "rev": 0}) for it in conditions]
        if any(it["rev"] != known["rev"] for it, known in zip(conditions, current)):
            return 412, {"items": current}
        puts = body.get("puts", [])
        if any(it.get("lease") and it["lease"] not in self.leases for it in puts):
            return 404, {}
        for it in puts:
            self.put(it["key"], base64.b64decode(it["value"]).decode(), it.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.revision}

    def renew(self, lease):
        if lease not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {"ttl_ms": ttl_ms}
